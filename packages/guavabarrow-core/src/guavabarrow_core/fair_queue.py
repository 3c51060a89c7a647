"""Start-time fair queueing of statements in front of a database.

Source: Goyal, Vin and Cheng, "Start-time Fair Queuing: A Scheduling Algorithm for
Integrated Services Packet Switching Networks", SIGCOMM 1996.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from guavabarrow_core.exceptions import DeadlineExceeded, Overloaded

T = TypeVar("T")

MAX_QUEUED_PER_TEAM = 128
INITIAL_SERVICE_S = 0.005
SERVICE_SMOOTHING = 0.05


@dataclass(slots=True)
class VirtualClock:
    """Virtual time and finish tags of start-time fair queueing.

    Parameters
    ----------
    time : float
        Virtual time: start tag of the item served last.
    finish_tag_by_team : dict of str to float
        Finish tag of each team's last item.

    Examples
    --------
    >>> clock = VirtualClock()
    >>> clock.tag("big"), clock.tag("big"), clock.tag("small"), clock.tag("heavy", 4.0)
    (0.0, 1.0, 0.0, 0.0)
    >>> clock.tag("heavy", 4.0)
    0.25
    """

    time: float = 0.0
    finish_tag_by_team: dict[str, float] = field(default_factory=dict)

    def tag(self, team: str, weight: float = 1.0) -> float:
        """Return the start tag of a team's next item and charge the item to it."""
        start_tag = max(self.time, self.finish_tag_by_team.get(team, 0.0))
        self.finish_tag_by_team[team] = start_tag + 1.0 / weight
        return start_tag

    def refund(self, team: str, weight: float = 1.0) -> None:
        """Take back the charge of an item that is not served."""
        if team in self.finish_tag_by_team:
            self.finish_tag_by_team[team] -= 1.0 / weight

    def advance(self, start_tag: float) -> None:
        """Record that the item with a start tag is served."""
        self.time = max(self.time, start_tag)

    def forget_if_idle(self, team: str) -> bool:
        """Drop a team without items unless it used more than its share."""
        if self.finish_tag_by_team.get(team, 0.0) > self.time:
            return False
        self.finish_tag_by_team.pop(team, None)
        return True


@dataclass(slots=True)
class QueuedItem(Generic[T]):
    """Item that waits for a connection."""

    value: T
    team: str
    deadline: float
    start_tag: float


@dataclass(slots=True)
class TeamQueue(Generic[T]):
    """Waiting items of one team in order of arrival."""

    weight: float
    items: deque[QueuedItem[T]] = field(default_factory=deque)


class FairQueue(Generic[T]):
    """Queue that serves teams in proportion to their weights.

    Parameters
    ----------
    max_per_team : int
        Maximum queue length of one team.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for number in range(3):
    ...     _ = queue.push(f"big{number}", team="big", weight=1, deadline=9, now=0)
    >>> _ = queue.push("small", team="small", weight=1, deadline=9, now=0)
    >>> [queue.pop(now=0.0).value for _ in range(3)]
    ['big0', 'small', 'big1']
    """

    def __init__(self, max_per_team: int = MAX_QUEUED_PER_TEAM) -> None:
        self._queue_by_team: dict[str, TeamQueue[T]] = {}
        self._clock = VirtualClock()
        self._max_per_team = max_per_team
        self._service_s = INITIAL_SERVICE_S
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def estimated_wait_s(self) -> float:
        """Estimated time until an item pushed now is served, in s."""
        return self._service_s * (self._length + 1)

    def push(
        self, value: T, *, team: str, weight: float, deadline: float, now: float
    ) -> QueuedItem[T]:
        """Append an item to its team's queue.

        Parameters
        ----------
        value : object
            Value to queue.
        team : str
            Team that the item belongs to.
        weight : float
            Weight of the team relative to other teams.
        deadline : float
            Monotonic time after which the item no longer needs to be served.
        now : float
            Monotonic time.

        Returns
        -------
        QueuedItem
            Queued item, to be passed to :meth:`discard`.

        Raises
        ------
        DeadlineExceeded
            If the deadline has passed.
        Overloaded
            If the team's queue is full.
        """
        if now >= deadline:
            raise DeadlineExceeded("The deadline passed before the request was queued.")
        queue = self._queue_by_team.setdefault(team, TeamQueue(weight))
        queue.weight = weight
        if len(queue.items) >= self._max_per_team:
            raise Overloaded(
                "The team's queue in front of the database is full.",
                retry_after_s=self.estimated_wait_s,
            )
        item = QueuedItem(value, team, deadline, self._clock.tag(team, weight))
        queue.items.append(item)
        self._length += 1
        return item

    def pop(self, *, now: float) -> QueuedItem[T] | None:
        """Remove the item with the lowest start tag.

        Parameters
        ----------
        now : float
            Monotonic time.

        Returns
        -------
        QueuedItem or None
            Its deadline may have passed; None if the queue is empty.
        """
        waiting = [queue for queue in self._queue_by_team.values() if queue.items]
        if not waiting:
            return None
        next_queue = min(waiting, key=lambda queue: queue.items[0].start_tag)
        item = next_queue.items.popleft()
        self._length -= 1
        self._clock.advance(item.start_tag)
        self._remove_if_idle(item.team)
        return item

    def discard(self, item: QueuedItem[T]) -> bool:
        """Remove a waiting item, False if it was popped before."""
        queue = self._queue_by_team.get(item.team)
        if queue is None or item not in queue.items:
            return False
        queue.items.remove(item)
        self._length -= 1
        self._remove_if_idle(item.team)
        return True

    def record_service(self, interval_s: float) -> None:
        """Update the wait estimate with the interval between two completions, in s."""
        self._service_s += SERVICE_SMOOTHING * (interval_s - self._service_s)

    def _remove_if_idle(self, team: str) -> None:
        queue = self._queue_by_team[team]
        if not queue.items and self._clock.forget_if_idle(team):
            del self._queue_by_team[team]
