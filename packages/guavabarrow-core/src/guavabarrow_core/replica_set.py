"""Logs that matter when the primary of a service is replaced.

A commit is acknowledged once ``sync_replicas`` replicas have received it, whichever
these are. What counts is a process of a target: one that starts again under its id, or
at its address, has a log of its own. Each process that may have received a commit
counts until it is released, by one rule:

    ``sync_replicas`` other processes, each with its own log, have reached the end of
    the primary's log that was read after the process had ended.

So each acknowledged commit is always in the logs of so many processes that count. The
log that a primary was promoted with counts in the same way until it is released, as it
may be in no other log. An end that was read before a process ended proves nothing.

Without such a reading, the return of the primary is waited for: a process that can't
come back is given up ``GONE_AFTER_S`` after the primary was last known to lead and the
process to live, and one that may come back as long after its last sign of life. Each
one that is given up leaves an acknowledged commit in one log less of those that count.
It counts again once a primary leads, until it is released.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavabarrow_core.log_position import reaches

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_messages import TargetStatus
    from guavabarrow_core.target_directory import TargetEntry

GONE_AFTER_S = 15.0
"""Time without a sign of life after which a replica that isn't listed is gone. A change
of the primary has to be over within 18 s, of which the promotion itself takes 3 s."""

CHECK_INTERVAL_S = 0.5
"""Interval between queries to a service's targets while a replica isn't listed or
drains, or a process that has ended counts."""

FOLLOW_UP_INTERVAL_S = 0.1
"""The same once a process was found to have ended, as the primary may fail next."""

HAS_ENDED = "its process has ended, and others have all commits"
"""Reason in the log and label of the metric."""

ProcessIdentity = tuple[str, str, int, int]
"""Id, host, port and time of birth of a target's process."""


def process_identity(entry: TargetEntry) -> ProcessIdentity:
    """Return what tells the process that wrote an entry from others."""
    return (entry.target_id, entry.host, entry.port, entry.born_ms)


@dataclass(frozen=True, slots=True)
class LogReading:
    """End of the primary's log, and the local time of the query, in s."""

    end: LogPosition | None
    asked_at: float


@dataclass(slots=True)
class Replica:
    """What is known of the log of one process in the present term of its service.

    Parameters
    ----------
    entry : TargetEntry
        Its last entry.
    needed_at : float
        Local time, in s, of its last sign of life, or at which only it may have had
        the newest commits.
    is_listed : bool
        Whether its entry is in the list.
    is_silent : bool
        Whether it didn't answer when it was last asked.
    silent_since : float or None
        Local time of the last sign of life before it was silent for the last time.
    end : LogPosition or None
        End of its log when it last answered.
    answered_at : float
        Local time of the last query that it answered.
    ended_at : float or None
        Local time at which it was found to have ended.
    is_covered : bool
        Whether enough others have all commits that it may have received.
    """

    entry: TargetEntry
    needed_at: float
    is_listed: bool = True
    is_silent: bool = False
    silent_since: float | None = None
    end: LogPosition | None = None
    answered_at: float = float("-inf")
    ended_at: float | None = None
    is_covered: bool = False

    @property
    def identity(self) -> ProcessIdentity:
        """What tells its process from others."""
        return process_identity(self.entry)

    def record_entry(self, entry: TargetEntry, now: float) -> None:
        """Record that it is listed.

        An entry stays for some time after its target has ended, so only a new one shows
        that a silent target lives.
        """
        if entry != self.entry or not self.is_listed:
            self.is_silent = False
        if not self.is_silent:
            self.needed_at = now
        self.entry = entry
        self.is_listed = True

    def record_answer(self, end: LogPosition | None, now: float) -> None:
        """Record the end of its log."""
        self.end = end
        if self.is_silent:
            self.silent_since = self.needed_at
        self.needed_at = self.answered_at = now
        self.is_silent = False
        self.ended_at = None

    def record_silence(self, now: float, *, has_ended: bool) -> None:
        """Record that it didn't answer, or that no process listens at its address."""
        self.is_silent = True
        if has_ended:
            self.record_end(now)
        else:
            self.ended_at = None

    def record_end(self, now: float) -> None:
        """Record that it has ended; what others had before proves nothing."""
        if self.ended_at is None:
            self.ended_at = now
            self.is_covered = False


@dataclass(slots=True)
class ReplicaSet:
    """Processes of one service that the replacement of its primary must consider.

    Parameters
    ----------
    sync_replicas : int
        Replicas that had each commit before it was acknowledged.

    Attributes
    ----------
    replica_by_id : dict of str to Replica
        Present process of each target, including the primary.
    ended : list of Replica
        Processes that can't come back and still count.
    primary_id, term : str, int
        The settled primary.
    """

    sync_replicas: int
    replica_by_id: dict[str, Replica] = field(default_factory=dict)
    ended: list[Replica] = field(default_factory=list)
    primary_id: str = ""
    term: int = 0
    _led_at: float = float("-inf")
    _reading: LogReading | None = None
    _asked_at: float = float("-inf")
    _released: set[ProcessIdentity] = field(default_factory=set)
    _newly_ended: list[Replica] = field(default_factory=list)

    def follow_primary(self, primary_id: str, term: int, now: float) -> None:
        """Start anew with a settled primary, whose log has all acknowledged commits.

        Replicas that were ahead of it are rolled back, so the ends that they had say
        nothing any more.
        """
        if (primary_id, term) == (self.primary_id, self.term):
            return
        self.primary_id, self.term = primary_id, term
        self._led_at = self._asked_at = now
        self._reading = None
        for replica in (*self.replica_by_id.values(), *self.ended):
            replica.end = None
            replica.answered_at = float("-inf")
            replica.is_covered = False
        promoted = self.replica_by_id.get(primary_id)
        if promoted is not None:
            self._add_debt(promoted.entry, now)

    def restore(
        self, primary_id: str, term: int, entries: Iterable[TargetEntry], now: float
    ) -> None:
        """Start with the processes that count, as another VM knew them.

        The primary is among them until the log that it was promoted with is released.
        """
        self.primary_id, self.term = primary_id, term
        self._led_at = self._asked_at = now
        for entry in sorted(entries, key=lambda entry: entry.born_ms):
            if entry.target_id == primary_id:
                self._add_debt(entry, now)
            else:
                self._start(entry, now, is_listed=False)

    def _add_debt(self, entry: TargetEntry, now: float) -> None:
        """Count the log that a primary was promoted with until others have it."""
        self.ended.append(Replica(entry, now, is_listed=False, ended_at=now))

    def add_unlisted(self, entries: Iterable[TargetEntry], now: float) -> None:
        """Add targets that were listed before, unless they are known."""
        for entry in entries:
            if entry.target_id not in (*self.replica_by_id, self.primary_id):
                self._start(entry, now, is_listed=False)

    def update(self, listed: Collection[TargetEntry], now: float) -> None:
        """Apply the present list of the service's targets."""
        identities = {process_identity(entry) for entry in listed}
        self._released &= identities
        for entry in listed:
            identity = process_identity(entry)
            known = self.replica_by_id.get(entry.target_id)
            is_known = known is not None and known.identity == identity
            if known is not None and (is_known or self._is_unnamed(known)):
                known.record_entry(entry, now)
            elif identity not in self._released and not self._has_ended(identity):
                self._start(entry, now, is_listed=True)
        for replica in self.replica_by_id.values():
            replica.is_listed = replica.identity in identities
        primary = self.replica_by_id.get(self.primary_id)
        is_leading = primary is not None and primary.entry.is_primary
        if primary and is_leading and primary.is_listed and not primary.is_silent:
            self._led_at = now

    def _is_unnamed(self, replica: Replica) -> bool:
        """Return whether a process is only known by an answer, which its log showed.

        While a primary leads, it may end and be followed by another one, unseen.
        """
        has_no_entry = any(ended.identity == replica.identity for ended in self.ended)
        return has_no_entry and replica.answered_at >= self._led_at

    def _has_ended(self, identity: ProcessIdentity) -> bool:
        """Return whether a process has ended; the primary's debt is no end of it."""
        return identity[0] != self.primary_id and any(
            replica.identity == identity for replica in self.ended
        )

    def _start(self, entry: TargetEntry, now: float, *, is_listed: bool) -> None:
        """Add a process; it begins with a log of its own."""
        if entry.target_id in self.replica_by_id:
            self._end(entry.target_id, now)
        self.replica_by_id[entry.target_id] = Replica(entry, now, is_listed)

    def _end(self, target_id: str, now: float) -> None:
        """Record that a target's process has ended for good.

        A primary that starts again takes nothing with it: what it acknowledged is in
        the logs of replicas.
        """
        replica = self.replica_by_id.pop(target_id)
        self._newly_ended.append(replica)
        if target_id == self.primary_id:
            return
        replica.record_end(now)
        replica.is_listed = False
        if replica.silent_since is not None and not replica.is_silent:
            # What answered after the silence was its successor already.
            replica.needed_at = replica.silent_since
        self.ended.append(replica)

    def record_life(self, target_id: str, now: float) -> None:
        """Record that another VM reached a replica."""
        replica = self.replica_by_id.get(target_id)
        if replica is not None:
            replica.needed_at = now
            replica.is_silent = False
            replica.ended_at = None

    def record(
        self,
        status_by_id: Mapping[str, TargetStatus],
        ended_ids: Collection[str],
        replaced_ids: Collection[str],
        *,
        asked: Collection[TargetEntry],
        asked_at: float,
        now: float,
    ) -> None:
        """Record the answers of one round of queries, unless it was overtaken.

        Older answers than the known ones would look like those of new processes.

        Parameters
        ----------
        status_by_id : dict of str to TargetStatus
            Statuses of the targets that answered.
        ended_ids : collection of str
            Targets at whose address no process listens, or another target.
        replaced_ids : collection of str
            Those of them at whose address another target answered.
        asked : collection of TargetEntry
            Targets that were asked.
        asked_at, now : float
            Local times of the queries and of the answers, in s.
        """
        if asked_at < self._asked_at:
            return
        for entry in asked:
            replica = self.replica_by_id.get(entry.target_id)
            if replica is None or replica.entry.born_ms != entry.born_ms:
                continue
            status = status_by_id.get(entry.target_id)
            if entry.target_id == self.primary_id:
                replica.is_silent = status is None or not self._leads(status)
            elif status is not None:
                self._record_end_of_log(replica, status.received, asked_at, now)
            elif entry.target_id in replaced_ids:
                self._end(entry.target_id, now)
            else:
                replica.record_silence(now, has_ended=entry.target_id in ended_ids)
        primary = status_by_id.get(self.primary_id)
        reading = None
        if primary is not None and self._leads(primary):
            reading = LogReading(primary.received, asked_at)
            self._led_at = now
        self._update_coverage(reading, asked_at, now)
        self._asked_at = asked_at
        self._reading = reading or self._reading

    def _leads(self, status: TargetStatus) -> bool:
        """Return whether a status is that of the primary that was promoted."""
        is_same_log = self._reading is None or reaches(
            status.received, self._reading.end
        )
        return status.is_primary and status.term >= self.term and is_same_log

    def _record_end_of_log(
        self, replica: Replica, end: LogPosition | None, asked_at: float, now: float
    ) -> None:
        """Record an answer; a log that has become shorter is that of a new process."""
        if not reaches(end, replica.end):
            self._start(replica.entry, now, is_listed=replica.is_listed)
            replica = self.replica_by_id[replica.entry.target_id]
        replica.record_answer(end, asked_at)

    def _update_coverage(
        self, reading: LogReading | None, asked_at: float, now: float
    ) -> None:
        """Compare the replicas with the primary's log, as now and before read.

        Under load, replicas have what was read now only in the next round.
        """
        readings = [known for known in (self._reading, reading) if known is not None]
        for replica in (*self._replicas(), *self.ended):
            is_covered = any(
                self._is_covered(replica, known, asked_at) for known in readings
            )
            if reading is not None and not replica.is_listed and not is_covered:
                replica.needed_at = now
            if reading is not None or is_covered:
                replica.is_covered = is_covered

    def _is_covered(
        self, replica: Replica, reading: LogReading, asked_at: float
    ) -> bool:
        """Return whether enough others have all that a process may have received."""
        if replica.ended_at is not None and replica.ended_at >= reading.asked_at:
            return False
        holders = [
            other
            for other in self._replicas()
            if other is not replica
            and other.answered_at == asked_at
            and reaches(other.end, reading.end)
        ]
        return len(holders) >= max(1, self.sync_replicas)

    def _replicas(self) -> list[Replica]:
        return [
            replica
            for target_id, replica in self.replica_by_id.items()
            if target_id != self.primary_id
        ]

    def replica_ids(self, now: float) -> tuple[str, ...]:
        """Return the targets that a replacement must take into account."""
        return tuple(
            replica.entry.target_id
            for replica in self._replicas()
            if replica.is_listed or not self._reason_to_ignore(replica, now)
        )

    @property
    def counted_entries(self) -> tuple[TargetEntry, ...]:
        """Entries of all processes that count."""
        counted = sorted(
            (*self._replicas(), *self.ended), key=lambda replica: replica.identity
        )
        return tuple(replica.entry for replica in counted)

    def take_ended(self) -> list[Replica]:
        """Return the processes that were found to have ended since the last call."""
        ended, self._newly_ended = self._newly_ended, []
        return ended

    def remove_gone(self, now: float) -> list[tuple[Replica, str]]:
        """Release the processes that don't count any more; return them with reasons."""
        gone = []
        for replica in self._replicas():
            reason = "" if replica.is_listed else self._reason_to_ignore(replica, now)
            # One whose port is closed may only be cut off, or start again with its log.
            is_late = now - replica.needed_at >= GONE_AFTER_S
            if reason and is_late and replica.is_covered:
                del self.replica_by_id[replica.entry.target_id]
                gone.append((replica, reason))
        for replica in [ended for ended in self.ended if ended.is_covered]:
            self.ended.remove(replica)
            if replica.entry.target_id != self.primary_id:
                # Its entry may be listed for some time.
                self._released.add(replica.identity)
            gone.append((replica, HAS_ENDED))
        return gone

    def _reason_to_ignore(self, replica: Replica, now: float) -> str:
        if replica.ended_at is not None and replica.is_covered:
            return HAS_ENDED
        if now - replica.needed_at >= GONE_AFTER_S:
            return "no sign of life"
        return ""

    def ended_count(self, now: float) -> int:
        """Return the number of processes that count and can't answer any more."""
        return sum(not self._is_given_up(replica, now) for replica in self.ended)

    def copies(self, now: float) -> int:
        """Return how many logs of those that count have each acknowledged commit."""
        given_up = sum(self._is_given_up(replica, now) for replica in self.ended)
        given_up += sum(
            not replica.is_listed
            and not replica.is_covered
            and now - replica.needed_at >= GONE_AFTER_S
            for replica in self._replicas()
        )
        return max(1, self.sync_replicas - given_up)

    def _is_given_up(self, replica: Replica, now: float) -> bool:
        """Return whether a process that has ended isn't waited for any longer."""
        return now - max(self._led_at, replica.needed_at) >= GONE_AFTER_S

    def has_log(self) -> bool:
        """Return whether any target is known to have held a commit."""
        is_primary_filled = self._reading is not None and self._reading.end is not None
        return is_primary_filled or any(
            replica.end is not None
            for replica in (*self.replica_by_id.values(), *self.ended)
        )

    def is_check_due(self) -> bool:
        """Return whether the logs of the targets should be compared now.

        In calm operation it is enough to know that each replica holds something, and
        that the primary led when it was last asked.
        """
        primary = self.replica_by_id.get(self.primary_id)
        is_primary_silent = primary is not None and primary.is_silent
        return (
            bool(self.ended)
            or is_primary_silent
            or any(
                not replica.is_listed
                or replica.entry.is_draining
                or replica.ended_at is not None
                or not self._is_log_known(replica)
                for replica in self._replicas()
            )
        )

    @property
    def check_interval_s(self) -> float:
        """Interval between comparisons while they are due, in s.

        What the others must have once a process has ended is only known from the next
        answer of the primary.
        """
        reading = self._reading
        if reading is None or reading.asked_at != self._asked_at:
            return CHECK_INTERVAL_S
        is_next_needed = any(
            replica.ended_at is not None and replica.ended_at >= reading.asked_at
            for replica in (*self._replicas(), *self.ended)
        )
        return FOLLOW_UP_INTERVAL_S if is_next_needed else CHECK_INTERVAL_S

    def _is_log_known(self, replica: Replica) -> bool:
        has_log = self._reading is not None and self._reading.end is not None
        is_asked = replica.answered_at > float("-inf")
        return is_asked and (replica.end is not None or not has_log)
