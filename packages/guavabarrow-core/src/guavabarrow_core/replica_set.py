"""Replicas whose logs matter when the primary of a service is replaced.

Where commits are acknowledged once some replicas have received them, each replica that
may have received one counts until the others are known to have it too. The list of
targets can't tell: an entry expires while its target still receives commits, and a
target that has just registered may hold nothing.

A replica that is no longer listed counts until one of these is known:

- its process has ended, and enough other replicas have all that the primary has
  committed since;
- a target at its address has its log;
- it has shown no sign of life for ``GONE_AFTER_S``, and if the primary answered
  meanwhile, enough other replicas had all of its commits.
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


LOG_SETTLED_S = 1.0
"""Time for which the log of a target must be unchanged before it counts as the whole
log that was transferred to it."""


@dataclass(slots=True)
class Replica:
    """What is known of one replica in the present term of its service.

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
    end : LogPosition or None
        Farthest end of its log that is known, None if it isn't known to hold anything.
    latest : LogPosition or None
        End of its log when it last answered.
    answered_at, unchanged_since : float
        Local times of the last query that it answered, and of the first one that it
        answered with the same end.
    ended_since : float or None
        Local time since which its process, or a former one with another log, is known
        to have ended.
    is_replaced : bool
        Whether another target was found at its address.
    is_log_lost : bool
        Whether its present process has less than the former one had.
    is_covered : bool
        Whether enough replicas have all commits that it may have received.
    """

    entry: TargetEntry
    needed_at: float
    is_listed: bool = True
    is_silent: bool = False
    end: LogPosition | None = None
    latest: LogPosition | None = None
    answered_at: float = float("-inf")
    unchanged_since: float = float("-inf")
    ended_since: float | None = None
    is_replaced: bool = False
    is_log_lost: bool = False
    is_covered: bool = False

    def record_entry(self, entry: TargetEntry, now: float) -> None:
        """Record that it is listed; a new process may not have the former one's log.

        An entry stays for some time after its target has ended, so only a new one shows
        that a silent target lives.
        """
        if entry.born_ms != self.entry.born_ms:
            self.is_log_lost = True
            self.ended_since = None
            self.record_end(now)
        if entry != self.entry or not self.is_listed:
            self.is_silent = False
        if not self.is_silent:
            self.needed_at = now
        self.entry = entry
        self.is_listed = True

    def record_answer(self, received: LogPosition | None, now: float) -> None:
        """Record the end of its log."""
        self.needed_at = self.answered_at = now
        self.is_silent = False
        if received != self.latest:
            self.unchanged_since = now
        self.latest = received
        self.is_replaced = False
        if self.end is not None and reaches(received, self.end):
            self.is_log_lost = False
        elif self.end is not None:
            self.is_log_lost = True
        if self.is_log_lost:
            self.record_end(now)
            return
        self.end = received
        self.ended_since = None

    def record_end(self, now: float) -> None:
        """Record that its process has ended.

        What the other replicas had before says nothing about its last commits.
        """
        if self.ended_since is None:
            self.ended_since = now
            self.is_covered = False

    def accept_present_log(self) -> None:
        """Let its present log count, as what the former one had isn't needed."""
        self.is_log_lost = False
        self.end = self.latest
        self.ended_since = None


@dataclass(slots=True)
class ReplicaSet:
    """Targets of one service, with what the replacement of its primary must wait for.

    Parameters
    ----------
    sync_replicas : int
        Replicas that had each commit before it was acknowledged.

    Attributes
    ----------
    replica_by_id : dict of str to Replica
        All of them, including the primary.
    primary_id, term : str, int
        The settled primary.
    """

    sync_replicas: int
    replica_by_id: dict[str, Replica] = field(default_factory=dict)
    primary_id: str = ""
    term: int = 0
    _primary_end: LogPosition | None = None
    _primary_read_at: float = float("-inf")

    def follow_primary(self, primary_id: str, term: int) -> None:
        """Start anew with a settled primary, whose log has all acknowledged commits.

        Replicas that were ahead of it are rolled back, so the ends that they had say
        nothing any more.
        """
        if (primary_id, term) == (self.primary_id, self.term):
            return
        self.primary_id, self.term = primary_id, term
        self._primary_end = None
        self._primary_read_at = float("-inf")
        for replica in self.replica_by_id.values():
            replica.end = replica.latest = None
            replica.answered_at = float("-inf")
            replica.is_log_lost = replica.is_covered = False

    def restore(self, entries: Iterable[TargetEntry], now: float) -> None:
        """Add targets that are known from elsewhere than the present list."""
        for entry in entries:
            known = self.replica_by_id.get(entry.target_id)
            if known is None:
                replica = Replica(entry, now, is_listed=False)
                self.replica_by_id[entry.target_id] = replica

    def update(self, listed: Collection[TargetEntry], now: float) -> None:
        """Apply the present list of the service's targets."""
        for entry in listed:
            known = self.replica_by_id.get(entry.target_id)
            if known is None:
                self.replica_by_id[entry.target_id] = Replica(entry, now)
            else:
                known.record_entry(entry, now)
        for target_id in set(self.replica_by_id).difference(
            entry.target_id for entry in listed
        ):
            self.replica_by_id[target_id].is_listed = False

    def record_life(self, target_id: str, now: float) -> None:
        """Record that another VM reached a replica."""
        replica = self.replica_by_id.get(target_id)
        if replica is not None:
            replica.needed_at = now
            replica.is_silent = False
            if not replica.is_log_lost:
                replica.ended_since = None

    def record(
        self,
        status_by_id: Mapping[str, TargetStatus],
        ended_ids: Collection[str],
        replaced_ids: Collection[str],
        *,
        asked_ids: Collection[str],
        asked_at: float,
        now: float,
    ) -> None:
        """Record the answers of one round of queries.

        Parameters
        ----------
        status_by_id : dict of str to TargetStatus
            Statuses of the targets that answered.
        ended_ids : collection of str
            Targets at whose address no process listens, or another target.
        replaced_ids : collection of str
            Those of them at whose address another target answered.
        asked_ids : collection of str
            Targets that were asked.
        asked_at, now : float
            Local times of the queries and of the answers, in s.
        """
        for target_id, replica in self._replicas():
            if target_id not in asked_ids:
                continue
            status = status_by_id.get(target_id)
            replica.is_silent = status is None
            if status is not None:
                replica.record_answer(status.received, asked_at)
            elif target_id in ended_ids:
                replica.record_end(asked_at)
            elif not replica.is_log_lost:
                replica.ended_since = None
            replica.is_replaced |= target_id in replaced_ids
        primary = status_by_id.get(self.primary_id)
        leads = primary is not None and primary.is_primary and primary.term >= self.term
        self._update_coverage(leads, asked_at, now)
        if primary is not None and leads:
            self._primary_end = primary.received
            self._primary_read_at = asked_at

    def _update_coverage(self, leads: bool, asked_at: float, now: float) -> None:
        """Compare the replicas with the end of the primary's log in the last round."""
        for target_id, replica in self._replicas():
            is_covered = self._is_covered(target_id, replica, asked_at)
            if leads and not replica.is_listed and not is_covered:
                replica.needed_at = now
            if leads or is_covered:
                replica.is_covered = is_covered
            if is_covered and replica.is_log_lost:
                replica.accept_present_log()

    def _is_covered(self, target_id: str, replica: Replica, asked_at: float) -> bool:
        """Return whether enough other replicas have what the primary had a round ago.

        A replica that has ended received nothing after that. If it started without its
        log, its present log counts as another one.
        """
        read_at = self._primary_read_at
        if read_at == float("-inf"):
            return False
        if replica.ended_since is not None and replica.ended_since >= read_at:
            return False
        replicas = self._replicas()
        holders = [
            other
            for key, other in replicas
            if (key != target_id or replica.is_log_lost)
            and other.answered_at == asked_at
            and reaches(other.latest, self._primary_end)
        ]
        return len(holders) >= max(1, min(self.sync_replicas, len(replicas) - 1))

    def _replicas(self) -> list[tuple[str, Replica]]:
        return [
            (target_id, replica)
            for target_id, replica in self.replica_by_id.items()
            if target_id != self.primary_id
        ]

    def replica_ids(self, now: float) -> tuple[str, ...]:
        """Return the replicas that a replacement must take into account."""
        return tuple(
            target_id
            for target_id, replica in self._replicas()
            if replica.is_listed or not self._reason_to_ignore(replica, now)
        )

    def incomplete_ids(self, now: float) -> frozenset[str]:
        """Return the replicas whose present log doesn't tell what the former one had.

        A replica that started without its log may have been the only one with the last
        commits; what it holds now doesn't show that.
        """
        return frozenset(
            target_id
            for target_id, replica in self._replicas()
            if replica.is_log_lost
            and replica.ended_since is not None
            and now - replica.ended_since < GONE_AFTER_S
        )

    def remove_gone(self, now: float) -> list[tuple[str, str]]:
        """Remove the replicas that are gone for good; return them with the reasons."""
        gone = []
        for target_id, replica in self._replicas():
            reason = "" if replica.is_listed else self._reason_to_ignore(replica, now)
            # One whose port is closed may only be cut off, or start again with its log.
            may_return = (
                replica.ended_since is not None
                and not replica.is_replaced
                and not self._has_successor(replica, now)
                and now - replica.needed_at < GONE_AFTER_S
            )
            if reason and not may_return:
                del self.replica_by_id[target_id]
                gone.append((target_id, reason))
        return gone

    def _reason_to_ignore(self, replica: Replica, now: float) -> str:
        if replica.ended_since is not None and replica.is_covered:
            return "its process has ended, and others have all commits"
        if self._has_successor(replica, now):
            return "the target at its address has its log"
        if now - replica.needed_at >= GONE_AFTER_S:
            return "no sign of life"
        return ""

    def _has_successor(self, replica: Replica, now: float) -> bool:
        address = (replica.entry.host, replica.entry.port)
        return replica.end is not None and any(
            other is not replica
            and (other.entry.host, other.entry.port) == address
            and other.is_listed
            and reaches(other.latest, replica.end)
            and now - other.unchanged_since >= LOG_SETTLED_S
            for other in self.replica_by_id.values()
        )

    def has_log(self) -> bool:
        """Return whether any target is known to have held a commit."""
        return self._primary_end is not None or any(
            replica.end is not None for replica in self.replica_by_id.values()
        )

    def is_check_due(self) -> bool:
        """Return whether the logs of the targets should be compared now.

        In calm operation it is enough to know that each replica holds something.
        """
        return any(
            not replica.is_listed
            or replica.entry.is_draining
            or replica.is_log_lost
            or not self._is_log_known(replica)
            for _, replica in self._replicas()
        )

    def is_follow_up_due(self) -> bool:
        """Return whether a replica was found to have ended in the last round.

        What the others must have is only known from the primary's answer in the next.
        """
        return any(
            replica.ended_since is not None
            and replica.ended_since == self._primary_read_at
            for _, replica in self._replicas()
        )

    def _is_log_known(self, replica: Replica) -> bool:
        has_log = self._primary_end is not None
        is_asked = replica.answered_at > float("-inf")
        return is_asked and (replica.end is not None or not has_log)
