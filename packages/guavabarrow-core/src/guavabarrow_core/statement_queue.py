"""Order and refusal of the statements that wait for a connection to one target.

A host orders the statements of all VMs of its failure domain: by priority, then by
start-time fair queueing between teams, then by arrival. A less urgent priority is
served once in ``LESS_URGENT_INTERVAL`` statements while it waits, so it is never
starved. Statements that cannot meet their deadline are refused at once, on entry or
from the queue, with retry-after times spread over the time in which there will be
capacity.

Elsewhere (``is_shared`` is false) the order is by priority and by fair queueing over
all priorities, as it was before services had hosts.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from operator import attrgetter
from typing import TYPE_CHECKING, Generic, TypeVar

from guavabarrow_core.fair_queue import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

T = TypeVar("T")

LESS_URGENT_INTERVAL = 10
"""A waiting priority that is less urgent than others gets one statement in these."""

OBJECTIVE_WAIT_FRACTION = 0.6
"""Fraction of the latency objective that a statement may expect to wait on entry; the
rest is for the statement itself and the way to the caller. A longer queue would make
every statement late without serving more of them."""

STRIDE_SMOOTHING = 0.03
"""Weight of the newest distance between two served statements of a priority. With 0.1
the number served per second of the least urgent route varied more under overload."""

MAX_RETRY_AFTER_S = 2.0
"""Longest retry-after time, in s: the time budget of most callers."""


class RefusalReason(Enum):
    """Why a statement was refused before it was sent."""

    EXPECTED_WAIT = "expected_wait"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    TEAM_TRANSACTIONS = "team_transactions"
    TARGET = "target"


@dataclass(slots=True, eq=False)
class QueuedStatement(Generic[T]):
    """A statement that waits for a connection.

    Parameters
    ----------
    value : object
        What to fulfil when the statement is served.
    team : str
        Team that it runs for.
    priority : int
        0 is the most urgent.
    deadline : float
        Local time after which it is refused, in s.
    order : int
        Arrival number, which breaks ties.
    start_tag : float
        Virtual start time; see ``guavabarrow_core.fair_queue``.
    weight : float
        Weight of the team relative to other teams.
    in_transaction : bool
        Whether it opens a transaction, which holds its connection until it ends.
    """

    value: T
    team: str
    priority: int
    deadline: float
    order: int = 0
    start_tag: float = 0.0
    weight: float = 1.0
    in_transaction: bool = False


@dataclass(slots=True)
class PriorityState:
    """What was served of one priority while its statements waited.

    Parameters
    ----------
    passed : int
        More urgent statements served since this priority was.
    stride : float
        Average number of statements served for one of this priority, since it began to
        wait.
    next_retry_at : float
        Local time that the next refused caller is told, in s.
    """

    passed: int = 0
    stride: float = 1.0
    next_retry_at: float = float("-inf")

    def record_service(self) -> None:
        """Record the service of one statement of this priority."""
        self.stride += STRIDE_SMOOTHING * (self.passed + 1 - self.stride)
        self.passed = 0


@dataclass(slots=True)
class StatementQueue(Generic[T]):
    """Statements that wait for a connection to one target.

    Parameters
    ----------
    max_length : int
        Largest number of waiting statements.
    is_shared : bool
        Whether it orders the statements of a whole failure domain; set it with
        :meth:`set_shared`.

    Examples
    --------
    >>> queue = StatementQueue(max_length=3, is_shared=True)
    >>> for team, priority in (("a", 2), ("a", 1), ("b", 1)):
    ...     _ = queue.push(QueuedStatement(team, team, priority, deadline=9.0))
    >>> [(item.team, item.priority) for item in queue]
    [('a', 1), ('b', 1), ('a', 2)]
    """

    max_length: int
    is_shared: bool = False
    _waiting: list[QueuedStatement[T]] = field(default_factory=list)
    _clock_by_priority: dict[int, VirtualClock] = field(default_factory=dict)
    _state_by_priority: dict[int, PriorityState] = field(default_factory=dict)
    _count_by_team: Counter[str] = field(default_factory=Counter)
    _count_by_priority: Counter[int] = field(default_factory=Counter)
    _last_order: int = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[QueuedStatement[T]]:
        """Iterate over the statements in the order in which they should be served."""
        due = self._due_priorities()
        if not due:
            return iter(list(self._waiting))
        first = [item for item in self._waiting if item.priority in due]
        others = [item for item in self._waiting if item.priority not in due]
        return iter(first + others)

    @property
    def count_by_team(self) -> Counter[str]:
        """Waiting statements by team."""
        return self._count_by_team

    @property
    def count_by_priority(self) -> Counter[int]:
        """Waiting statements by priority."""
        return self._count_by_priority

    def others_wait(self, team: str) -> bool:
        """Return whether statements of other teams wait."""
        return len(self._waiting) > self._count_by_team[team]

    def set_shared(self, is_shared: bool) -> None:
        """Switch between the orders; waiting statements keep theirs at first."""
        if is_shared == self.is_shared:
            return
        waiting, self._waiting = self._waiting, []
        self.is_shared = is_shared
        self._clock_by_priority.clear()
        self._state_by_priority.clear()
        self._count_by_team.clear()
        self._count_by_priority.clear()
        for item in waiting:
            self.push(item)

    def push(self, item: QueuedStatement[T]) -> QueuedStatement[T]:
        """Add a statement, whose order and start tag are set."""
        self._last_order += 1
        item.order = self._last_order
        item.start_tag = self._clock(item.priority).tag(item.team, item.weight)
        self._waiting.append(item)
        self._sort()
        self._count_by_team[item.team] += 1
        self._count_by_priority[item.priority] += 1
        return item

    def take(self, item: QueuedStatement[T]) -> None:
        """Remove a statement that is served now."""
        self._remove(item)
        self._clock(item.priority).advance(item.start_tag)
        for priority, count in self._count_by_priority.items():
            if priority > item.priority and count:
                self._state(priority).passed += 1
        self._state(item.priority).record_service()
        still_waits = self._count_by_priority[item.priority] > 0
        if not still_waits:
            self._state(item.priority).stride = 1.0
        if not (still_waits if self.is_shared else self._waiting):
            self._clock(item.priority).finish_tag_by_team.clear()

    def discard(self, item: QueuedStatement[T]) -> None:
        """Remove a statement that is not served; its team isn't charged for it."""
        self._remove(item)
        if not self.is_shared:
            return
        self._clock(item.priority).refund(item.team, item.weight)
        for later in self._waiting:
            is_same = (later.team, later.priority) == (item.team, item.priority)
            if is_same and later.order > item.order:
                later.start_tag -= 1.0 / item.weight
        self._sort()
        if not self._count_by_priority[item.priority]:
            self._state(item.priority).passed = 0

    def clear(self) -> list[QueuedStatement[T]]:
        """Remove and return all statements."""
        removed = list(self._waiting)
        for item in removed:
            self._remove(item)
        return removed

    def find(self, value: T) -> QueuedStatement[T] | None:
        """Return the waiting statement with a value, None if there is none."""
        return next((item for item in self._waiting if item.value is value), None)

    # Refusal

    def expected_wait_s(
        self, team: str, priority: int, interval_s: float, *, weight: float = 1.0
    ) -> float:
        """Return the expected wait of a statement that would be added now, in s.

        Parameters
        ----------
        team : str
            Its team.
        priority : int
            Its priority.
        interval_s : float
            Average interval between two statements that the target serves, in s.
        weight : float
            Weight of the team.
        """
        clock = self._clock(priority)
        tag = max(clock.time, clock.finish_tag_by_team.get(team, 0.0))
        candidate = (priority, tag)
        ahead = sum(
            (item.priority, item.start_tag) <= candidate for item in self._waiting
        )
        same = sum(
            item.priority == priority and item.start_tag <= tag
            for item in self._waiting
        )
        return self._wait_s(priority, ahead + 1, same + 1, interval_s)

    def expired(self, now: float) -> list[QueuedStatement[T]]:
        """Return the statements whose deadlines have passed."""
        return [item for item in self._waiting if now >= item.deadline]

    def hopeless(self, now: float, interval_s: float) -> list[QueuedStatement[T]]:
        """Return the statements that can't be served before their deadlines.

        Parameters
        ----------
        now : float
            Local time, in s.
        interval_s : float
            Average interval between two statements that the target serves, in s.
        """
        refused = []
        ahead = 0
        same_by_priority: Counter[int] = Counter()
        for item in self._waiting:
            same = same_by_priority[item.priority]
            wait_s = self._wait_s(item.priority, ahead, same, interval_s)
            if now >= item.deadline or now + wait_s > item.deadline:
                refused.append(item)
                continue
            ahead += 1
            same_by_priority[item.priority] += 1
        return refused

    def victim(self) -> QueuedStatement[T]:
        """Return the statement to refuse when the queue is full.

        It is the last one of the team with the most waiting statements, relative to its
        weight, of the least urgent priority.
        """
        least_urgent = max(item.priority for item in self._waiting)
        items = [item for item in self._waiting if item.priority == least_urgent]
        count_by_team = Counter(item.team for item in items)
        return max(items, key=lambda i: (count_by_team[i.team] / i.weight, i.order))

    def retry_after_s(self, priority: int, now: float, interval_s: float) -> float:
        """Return when a refused caller should try again, in s.

        Each refused caller is told a later time than the one before it, by the interval
        at which its priority is served. Times beyond ``MAX_RETRY_AFTER_S`` start again
        at the time when the queue will have been served.
        """
        state = self._state(priority)
        own = self._count_by_priority[priority]
        ahead = sum(item.priority <= priority for item in self._waiting)
        soonest_s = self._wait_s(priority, ahead + 1, own + 1, interval_s)
        soonest_at = now + min(soonest_s, MAX_RETRY_AFTER_S / 2.0)
        retry_at = max(soonest_at, state.next_retry_at)
        if retry_at > now + MAX_RETRY_AFTER_S:
            retry_at = soonest_at
        state.next_retry_at = retry_at + state.stride * interval_s
        return retry_at - now

    def _wait_s(self, priority: int, ahead: int, same: int, interval_s: float) -> float:
        """Return how long serving some statements takes, in s.

        ``same`` of those ahead have the same priority. More urgent ones that arrive
        later go first, so the recent distance between two of the priority counts.
        """
        stride = self._state(priority).stride
        return max(ahead, same * stride) * interval_s

    def _due_priorities(self) -> set[int]:
        if not self.is_shared:
            return set()
        return {
            priority
            for priority, count in self._count_by_priority.items()
            if count and self._state(priority).passed >= LESS_URGENT_INTERVAL - 1
        }

    def _remove(self, item: QueuedStatement[T]) -> None:
        self._waiting.remove(item)
        self._count_by_team[item.team] -= 1
        if not self._count_by_team[item.team]:
            del self._count_by_team[item.team]
        self._count_by_priority[item.priority] -= 1

    def _sort(self) -> None:
        self._waiting.sort(key=attrgetter("priority", "start_tag", "order"))

    def _clock(self, priority: int) -> VirtualClock:
        key = priority if self.is_shared else 0
        return self._clock_by_priority.setdefault(key, VirtualClock())

    def _state(self, priority: int) -> PriorityState:
        return self._state_by_priority.setdefault(priority, PriorityState())


def longest_wait_s(until_deadline_s: float, objective_s: float) -> float:
    """Return for how long a statement may expect to wait on entry, in s."""
    return min(until_deadline_s, OBJECTIVE_WAIT_FRACTION * objective_s)


def may_retry_elsewhere(
    waits_s: Iterable[float], *, may_wait_s: float, remaining_s: float
) -> bool:
    """Return whether a read that one target refused is worth another attempt.

    Guards against retries that find one full target after the other, which cost each of
    them time and end with the same refusal.

    Parameters
    ----------
    waits_s : iterable of float
        Expected waits at the targets that were not tried, in s.
    may_wait_s : float
        Time that the statement may still wait for a connection, in s.
    remaining_s : float
        Time until the statement's deadline, in s.

    Examples
    --------
    >>> may_retry_elsewhere([0.9, 0.1], may_wait_s=0.3, remaining_s=0.8)
    True
    >>> may_retry_elsewhere([0.9, 0.5], may_wait_s=0.3, remaining_s=0.8)
    False
    """
    if remaining_s <= 0.0:
        return False
    return any(wait_s <= may_wait_s for wait_s in waits_s)
