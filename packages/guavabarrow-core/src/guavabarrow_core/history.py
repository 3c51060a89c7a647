"""Consistency checker for histories of client operations.

Callers insert rows with unique ids and read them back. The checker compares the
reported outcome of each operation with the results of all reads and with the final
state.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import ExecutionStatus

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


class Guarantee(Enum):
    """Guarantee of the product that the checker verifies."""

    READ_YOUR_WRITES = "read-your-writes"
    ACKNOWLEDGED_WRITE_KEPT = "acknowledged write kept"
    AT_MOST_ONCE = "at-most-once execution"
    NOT_RUN_IS_TRUE = "'not run' is true"
    STATED_AGE = "stated age"
    OWN_ANSWER = "the whole answer to the own request"
    RATE = "rate and burst over all VMs"


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a guarantee."""

    guarantee: Guarantee
    detail: str


@dataclass(frozen=True, slots=True)
class ObservedWrite:
    """A write as observed by its caller.

    Parameters
    ----------
    session : str
        Session of the write.
    row : str
        Id of the row, unique to this write.
    sent_at, answered_at : float
        Times on the caller's monotonic clock.
    ran : ExecutionStatus
        Outcome reported to the caller; OUTCOME_UNKNOWN if no answer arrived.
    """

    session: str
    row: str
    sent_at: float
    answered_at: float
    ran: ExecutionStatus


@dataclass(frozen=True, slots=True)
class ObservedRead:
    """A successful read as observed by its caller.

    Parameters
    ----------
    session : str
        Session of the read.
    rows : frozenset of str
        Ids of all rows that were returned.
    sent_at, answered_at : float
        Times on the caller's monotonic clock.
    max_age_s : float or None
        Requested maximum age of the data in seconds, None if unlimited.
    asked_nonce, answered_nonce : str
        Nonce of the request, and the one in its answer; they must be equal.
    """

    session: str
    rows: frozenset[str]
    sent_at: float
    answered_at: float
    max_age_s: float | None = None
    asked_nonce: str = ""
    answered_nonce: str = ""


@dataclass(slots=True)
class History:
    """All operations as observed by their callers.

    Examples
    --------
    >>> history = History()
    >>> history.writes.append(ObservedWrite("s", "w1", 0.0, 1.0, ExecutionStatus.RAN))
    >>> history.reads.append(ObservedRead("s", frozenset(), 2.0, 3.0))
    >>> [violation.guarantee.name for violation in history.check(["w1"])]
    ['READ_YOUR_WRITES']
    """

    writes: list[ObservedWrite] = field(default_factory=list)
    reads: list[ObservedRead] = field(default_factory=list)

    def check(self, final_rows: Iterable[str]) -> list[Violation]:
        """Return all violations of guarantees.

        Parameters
        ----------
        final_rows : iterable of str
            Ids of all rows after the faults have ended, including duplicates.

        Returns
        -------
        list of Violation
            Empty if all guarantees hold.
        """
        counts = Counter(final_rows)
        return [
            *self._check_final(counts),
            *self._check_reads(),
            *self._check_stated_age(),
        ]

    def _check_final(self, counts: Counter[str]) -> list[Violation]:
        violations = []
        for write in self.writes:
            count = counts[write.row]
            if write.ran is ExecutionStatus.RAN and count == 0:
                violations.append(
                    Violation(
                        Guarantee.ACKNOWLEDGED_WRITE_KEPT,
                        f"{write} is missing from the final rows",
                    )
                )
            if count > 1:
                violations.append(
                    Violation(Guarantee.AT_MOST_ONCE, f"{write} ran {count} times")
                )
            if write.ran is ExecutionStatus.NOT_RUN and count > 0:
                violations.append(Violation(Guarantee.NOT_RUN_IS_TRUE, f"{write} ran"))
        return violations

    def _check_reads(self) -> list[Violation]:
        violations = []
        writes_by_session: dict[str, list[ObservedWrite]] = {}
        for write in self.writes:
            if write.ran is ExecutionStatus.RAN:
                writes_by_session.setdefault(write.session, []).append(write)
        for read in self.reads:
            if read.asked_nonce != read.answered_nonce:
                violations.append(Violation(Guarantee.OWN_ANSWER, f"{read}"))
            for write in writes_by_session.get(read.session, ()):
                if write.answered_at <= read.sent_at and write.row not in read.rows:
                    detail = f"{write.row} is not in the read sent at {read.sent_at}"
                    violations.append(Violation(Guarantee.READ_YOUR_WRITES, detail))
        return violations

    def _check_stated_age(self) -> list[Violation]:
        acknowledged = [
            write for write in self.writes if write.ran is ExecutionStatus.RAN
        ]
        violations = []
        for read in self.reads:
            if read.max_age_s is None:
                continue
            limit = read.sent_at - read.max_age_s
            for write in acknowledged:
                if write.answered_at < limit and write.row not in read.rows:
                    detail = f"{write.row} is not in the read sent at {read.sent_at}"
                    violations.append(Violation(Guarantee.STATED_AGE, detail))
        return violations


def check_rate(
    admitted: Sequence[tuple[float, float]], *, rate_per_s: float, burst: float
) -> list[Violation]:
    """Find a time window with more admitted requests than rate and burst allow.

    Parameters
    ----------
    admitted : sequence of (float, float)
        Times at which each admitted request was sent and answered. The admission
        happened at some time between, so only requests that lie entirely within a
        window are counted.
    rate_per_s, burst : float
        Limits of the whole fleet, in requests per second and requests.

    Returns
    -------
    list of Violation
        At most one, for the window with the largest excess.

    Examples
    --------
    >>> check_rate([(0.0, 0.1)] * 5, rate_per_s=10.0, burst=4.0)
    []
    >>> len(check_rate([(0.0, 0.1)] * 6, rate_per_s=10.0, burst=4.0))
    1
    """
    worst = 0.0
    detail = ""
    starts = sorted({sent for sent, _ in admitted})
    by_answer = sorted(admitted, key=lambda times: times[1])
    for start in starts:
        answer_times = [answered for sent, answered in by_answer if sent >= start]
        for end in (
            answer_times[:: max(1, len(answer_times) // 200)] + answer_times[-1:]
        ):
            count = bisect_right(answer_times, end) - bisect_left(answer_times, start)
            excess = count - (rate_per_s * (end - start) + burst)
            if excess > max(worst, 1e-6):
                worst = excess
                detail = f"{count} in {end - start:.3f} s, {excess:.1f} above the limit"
    return [Violation(Guarantee.RATE, detail)] if detail else []
