"""Model check of the replacement of a primary with synchronous replicas.

Hypothesis drives ``ReplicaSet`` and ``Promotion`` through a small world of databases
whose logs, cuts, crashes and transfers come in any order. Each acknowledged commit must
be in the log that is promoted, as far as no more databases have failed than the
synchronous replicas cover, and a primary must lead soon after the last fault.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.promotion import (
    MarkSettled,
    Promotion,
    ReadStatuses,
    RequestPromotion,
)
from guavabarrow_core.replica_set import GONE_AFTER_S, ReplicaSet
from guavabarrow_core.session_messages import TargetStatus
from guavabarrow_core.target_directory import TargetEntry

TICK_S = 0.5
ENTRY_TTL_S = 4.0
LONGEST_FAULT_S = 0.6 * GONE_AFTER_S
"""Cuts and transfers are shorter than the time after which a replica counts as gone."""

CHANGE_LIMIT_S = 18.0
"""Time within which a change of the primary has to be over."""


@dataclass
class Database:
    """A database: its log, and what ails it."""

    name: str
    host: str
    log: list[tuple[int, int]] = field(default_factory=list)
    term: int = 0
    born_ms: int = 1
    is_primary: bool = False
    is_alive: bool = True
    is_deaf: bool = False
    is_draining: bool = False
    cut_at: float | None = None
    unlisted_at: float | None = None
    renewed_at: float = 0.0
    incoming: list[tuple[int, int]] | None = None
    transfer_at: float = 0.0
    has_failed: bool = False

    @property
    def position(self) -> LogPosition | None:
        """End of the log, None if it holds nothing."""
        return LogPosition(self.log[-1][0], len(self.log)) if self.log else None

    @property
    def entry(self) -> TargetEntry:
        """What it registers."""
        return TargetEntry(
            target_id=self.name,
            service="orders",
            domain="z",
            host=self.host,
            port=1,
            is_draining=self.is_draining,
            is_primary=self.is_primary,
            born_ms=self.born_ms,
        )


class ReplacementModel(RuleBasedStateMachine):
    """A service of three to five databases and the holder of the duty."""

    @initialize(size=st.integers(3, 5), sync_replicas=st.integers(1, 2))
    def begin(self, size: int, sync_replicas: int) -> None:
        """Start with a primary and replicas that have its first commit."""
        self.now = 0.0
        self.sync_replicas = min(sync_replicas, size - 2)
        self.databases = [
            Database(f"d{number}", f"10.0.0.{number}", [(1, 0)], 1)
            for number in range(size)
        ]
        self.databases[0].is_primary = True
        self.primary = self.databases[0]
        self.term = 1
        self.acknowledged: list[tuple[int, int]] = [(1, 0)]
        self.commits = 0
        self.stored: list[TargetEntry] = []
        self.promotion: Promotion | None = None
        self.lost: list[str] = []
        self.became_holder()
        for _ in range(4):
            self.tick()

    def became_holder(self) -> None:
        """Know what the shared table has, and nothing else."""
        self.replicas = ReplicaSet(self.sync_replicas)
        self.replicas.restore(self.stored, self.now)
        self.replicas.follow_primary(self.primary.name, self.term)
        self.promotion = None

    def listed(self) -> list[TargetEntry]:
        """Entries that haven't expired."""
        return [
            d.entry
            for d in self.databases
            if self.now - d.renewed_at < ENTRY_TTL_S and d.renewed_at >= 0.0
        ]

    def others(self) -> list[Database]:
        """Databases that run and aren't the primary."""
        return [d for d in self.databases if d.is_alive and d is not self.primary]

    # Faults and ordinary events

    @rule(count=st.integers(1, 3))
    def commit(self, count: int) -> None:
        """Commit at the primary; acknowledged once enough replicas have it."""
        primary = self.primary
        if not primary.is_alive or self.promotion is not None:
            return
        for _ in range(count):
            self.commits += 1
            commit = (self.term, self.commits)
            primary.log.append(commit)
            receivers = [d for d in self.others() if self.receives(d)]
            for database in receivers:
                database.log, database.term = list(primary.log), self.term
            if len(receivers) >= self.sync_replicas:
                self.acknowledged.append(commit)

    def receives(self, database: Database) -> bool:
        """Whether a replica follows the primary's log."""
        return not database.is_deaf and database.incoming is None

    def catch_up(self) -> None:
        """Let replicas that receive the log get what they lack."""
        if not self.primary.is_alive:
            return
        for database in self.others():
            if self.receives(database):
                database.log = list(self.primary.log)
                database.term = self.term

    @rule(number=st.integers(0, 4), is_deaf=st.booleans())
    def deafen(self, number: int, is_deaf: bool) -> None:
        """A replica receives nothing, or receives again."""
        self.pick(number).is_deaf = is_deaf
        self.catch_up()

    @rule(number=st.integers(0, 4), from_vms=st.booleans(), from_store=st.booleans())
    def cut(self, number: int, from_vms: bool, from_store: bool) -> None:
        """A replica is cut off from the VMs, the store or both."""
        database = self.pick(number)
        if from_vms and database.cut_at is None:
            database.cut_at = self.now
        if from_store and database.unlisted_at is None:
            database.unlisted_at = self.now

    @rule(
        number=st.integers(0, 4),
        from_vms=st.booleans(),
        from_store=st.booleans(),
        ticks=st.sampled_from([0, 2, 10, 12]),
    )
    def receive_alone(
        self, number: int, from_vms: bool, from_store: bool, ticks: int
    ) -> None:
        """Only as many replicas as must receive each commit receive the next ones."""
        chosen = self.pick(number)
        rest = [d for d in self.others() if d is not chosen]
        for database in rest[max(0, self.sync_replicas - 1) :]:
            database.is_deaf = True
        self.cut(number, from_vms, from_store)
        self.commit(3)
        for _ in range(ticks):
            self.tick()
            self.commit(1)

    @rule(number=st.integers(0, 6))
    def restart(self, number: int) -> None:
        """A database that had crashed comes back with its log, as a replica."""
        database = self.databases[number % len(self.databases)]
        if database.is_alive or not database.has_failed or database is self.primary:
            return
        database.is_alive, database.has_failed = True, False
        database.is_primary = False
        database.born_ms += 1
        if self.primary.is_alive:
            # What it has beyond the present primary's log is rolled back.
            shared = [c for c in database.log if c in self.primary.log]
            database.log = shared
        self.catch_up()

    @rule(number=st.integers(0, 4))
    def heal(self, number: int) -> None:
        """A replica's cuts end."""
        database = self.pick(number)
        database.cut_at = database.unlisted_at = None

    @precondition(lambda self: self.can_fail())
    @rule(number=st.integers(0, 4), has_log=st.booleans())
    def crash_replica(self, number: int, has_log: bool) -> None:
        """A replica ends for good, or starts again at once without its log."""
        database = self.pick(number)
        if database.incoming is not None:
            return
        database.has_failed = True
        if has_log:
            database.is_alive = False
            return
        database.log, database.born_ms = [], database.born_ms + 1
        database.is_deaf = True

    @precondition(lambda self: self.can_fail() and self.primary.is_alive)
    @rule(ticks=st.integers(0, 30))
    def crash_primary(self, ticks: int) -> None:
        """The primary ends, and is replaced."""
        self.primary.is_alive = False
        self.primary.has_failed = True
        for _ in range(ticks):
            self.tick()

    @rule(number=st.integers(0, 4))
    def drain(self, number: int) -> None:
        """A replica is to leave."""
        self.pick(number).is_draining = True

    @rule(number=st.integers(0, 4))
    def leave(self, number: int) -> None:
        """A drained replica ends; its log is on its way to its successor."""
        old = self.pick(number)
        if not old.is_draining or old.has_failed or old.incoming is not None:
            return
        old.is_alive = False
        old.renewed_at = -1.0
        name = f"{old.name}'"
        self.databases.append(
            Database(name, old.host, incoming=list(old.log), transfer_at=self.now)
        )
        self.databases[-1].renewed_at = self.now

    @rule(number=st.integers(0, 6), is_half=st.booleans())
    def transfer(self, number: int, is_half: bool) -> None:
        """Half of a log arrives at a successor, or the rest of it."""
        database = self.databases[number % len(self.databases)]
        if database.incoming is None:
            return
        if is_half:
            database.log = database.incoming[: len(database.incoming) // 2]
            return
        database.log, database.incoming = database.incoming, None
        self.catch_up()

    @rule()
    def replace_holder(self) -> None:
        """The duty passes to a VM that knows only the shared table."""
        self.became_holder()

    @rule(ticks=st.integers(1, 8))
    def wait(self, ticks: int) -> None:
        """Let time pass."""
        for _ in range(ticks):
            self.tick()

    def pick(self, number: int) -> Database:
        """Return one of the running replicas."""
        others = self.others() or [d for d in self.databases if d is not self.primary]
        return others[number % len(others)]

    def can_fail(self) -> bool:
        """Whether the synchronous replicas cover another failure."""
        failed = sum(d.has_failed for d in self.databases)
        return failed < self.sync_replicas

    # The holder of the duty

    def tick(self) -> None:
        """Renew entries, end overlong faults, ask the databases and act."""
        self.now += TICK_S
        for database in self.databases:
            for name in ("cut_at", "unlisted_at"):
                since = getattr(database, name)
                if since is not None and self.now - since > LONGEST_FAULT_S:
                    setattr(database, name, None)
            is_long = self.now - database.transfer_at > LONGEST_FAULT_S
            if database.incoming is not None and is_long:
                database.log, database.incoming = database.incoming, None
            if database.is_alive and database.unlisted_at is None:
                database.renewed_at = self.now
        self.catch_up()
        self.replicas.update(self.listed(), self.now)
        self.replicas.remove_gone(self.now)
        self.stored = [r.entry for r in self.replicas.replica_by_id.values()]
        statuses = self.ask()
        if self.promotion is not None:
            self.compare(statuses)
        elif not self.primary.is_alive:
            self.start_promotion()

    def ask(self) -> dict[str, TargetStatus]:
        """Ask all known databases, as the holder does while anything is amiss."""
        statuses: dict[str, TargetStatus] = {}
        ended: set[str] = set()
        replaced: set[str] = set()
        for name in self.replicas.replica_by_id:
            database = next(d for d in self.databases if d.name == name)
            if database.cut_at is not None:
                continue
            if database.is_alive:
                statuses[name] = TargetStatus(
                    database.is_primary, database.term, database.position
                )
                continue
            ended.add(name)
            at_address = (d for d in self.databases if d.host == database.host)
            if any(d.is_alive and d.cut_at is None for d in at_address):
                replaced.add(name)
        self.replicas.record(
            statuses,
            ended,
            replaced,
            asked_ids=set(self.replicas.replica_by_id),
            asked_at=self.now,
            now=self.now + 0.01,
        )
        return statuses

    def candidates(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the replicas that accept new work, and the others."""
        usable = [e.target_id for e in self.listed() if not e.is_draining]
        usable = [name for name in usable if name != self.primary.name]
        ids = self.replicas.replica_ids(self.now)
        return tuple(usable), tuple(name for name in ids if name not in usable)

    def start_promotion(self) -> None:
        """Mark the primary's row; all VMs stop using it at once."""
        candidates, others = self.candidates()
        self.promotion = Promotion(
            "orders",
            self.primary.name,
            self.term,
            is_planned=False,
            candidates=candidates,
            other_replicas=others,
            sync_replicas=self.sync_replicas,
            has_log=True,
        )
        self.promotion.start(self.now)
        self.promotion.on_marked()
        self.promotion.on_stopped(self.now)

    def compare(self, statuses: dict[str, TargetStatus]) -> None:
        """Give a round of answers to the replacement, and carry out what it orders."""
        promotion = self.promotion
        assert promotion is not None
        incomplete = self.replicas.incomplete_ids(self.now)
        promotion.set_replicas(*self.candidates(), incomplete)
        for action in promotion.on_statuses(statuses, self.now):
            match action:
                case ReadStatuses():
                    return
                case MarkSettled(primary_id, term):
                    self.settle(primary_id, term)
                case RequestPromotion(target_id):
                    chosen = next(d for d in self.databases if d.name == target_id)
                    if not chosen.is_alive:
                        promotion.on_refused(self.now)
                        return
                    self.lead(chosen)

    def lead(self, chosen: Database) -> None:
        """Promote a database; the others follow its log."""
        missing = [c for c in self.acknowledged if c not in chosen.log]
        if missing:
            self.lost.append(f"{chosen.name} lacks {missing} at {self.now}")
        chosen.term = max(d.term for d in self.databases) + 1
        self.primary.is_primary = False
        chosen.is_primary = True
        assert self.promotion is not None
        for action in self.promotion.on_promoted(chosen.term):
            assert isinstance(action, MarkSettled)
            self.settle(chosen.name, chosen.term)

    def settle(self, primary_id: str, term: int) -> None:
        """End the replacement."""
        self.primary = next(d for d in self.databases if d.name == primary_id)
        self.term = term
        self.promotion = None
        self.replicas.follow_primary(primary_id, term)
        self.catch_up()

    @invariant()
    def nothing_is_lost(self) -> None:
        """Each promoted log has all acknowledged commits."""
        assert not getattr(self, "lost", [])

    def teardown(self) -> None:
        """After the last fault a primary leads within the limit."""
        if not hasattr(self, "databases"):
            return
        for database in self.databases:
            database.cut_at = database.unlisted_at = None
            database.is_deaf = False
        self.catch_up()
        began_at = self.now
        while self.now - began_at < CHANGE_LIMIT_S:
            self.tick()
        assert not self.lost
        assert self.primary.is_alive


def test_no_order_of_events_loses_a_commit_or_holds_up_a_replacement():
    run_state_machine_as_test(
        ReplacementModel,
        settings=settings(
            max_examples=int(os.environ.get("MODEL_EXAMPLES", "400")),
            stateful_step_count=30,
            deadline=None,
            derandomize="MODEL_EXAMPLES" not in os.environ,
            suppress_health_check=list(HealthCheck),
        ),
    )
