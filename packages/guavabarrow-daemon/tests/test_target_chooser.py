"""Choice of the targets of reads, and its explanation, without a network."""

from __future__ import annotations

import random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from guavabarrow_core.freshness import Observation, PrimaryHistory
from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.paced_load import PacedLoad
from guavabarrow_core.response_baseline import WorkClass, WorkKind
from guavabarrow_core.service_host import NOT_HOSTED, HostPlan
from guavabarrow_core.session_configuration import Consistency, Route
from guavabarrow_core.session_values import SessionValues
from guavabarrow_core.target_directory import TargetDirectory, TargetEntry
from guavabarrow_core.target_load import TargetLoad
from guavabarrow_core.target_pace import PaceSample
from guavabarrow_core.target_ranking import Verdict
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.front import statement_context, target_chooser
from guavabarrow_daemon.front.statement_context import StatementContext
from guavabarrow_daemon.front.target_chooser import HANDSHAKE_COST_S, TargetChooser
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.targets import session_pool
from guavabarrow_daemon.targets.session_pool import SessionPool

NOW, SERVICE = 100.0, "orders"
HOSTED = HostPlan(is_hosted=True, is_host=True, host_count=3)
READ = WorkClass(WorkKind.READ, 0.4)


class FakeConnection:
    team, is_open = "a", True


class FakeDirectory(DirectoryService):
    """Three targets, one in each domain; t0 is local."""

    def __init__(self, kernel: Kernel, plan: HostPlan) -> None:
        Service.__init__(self, kernel)
        self.domain = "d0"
        self.host_plan_of = lambda service: plan
        self.directory = TargetDirectory()
        entries = [
            TargetEntry(f"t{n}", SERVICE, f"d{n}", "10.0.0.1", n, False, n == 0, 5)
            for n in range(3)
        ]
        self.directory.apply_listing(entries, NOW)
        self.evacuated: set[str] = set()
        self.pool_by_id = {}
        for entry in entries:
            pool = SessionPool(
                entry,
                lambda: None,
                Clock(),
                on_evidence=lambda target_id, evidence: None,
                count_handshake=lambda result: None,
            )
            pool.set_paced(plan.is_hosted)
            self.pool_by_id[entry.target_id] = pool

    def is_usable(self, target_id: str) -> bool:
        return target_id not in self.evacuated

    def usable_targets(self, service: str) -> list[TargetEntry]:
        entries = self.directory.of_service(service)
        return [entry for entry in entries if self.is_usable(entry.target_id)]


class FakePrimaries(PrimaryService):
    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.entry: TargetEntry | None = None
        self.log = PrimaryHistory()

    def primary(self, service: str) -> TargetEntry | None:
        return self.entry

    def history(self, service: str) -> PrimaryHistory:
        return self.log

    def replacement_wait_s(self, service: str) -> float:
        return 0.0


class World:
    """Chooser of one VM with three targets, whose state a test sets."""

    def __init__(self, monkeypatch, plan: HostPlan = HOSTED) -> None:
        for module in (target_chooser, statement_context, session_pool):
            monkeypatch.setattr(module, "now_s", lambda: NOW)
        kernel = Kernel()
        self.directory = FakeDirectory(kernel, plan)
        self.primaries = FakePrimaries(kernel)
        kernel.register(self.directory)
        kernel.register(self.primaries)
        self.chooser = TargetChooser(kernel, Clock())
        self.primaries.entry = self.directory.entry("t0")
        self.primaries.log.record(Observation(NOW - 0.5, LogPosition(1, 5)))

    def load(self, target_id: str):
        return self.directory.pool_by_id[target_id].load

    def answer(self, target_id: str, response_s: float, count: int = 20) -> None:
        pool = self.directory.pool_by_id[target_id]
        for number in range(count):
            at = NOW - 0.02 * (count - number)
            pool.window.on_answer(response_s, PaceSample(READ, response_s, at, 1))
            pool.load.record(response_s, at)

    def choose(self, context: StatementContext, failed=frozenset(), **options):
        result: list = []
        chosen = self.chooser.choose_read_target(context, set(failed), **options)
        Deferred.fromCoroutine(chosen).addBoth(result.append)
        return result[0]

    def chosen_id(self, context=None, **options) -> str:
        return self.choose(context or read(), **options)[0].entry.target_id


def read(consistency: Consistency = Consistency.STATED_AGE) -> StatementContext:
    route = Route("shop", SERVICE, consistency, max_age_s=1.5, objective_s=0.4)
    return StatementContext(route, "a", "r1", NOW, NOW + 1.0, SessionValues())


def randomize(world: World, rng: random.Random) -> set[str]:
    """Set a random state and return the targets that failed before."""
    for target_id, pool in world.directory.pool_by_id.items():
        world.answer(target_id, rng.choice([0.01, 0.02, 0.1]), rng.randrange(20))
        pool.load.running = rng.randrange(8)
        if rng.random() < 0.3:
            for _ in range(rng.randrange(1, 6)):
                pool.load.record_failed_answer(0.01, NOW - 0.1)
        if rng.random() < 0.1:
            pool.load.record_failure(NOW - 0.2)
        if rng.random() < 0.5:
            pool.held.add_idle(FakeConnection(), NOW)
        if rng.random() < 0.2:
            world.chooser.mark_behind(target_id)
        if rng.random() < 0.1:
            world.directory.evacuated.add(target_id)
    if rng.random() < 0.3:
        world.primaries.log.clear()
    if rng.random() < 0.2:
        world.primaries.entry = None
    return {t for t in world.directory.pool_by_id if rng.random() < 0.15}


@pytest.mark.parametrize("plan", [HOSTED, NOT_HOSTED])
def test_the_explained_choice_is_the_one_that_is_made(monkeypatch, plan):
    """Load: 1,000 random states of targets, routes and failures."""
    rng = random.Random(1)
    verdicts = set()
    for _ in range(1000):
        world = World(monkeypatch, plan)
        failed = randomize(world, rng)
        context = read(rng.choice(list(Consistency)))
        explained = world.chooser.explain_read(context, failed, NOW)
        assert explained == world.chooser.explain_read(context, failed, NOW)
        chosen = [candidate for candidate in explained if candidate.is_chosen]
        result = world.choose(context, failed)
        if chosen:
            assert [c.target_id for c in chosen] == [result[0].entry.target_id]
            assert chosen[0].after == result[1]
        else:
            assert not isinstance(result, tuple)
        verdicts |= {candidate.verdict for candidate in explained}
    expected = set(Verdict) - {Verdict.DRAINING}
    if plan is NOT_HOSTED:
        expected -= {Verdict.PROBED, Verdict.CHOSEN_AS_PROBE}
    assert verdicts == expected


def former_choice(world: World, context: StatementContext, failed: set[str]):
    """The choice as made before the service could be hosted."""
    primary = world.primaries.primary(SERVICE)
    candidates, required = [], None

    def expected_s(entry: TargetEntry) -> float:
        pool = world.directory.pool_by_id[entry.target_id]
        expected = pool.load.expected_s(NOW, is_local=entry.domain == "d0")
        expected += pool.wait_s
        return expected if pool.has_idle("a") else expected + HANDSHAKE_COST_S

    if context.route.consistency is not Consistency.PRIMARY:
        required = world.primaries.log.required_position(now=NOW, max_age_s=1.5)
    if required is not None:
        for entry in world.directory.usable_targets(SERVICE):
            is_behind = world.chooser._behind_until.get(entry.target_id, 0.0) > NOW
            if entry != primary and entry.target_id not in failed and not is_behind:
                candidates.append((expected_s(entry), entry.target_id))
    if primary is not None and primary.target_id not in failed:
        candidates.append((expected_s(primary), primary.target_id))
    return min(candidates, key=lambda c: c[0])[1] if candidates else None


def test_choices_are_the_former_ones_where_a_service_is_not_hosted(monkeypatch):
    """Load: 1,000 random states; without hosts no decision may change."""
    rng = random.Random(2)
    for _ in range(1000):
        world = World(monkeypatch, NOT_HOSTED)
        failed = randomize(world, rng)
        context = read(rng.choice(list(Consistency)))
        expected = former_choice(world, context, failed)
        candidates = world.chooser.explain_read(context, failed, NOW)
        chosen = [c.target_id for c in candidates if c.is_chosen]
        assert chosen == ([expected] if expected is not None else [])


def test_reads_leave_a_busy_primary_before_a_busy_replica(monkeypatch):
    """Load: the local target is at its limit; another domain has an idle one."""
    world = World(monkeypatch)
    for target_id in ("t0", "t1", "t2"):
        world.answer(target_id, 0.03)
    assert world.chosen_id() == "t0"
    world.load("t0").running = 5
    assert world.chosen_id() != "t0"
    world.primaries.entry = world.directory.entry("t1")
    assert world.chosen_id() == "t0"


def test_a_read_of_the_primary_is_not_kept_from_it(monkeypatch):
    """Failure: the only target that may serve a read fails statements."""
    world = World(monkeypatch)
    for _ in range(5):
        world.load("t0").record_failed_answer(0.01, NOW)
    assert world.load("t0").is_probed
    assert world.chosen_id(read(Consistency.PRIMARY)) == "t0"


def test_targets_that_all_fail_are_used_as_normal(monkeypatch):
    """Failure: all targets of the service fail statements."""
    world = World(monkeypatch)
    for target_id in ("t0", "t1", "t2"):
        for _ in range(5):
            world.load(target_id).record_failed_answer(0.01, NOW)
    verdicts = [c.verdict for c in world.chooser.explain_read(read(), set(), NOW)]
    assert sorted(v.name for v in verdicts) == ["CHOSEN", "SLOWER", "SLOWER"]
    assert [world.chosen_id() for _ in range(3)] == ["t0"] * 3


def test_one_probe_at_a_time_and_none_that_cannot_be_retried(monkeypatch):
    """Failure: the local target fails statements while others are good."""
    world = World(monkeypatch)
    for _ in range(5):
        world.load("t0").record_failed_answer(0.01, NOW)
    assert world.chosen_id(may_probe=False) != "t0"
    assert world.chosen_id() == "t0"
    assert world.chosen_id() != "t0"


def test_failed_and_setup_answers_do_not_count_towards_the_pace(monkeypatch):
    """Failure: a target answers FAILED at once, which must not look fast."""
    load = World(monkeypatch).load("t1")
    load.record(0.02, NOW)
    before = load.response_s
    load.record_failed_answer(0.001, NOW)
    assert load.response_s == before
    plain = TargetLoad()
    plain.record_failed_answer(0.001, NOW)
    assert plain.response_s < TargetLoad().response_s


def test_a_timeout_of_a_statement_that_had_no_time_is_no_failure(monkeypatch):
    """Load: statements leave a long queue with a few ms left."""
    load = World(monkeypatch).load("t1")
    assert isinstance(load, PacedLoad)
    for _ in range(9):
        load.record_timeout(0.01, NOW)
    assert not load.is_probed
    for _ in range(9):
        load.record_timeout(1.0, NOW)
    assert load.is_probed


def test_the_plan_chooses_the_window_and_keeps_running_statements(monkeypatch):
    """Load: the fleet grows until the service gets hosts, with statements running."""
    world = World(monkeypatch, NOT_HOSTED)
    pool = world.directory.pool_by_id["t0"]
    pool.load.running = 3
    pool.set_paced(True)
    assert isinstance(pool.load, PacedLoad)
    assert (pool.load.running, pool.window.size) == (3, 5.0)
    pool.set_paced(False)
    assert isinstance(pool.load, TargetLoad)
    assert pool.load.running == 3
