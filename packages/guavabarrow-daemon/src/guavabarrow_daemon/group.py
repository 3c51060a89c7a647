"""A database group at this VM: its monitor, watches and connection pools."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_core.group_monitor import (
    Action,
    Event,
    FenceReplied,
    GroupMonitor,
    MembersChanged,
    PromoteReplied,
    PromotionEnded,
    SendFence,
    SendPromote,
    Tick,
)
from guavabarrow_core.group_view import Durability, GroupView
from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.trace import TraceStart
from guavabarrow_daemon.state_log import log_state
from guavabarrow_daemon.target_watch import ReportReceiver, TargetWatch
from guavabarrow_daemon.targets.interface import (
    SqlDriver,
    TargetConnectionBroken,
    TargetRefused,
)
from guavabarrow_daemon.targets.permit_pool import PermitPool

if TYPE_CHECKING:
    from guavabarrow_core.fleet import Service as ServiceEntry
    from guavabarrow_core.fleet import Target
    from guavabarrow_daemon.background import BackgroundTasks
    from guavabarrow_daemon.membership_service import MembershipService
    from guavabarrow_daemon.metrics import Metrics
    from guavabarrow_daemon.permit_service import PermitService
    from guavabarrow_daemon.settings import Settings
    from guavabarrow_daemon.trace_recorder import TraceRecorder

TICK_INTERVAL_S = 0.1
FAST_PROBE_INTERVAL_S = 0.003
SLOW_PROBE_INTERVAL_S = 0.05
COMMAND_TIMEOUT_S = 0.4
UNRESPONSIVE_AFTER_S = 1.5
REPORT_WAIT_S = 0.25


@dataclass(eq=False, slots=True)
class DurabilityWaiter:
    """Write that waits until a majority of the databases has it."""

    position: LogPosition
    decided: Deferred[Durability]


@dataclass(slots=True)
class GroupContext:
    """Settings and services shared by all groups of a VM."""

    settings: Settings
    driver: SqlDriver
    permits: PermitService
    metrics: Metrics
    membership: MembershipService
    reactor: Any
    tasks: BackgroundTasks
    owner: str
    recorder: TraceRecorder | None = None


@dataclass(slots=True)
class GroupTargets:
    """Watches and connection pools of a group, keyed by target name."""

    watch_by_target: dict[str, TargetWatch] = field(default_factory=dict)
    pool_by_target: dict[str, PermitPool] = field(default_factory=dict)


class Group(ReportReceiver):
    """A database group at this VM.

    Parameters
    ----------
    entry : Service
        Configuration of the group.
    context : GroupContext
        Shared services.
    """

    def __init__(self, entry: ServiceEntry, context: GroupContext) -> None:
        self.name = entry.name
        self.context = context
        self.targets = GroupTargets()
        self._waiters: list[DurabilityWaiter] = []
        self._listeners: list[Deferred[None]] = []
        self._logged_primary: str | None = None
        self._all_probed_at = float("-inf")
        self.monitor = self._create_monitor(entry)
        self._loop = context.tasks.create_periodic(
            f"group_tick_{entry.name}", lambda: self.step(Tick()), context.reactor
        )
        self._loop.start(TICK_INTERVAL_S, now=False)

    @property
    def view(self) -> GroupView:
        """Latest status reports of the databases."""
        return self.monitor.view

    @property
    def watch_interval_s(self) -> float:
        """Shortest time between two probes of a database, in s."""
        return FAST_PROBE_INTERVAL_S if self._waiters else SLOW_PROBE_INTERVAL_S

    def configure(self, entry: ServiceEntry, leaving: frozenset[str]) -> None:
        """Start and stop watches and pools to match the configuration."""
        target_by_name = {target.name: target for target in entry.targets}
        for name in set(self.targets.watch_by_target) - set(target_by_name):
            self._remove_target(name)
        for name, target in target_by_name.items():
            watch = self.targets.watch_by_target.get(name)
            if watch is not None and _address(watch.target) != _address(target):
                self._remove_target(name)
                watch = None
            if watch is None:
                self._add_target(target)
        rank = self.context.membership.rank(f"promote/{self.name}")
        self.step(MembersChanged(tuple(target_by_name), leaving, rank))
        for name in leaving & set(self.targets.pool_by_target):
            self.targets.pool_by_target[name].close_idle()

    def stop(self) -> None:
        """Stop all tasks and answer the waiting writes with PENDING."""
        self._loop.stop()
        for name in list(self.targets.watch_by_target):
            self._remove_target(name)
        for waiter in self._waiters:
            waiter.decided.callback(Durability.PENDING)
        self._waiters.clear()

    def step(self, event: Event) -> None:
        """Pass an event to the monitor and perform the resulting actions."""
        now = self.context.reactor.seconds()
        actions = self.monitor.step(event, now)
        if self.context.recorder is not None:
            self.context.recorder.step(self.name, now, event, actions)
        for action in actions:
            self._perform(action)
        if isinstance(event, Tick):
            self._abort_unresponsive()
            return
        self._resolve_waiters()
        self._log_primary_change()
        listeners, self._listeners = self._listeners, []
        for listener in listeners:
            if not listener.called:
                listener.callback(None)

    async def wait_durable(
        self, position: LogPosition, *, deadline: float
    ) -> Durability:
        """Wait until a log entry is durable or lost.

        Returns
        -------
        Durability
            PENDING if the deadline passed.
        """
        decided = self.view.durability(position)
        if decided is not Durability.PENDING:
            return decided
        waiter = DurabilityWaiter(position, Deferred())
        self._waiters.append(waiter)
        if len(self._waiters) == 1:
            for watch in self.targets.watch_by_target.values():
                watch.wake()
        remaining_s = max(0.0, deadline - self.context.reactor.seconds())
        timer = self.context.reactor.callLater(remaining_s, self._expire_waiter, waiter)
        result = await waiter.decided
        if timer.active():
            timer.cancel()
        return result

    async def wait_report(self, timeout_s: float) -> None:
        """Wait for the next event of the group, at most ``timeout_s``."""
        listener: Deferred[None] = Deferred()
        self._listeners.append(listener)
        timer = self.context.reactor.callLater(
            max(0.0, timeout_s), _fire_if_pending, listener
        )
        await listener
        if timer.active():
            timer.cancel()

    async def wait_until_checked(
        self, database: str, *, since: float, deadline: float
    ) -> bool:
        """Wait until reports show whether a failed database is still primary.

        Returns
        -------
        bool
            True if a probe sent after ``since`` succeeded and it is still primary.
        """
        while self.context.reactor.seconds() < deadline:
            primary = self.view.primary
            if primary is None or primary.database != database:
                return False
            if primary.sent_at > since:
                return True
            await self.wait_report(REPORT_WAIT_S)
        return False

    def probe_all(self) -> None:
        """Probe all databases at once, for a read that needs newer status reports."""
        now = self.context.reactor.seconds()
        if now - self._all_probed_at < FAST_PROBE_INTERVAL_S:
            return
        self._all_probed_at = now
        for watch in self.targets.watch_by_target.values():
            watch.probe_now()

    def _create_monitor(self, entry: ServiceEntry) -> GroupMonitor:
        settings = self.context.settings
        start = TraceStart(
            group=entry.name,
            databases=tuple(target.name for target in entry.targets),
            rank=0,
            seed=hash_seed(settings.vm, entry.name),
            now=self.context.reactor.seconds(),
            corroborate=settings.policies.detection == "corroborated",
        )
        if self.context.recorder is not None:
            self.context.recorder.start(start)
        return GroupMonitor(
            start.databases,
            rank=start.rank,
            seed=start.seed,
            now=start.now,
            corroborate=start.corroborate,
        )

    def _add_target(self, target: Target) -> None:
        context = self.context
        address = context.settings.resolve_address(target.host, target.port)
        control = context.driver.control(*address)
        watch = TargetWatch(target, control, self, context.reactor, context.tasks)
        self.targets.watch_by_target[target.name] = watch
        self.targets.pool_by_target[target.name] = PermitPool(
            target,
            address,
            driver=context.driver,
            permits=context.permits,
            reactor=context.reactor,
            tasks=context.tasks,
            is_fair=context.settings.policies.queue == "fair",
        )

    def _remove_target(self, name: str) -> None:
        self.targets.watch_by_target.pop(name).stop()
        self.targets.pool_by_target.pop(name).close()

    def _expire_waiter(self, waiter: DurabilityWaiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            waiter.decided.callback(Durability.PENDING)

    def _resolve_waiters(self) -> None:
        if not self._waiters:
            return
        pending = []
        decided = []
        for waiter in self._waiters:
            durability = self.view.durability(waiter.position)
            if durability is Durability.PENDING:
                pending.append(waiter)
            else:
                decided.append((waiter, durability))
        self._waiters = pending
        for waiter, durability in decided:
            waiter.decided.callback(durability)

    def _abort_unresponsive(self) -> None:
        """Abort connections to databases that no longer answer probes.

        Does nothing if no database has answered within half of the limit.
        """
        now = self.context.reactor.seconds()
        unanswered_s = [
            self.monitor.since_answer_s(name, now) for name in self.view.databases
        ]
        if min(unanswered_s, default=0.0) > UNRESPONSIVE_AFTER_S / 2:
            return
        for name, pool in self.targets.pool_by_target.items():
            if not pool.state.busy:
                continue
            if self.monitor.since_answer_s(name, now) > UNRESPONSIVE_AFTER_S:
                pool.abort_all()

    def _log_primary_change(self) -> None:
        primary = self.view.primary
        name = primary.database if primary is not None else None
        if name == self._logged_primary:
            return
        self._logged_primary = name
        term = primary.lineage.last.term if primary is not None else 0
        log_state(
            self.context.settings.vm,
            "primary_changed",
            service=self.name,
            primary=name,
            term=term,
        )

    def _perform(self, action: Action) -> None:
        match action:
            case SendFence(database, term):
                self.context.tasks.start("fence", self._fence(database, term))
            case SendPromote(database, term):
                self.context.tasks.start("promote", self._promote(database, term))
            case PromotionEnded():
                self._record_promotion(action)

    async def _fence(self, database: str, term: int) -> None:
        watch = self.targets.watch_by_target.get(database)
        if watch is None:
            return
        try:
            answer = await watch.control.fence(
                term, self.context.owner, timeout_s=COMMAND_TIMEOUT_S
            )
        except (TargetConnectionBroken, TargetRefused):
            return
        last = LogPosition(answer.last_term, answer.last_index)
        self.step(
            FenceReplied(database, term, answer.granted, last, answer.promised_term)
        )

    async def _promote(self, database: str, term: int) -> None:
        watch = self.targets.watch_by_target.get(database)
        accepted = False
        if watch is not None:
            try:
                accepted = await watch.control.promote(
                    term, self.context.owner, timeout_s=COMMAND_TIMEOUT_S
                )
            except (TargetConnectionBroken, TargetRefused):
                return
        self.step(PromoteReplied(database, term, accepted))

    def _record_promotion(self, action: PromotionEnded) -> None:
        metrics = self.context.metrics
        result = "succeeded" if action.database else "given_up"
        metrics.promotions.labels(self.name, result).inc()
        if action.database is None:
            return
        for phase, duration_s in (
            ("detection", action.detection_s),
            ("fencing", action.fencing_s),
            ("promotion", action.promotion_s),
        ):
            metrics.promotion_phase.labels(phase).observe(duration_s)
        log_state(
            self.context.settings.vm,
            "promoted",
            service=self.name,
            database=action.database,
            term=action.term,
            detection_s=round(action.detection_s, 4),
            fencing_s=round(action.fencing_s, 4),
            promotion_s=round(action.promotion_s, 4),
        )


def hash_seed(*parts: str) -> int:
    """Return a seed that depends only on the names, so that runs are repeatable."""
    return sum(
        byte * (position + 1) for position, byte in enumerate("/".join(parts).encode())
    )


def _address(target: Target) -> tuple[str, int]:
    return target.host, target.port


def _fire_if_pending(listener: Deferred[None]) -> None:
    if not listener.called:
        listener.callback(None)
