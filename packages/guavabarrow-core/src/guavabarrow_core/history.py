"""Judges what callers saw against the promises of the product.

Callers insert rows with ids of their own and read them back. The checker compares
what each caller was told with what it and others saw, and with the final state.
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
    """Promise that a violation breaks."""

    READ_YOUR_WRITES = "read-your-writes"
    ACKNOWLEDGED_WRITE_KEPT = "acknowledged write kept"
    AT_MOST_ONCE = "at-most-once execution"
    NOT_RUN_IS_TRUE = "'not run' is true"
    STATED_AGE = "stated age"
    OWN_ANSWER = "the whole answer to the own request"
    RATE = "rate and burst over all VMs"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise."""

    guarantee: Guarantee
    detail: str


@dataclass(frozen=True, slots=True)
class ObservedWrite:
    """A write as its caller saw it.

    Parameters
    ----------
    session : str
        Session that wrote.
    row : str
        Id of the row, unique to this write.
    sent_at, answered_at : float
        Times on the caller's monotonic clock.
    ran : ExecutionStatus
        What the caller was told; OUTCOME_UNKNOWN if it got no answer.
    """

    session: str
    row: str
    sent_at: float
    answered_at: float
    ran: ExecutionStatus


@dataclass(frozen=True, slots=True)
class ObservedRead:
    """A successful read as its caller saw it.

    Parameters
    ----------
    session : str
        Session that read.
    rows : frozenset of str
        Ids of all rows that were returned.
    sent_at, answered_at : float
        Times on the caller's monotonic clock.
    max_age_s : float or None
        Stated age.
    asked_nonce, answered_nonce : str
        Value that the request sent and that its answer must return.
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
    """Everything that callers saw.

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
        """Return all broken promises.

        Parameters
        ----------
        final_rows : iterable of str
            Ids of all rows after the faults have ended, with repeats.

        Returns
        -------
        list of Violation
            Empty if all promises were kept.
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
                    Violation(Guarantee.ACKNOWLEDGED_WRITE_KEPT, f"{write} is gone")
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
                    detail = f"{write.row} is missing from {read.sent_at}"
                    violations.append(Violation(Guarantee.STATED_AGE, detail))
        return violations


def check_rate(
    admitted: Sequence[tuple[float, float]], *, rate_per_s: float, burst: float
) -> list[Violation]:
    """Find a window in which more was admitted than rate and burst allow.

    Parameters
    ----------
    admitted : sequence of (float, float)
        Times at which each admitted request was sent and answered. It was admitted
        somewhere between, so only requests that lie inside a window are counted.
    rate_per_s, burst : float
        Limits over the whole fleet.

    Returns
    -------
    list of Violation
        At most one, for the worst window.

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
        inside = [answered for sent, answered in by_answer if sent >= start]
        for end in inside[:: max(1, len(inside) // 200)] + inside[-1:]:
            count = bisect_right(inside, end) - bisect_left(inside, start)
            excess = count - (rate_per_s * (end - start) + burst)
            if excess > max(worst, 1e-6):
                worst = excess
                detail = f"{count} in {end - start:.3f} s, {excess:.1f} too many"
    return [Violation(Guarantee.RATE, detail)] if detail else []
