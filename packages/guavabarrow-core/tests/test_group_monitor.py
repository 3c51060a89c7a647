"""Simulation of promotions and acknowledgements with virtual time and seeded faults."""

from __future__ import annotations

from random import Random

import pytest
from fake_group import FakeDatabase

from guavabarrow_core.group_monitor import (
    FenceReplied,
    GroupMonitor,
    MembersChanged,
    ProbeFailed,
    PromoteReplied,
    PromotionEnded,
    ReportReceived,
    SendFence,
    SendPromote,
    Tick,
)
from guavabarrow_core.group_view import Durability, GroupView
from guavabarrow_core.read_router import (
    AdaptiveReadPolicy,
    PoolLoad,
    ReadFrom,
    ReadRequirement,
)

EMPTY = FakeDatabase.empty
NAMES = ("x", "y", "z")
STEP_S = 0.01
FAILOVER_BOUND_S = 18.0
SEED_COUNT = 60
STEPS = 500


class LostWrite(AssertionError):
    """An acknowledged write is missing from a later primary."""


class StaleRead(AssertionError):
    """A read returned older data than its session or its maximum age allows."""


class Simulation:
    """Two VMs and three databases with one seeded schedule of faults."""

    def __init__(self, seed: int, monitor_type: type[GroupMonitor] = GroupMonitor):
        self.random = Random(seed)
        self.now = 0.0
        self.databases = {name: FakeDatabase(name) for name in NAMES}
        self.monitors = {
            vm: monitor_type(NAMES, rank=rank, seed=seed + rank, now=0.0)
            for rank, vm in enumerate(("p", "q"))
        }
        self.blocked_pairs: set[frozenset[str]] = set()
        self.requests: list[tuple[str, object]] = []
        self.pending: list[tuple[str, object, str]] = []
        self.acknowledged: dict[str, tuple[object, float]] = {}
        self.rows = 0
        self.reads = 0
        self.policy = AdaptiveReadPolicy()

    def run(self, steps: int = STEPS) -> None:
        for _ in range(steps):
            self.now += STEP_S
            self.inject_fault()
            self.replicate()
            for vm, monitor in self.monitors.items():
                self.probe(vm, monitor)
                self.send_event(vm, monitor, Tick())
            self.deliver()
            self.write()
            self.acknowledge()
            self.read()

    def can_reach(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.blocked_pairs

    def inject_fault(self) -> None:
        if self.random.random() < 0.01:
            name = self.random.choice(NAMES)
            database = self.databases[name]
            if database.is_up and self.count_up() > 2:
                database.is_up = False
            else:
                database.restart()
        if self.random.random() < 0.02:
            pair = frozenset(self.random.sample((*NAMES, *self.monitors), 2))
            self.blocked_pairs ^= {pair}
        if self.random.random() < 0.02:
            self.blocked_pairs.clear()

    def count_up(self) -> int:
        return sum(database.is_up for database in self.databases.values())

    def replicate(self) -> None:
        for source in self.databases.values():
            for peer in self.databases.values():
                works = source.is_up and peer.is_up and source is not peer
                if not works or not self.can_reach(source.name, peer.name):
                    continue
                if self.random.random() < 0.3:
                    source.replicate_to(peer, self.random.randint(0, 3), self.now)

    def probe(self, vm: str, monitor: GroupMonitor) -> None:
        for name, database in self.databases.items():
            if self.random.random() > 0.3:
                continue
            if database.is_up and self.can_reach(vm, name):
                sent_at = self.now - self.random.random() * 0.05
                event = ReportReceived(database.report(sent_at, self.now))
            else:
                event = ProbeFailed(name, not database.is_up)
            self.send_event(vm, monitor, event)

    def send_event(self, vm: str, monitor: GroupMonitor, event: object) -> None:
        for action in monitor.step(event, self.now):
            self.requests.append((vm, action))

    def deliver(self) -> None:
        """Deliver a random part of the requests; some requests or answers get lost."""
        requests, self.requests = self.requests, []
        for vm, action in requests:
            if isinstance(action, PromotionEnded):
                continue
            if self.random.random() < 0.3:
                self.requests.append((vm, action))
                continue
            database = self.databases[action.database]
            if not database.is_up or not self.can_reach(vm, action.database):
                continue
            answer = self.execute(vm, database, action)
            if self.random.random() < 0.9:
                self.send_event(vm, self.monitors[vm], answer)

    def execute(self, vm: str, database: FakeDatabase, action: object) -> object:
        if isinstance(action, SendFence):
            granted = database.fence(action.term, vm)
            last, promised = database.last, database.promised[0]
            return FenceReplied(database.name, action.term, granted, last, promised)
        assert isinstance(action, SendPromote)
        accepted = database.promote(action.term, vm)
        if accepted:
            self.check_promoted(database)
        return PromoteReplied(database.name, action.term, accepted)

    def check_promoted(self, database: FakeDatabase) -> None:
        stored = {row for _, row in database.log}
        for row in self.acknowledged:
            if row not in stored:
                raise LostWrite(f"{row} at {self.now}")

    def write(self) -> None:
        for vm, monitor in self.monitors.items():
            primary = monitor.view.primary
            if primary is None or monitor.pauses_writes or self.random.random() > 0.3:
                continue
            database = self.databases[primary.database]
            if not database.is_up or not self.can_reach(vm, database.name):
                continue
            self.rows += 1
            row = f"r{self.rows}"
            position = database.write(primary.lineage.last.term, row)
            if position is not None:
                self.pending.append((vm, position, row))

    def acknowledge(self) -> None:
        undecided = []
        for vm, position, row in self.pending:
            durability = self.monitors[vm].view.durability(position)
            if durability is Durability.DURABLE:
                self.acknowledged[row] = (position, self.now)
            elif durability is Durability.PENDING:
                undecided.append((vm, position, row))
        self.pending = undecided

    def read(self) -> None:
        """Read with the session of an acknowledged write, or with a maximum age."""
        if not self.acknowledged:
            return
        vm = self.random.choice(list(self.monitors))
        row = self.random.choice(list(self.acknowledged))
        position, acknowledged_at = self.acknowledged[row]
        has_max_age = self.random.random() < 0.5
        max_age_s = self.random.choice((0.0, 0.05, 0.3, 1.0))
        requirement = ReadRequirement(
            EMPTY if has_max_age else position,
            self.now,
            max_age_s=max_age_s if has_max_age else None,
        )
        route = self.policy.route(
            requirement,
            view=self.monitors[vm].view,
            leaving=frozenset(),
            load=PoolLoad(),
            waited_s=1.0,
            now=self.now,
        )
        if not isinstance(route, ReadFrom):
            return
        database = self.databases[route.database]
        if not database.lineage.satisfies(requirement.position):
            return
        self.reads += 1
        stored = {name for _, name in database.log}
        required = not has_max_age or acknowledged_at < self.now - max_age_s
        if required and row not in stored:
            raise StaleRead(f"{row} from {route.database} at {self.now}")


@pytest.mark.parametrize("seed", range(SEED_COUNT))
def test_seeded_schedule(seed):
    simulation = Simulation(seed)
    simulation.run()
    assert simulation.acknowledged
    assert simulation.reads
    assert_recovery(simulation)


def assert_recovery(simulation: Simulation) -> None:
    """Check that a write is acknowledged within the bound after the faults end."""
    simulation.blocked_pairs.clear()
    simulation.inject_fault = lambda: None
    for database in simulation.databases.values():
        if not database.is_up:
            database.restart()
    before = len(simulation.acknowledged)
    deadline = simulation.now + FAILOVER_BOUND_S
    while len(simulation.acknowledged) == before:
        simulation.run(10)
        assert simulation.now < deadline


class AcknowledgesBeforeReplication(GroupMonitor):
    """Faulty: acknowledges writes that only the primary holds."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.view.durability = lambda position: Durability.DURABLE


class IgnoresLogPosition(GroupMonitor):
    """Faulty: promotes a replica regardless of its log position."""

    def _most_advanced(self, attempt):
        return min(attempt.last_by_database)


class FencesMinority(GroupMonitor):
    """Faulty: treats the first promise as a majority."""

    def _on_fence_reply(self, event, now):
        self.view.__class__ = MinorityView
        return super()._on_fence_reply(event, now)


class MinorityView(GroupView):
    majority = 1


class SkipsFreshnessCheck(GroupMonitor):
    """Faulty: treats any answer of a primary as proof that it is current."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.view.safe_time = lambda report: report.received_at


@pytest.mark.parametrize(
    ("monitor_type", "failure"),
    [
        (AcknowledgesBeforeReplication, LostWrite),
        (IgnoresLogPosition, LostWrite),
        (FencesMinority, LostWrite),
        (SkipsFreshnessCheck, StaleRead),
    ],
)
def test_simulation_detects_a_faulty_monitor(monitor_type, failure):
    with pytest.raises(failure):
        for seed in range(SEED_COUNT):
            Simulation(seed, monitor_type).run()


def test_replicas_that_end_in_an_older_term_do_not_make_an_entry_durable():
    """A later primary may still overwrite such an entry, even on a majority."""
    x, y, z = (FakeDatabase(name) for name in NAMES)
    for database in (x, y):
        assert database.fence(1, "p")
    assert x.promote(1, "p")
    position = x.write(1, "doubtful")
    for database in (y, z):
        assert database.fence(2, "q")
    assert z.promote(2, "q")
    for database in (x, y):
        assert database.fence(3, "p")
    assert x.promote(3, "p")
    x.replicate_to(y, 2, 0.0)
    view = GroupView(NAMES)
    for database in (x, y):
        view.record(database.report(0.0, 0.0))
        assert database.lineage.contains(position)
    assert view.durability(position) is Durability.PENDING
    for database in (y, z):
        assert database.fence(4, "q")
    assert z.last > y.last
    x.replicate_to(y, 1, 0.0)
    assert y.promised[0] == 4


def test_entry_is_durable_once_a_majority_has_the_later_term():
    x, y, z = (FakeDatabase(name) for name in NAMES)
    for database in (x, y):
        assert database.fence(1, "p")
    assert x.promote(1, "p")
    position = x.write(1, "kept")
    for database in (x, z):
        assert database.fence(2, "p")
    assert x.promote(2, "p")
    x.replicate_to(z, 3, 0.0)
    view = GroupView(NAMES)
    for database in (x, z):
        view.record(database.report(0.0, 0.0))
    assert view.durability(position) is Durability.DURABLE
    assert z.last > y.last


def simulate_until_primary(monitor_type=GroupMonitor, **options):
    """Return a simulation without faults that has a primary, and the primary's name."""
    simulation = Simulation(1)
    simulation.monitors = {
        vm: monitor_type(NAMES, rank=rank, seed=rank, now=0.0, **options)
        for rank, vm in enumerate(("p", "q"))
    }
    simulation.inject_fault = lambda: None
    simulation.run(300)
    primary = simulation.monitors["p"].view.primary
    assert primary is not None
    return simulation, primary.database


def measure_write_gap(simulation, fault):
    """Return the time from a fault to the next acknowledged write, in seconds."""
    fault()
    simulation.pending.clear()
    before = len(simulation.acknowledged)
    started_at = simulation.now
    while len(simulation.acknowledged) == before:
        simulation.run(1)
        assert simulation.now - started_at < FAILOVER_BOUND_S
    return simulation.now - started_at


def test_corroborated_detection_is_faster_than_the_answer_timeout():
    gaps = {}
    for corroborate in (True, False):
        simulation, primary = simulate_until_primary(corroborate=corroborate)

        def kill(databases=simulation.databases, name=primary):
            databases[name].is_up = False
            for database in databases.values():
                database.last_message_at = None

        gaps[corroborate] = measure_write_gap(simulation, kill)
    assert gaps[True] < 1.0
    assert gaps[True] < gaps[False] / 2


def test_primary_that_is_isolated_from_its_replicas_is_replaced():
    simulation, primary = simulate_until_primary()
    others = [name for name in NAMES if name != primary]

    def isolate():
        simulation.blocked_pairs = {frozenset((primary, other)) for other in others}

    assert measure_write_gap(simulation, isolate) < FAILOVER_BOUND_S


def test_vm_that_alone_cannot_reach_the_primary_does_not_promote():
    simulation, primary = simulate_until_primary()
    term = simulation.databases[primary].term
    simulation.blocked_pairs = {frozenset(("p", primary))}
    simulation.run(500)
    assert simulation.databases[primary].is_primary
    assert simulation.databases[primary].term == term


def test_slow_vm_does_not_replace_a_healthy_primary():
    simulation, primary = simulate_until_primary()
    term = simulation.databases[primary].term
    simulation.now += 5.0
    simulation.run(200)
    assert simulation.databases[primary].term == term


def test_flapping_links_cause_no_promotion():
    simulation, primary = simulate_until_primary()
    term = simulation.databases[primary].term
    pairs = {frozenset((primary, name)) for name in NAMES if name != primary}
    for cycle in range(100):
        simulation.blocked_pairs = set() if cycle % 2 else pairs
        simulation.run(10)
    assert simulation.databases[primary].term == term


def test_each_failure_causes_one_promotion():
    simulation, _ = simulate_until_primary()
    failures = 0
    first_term = max(database.term for database in simulation.databases.values())
    while failures < 10:
        primary = simulation.monitors["p"].view.primary
        if primary is not None and simulation.databases[primary.database].is_up:
            simulation.databases[primary.database].is_up = False
            for database in simulation.databases.values():
                database.last_message_at = None
            failures += 1
        simulation.run(150)
        for database in simulation.databases.values():
            if not database.is_up:
                database.restart()
        simulation.run(150)
    last_term = max(database.term for database in simulation.databases.values())
    assert last_term - first_term <= 2 * failures


def test_leaving_primary_is_handed_over_without_loss():
    simulation, primary = simulate_until_primary()
    leaving = frozenset({primary})
    for rank, (vm, monitor) in enumerate(simulation.monitors.items()):
        simulation.send_event(vm, monitor, MembersChanged(NAMES, leaving, rank))
    simulation.run(400)
    current = simulation.monitors["p"].view.primary
    assert current is not None
    assert current.database != primary
    assert not simulation.monitors["p"].pauses_writes
