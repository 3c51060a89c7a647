"""Choice among the targets of a read, with the reasons."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.target_load import ExpectedTime

PROBE_MARGIN = 1.5
"""Relation of expected times up to which a target is probed. One that is slower, too,
would hardly be used if it didn't fail, so nothing is gained by a probe."""


class Verdict(Enum):
    """Why a candidate is, or isn't, the target of a read."""

    CHOSEN = "chosen"
    CHOSEN_AS_PROBE = "chosen as a probe"
    SLOWER = "a longer expected time"
    PROBED = "fails too often, and no probe is due"
    FAILED_BEFORE = "failed this statement before"
    BEHIND = "lacked a log position a moment ago"
    NO_POSITION = "no observation of the primary is young enough to judge freshness"
    PRIMARY_ONLY = "the statement needs the primary"
    DRAINING = "draining"
    EVACUATED = "its domain is evacuated"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target of a service, as seen by one read.

    Parameters
    ----------
    target_id, domain : str
        The target and its failure domain.
    is_primary : bool
        Whether it would serve as the primary.
    after : LogPosition or None
        Log position that it must have reached; None at the primary.
    queue_s, handshake_s : float
        Expected wait at this VM, and time to open a connection, in s.
    time : ExpectedTime
        The other parts of the expected time.
    has_idle : bool
        Whether the team has an idle connection to it.
    is_probed, is_probe_due : bool
        Whether it gets probes only, and whether one may be sent now.
    verdict : Verdict
        The outcome; ``SLOWER`` until the candidates are ranked, if nothing excludes it.
    """

    target_id: str
    domain: str
    is_primary: bool
    after: LogPosition | None
    queue_s: float
    handshake_s: float
    time: ExpectedTime
    has_idle: bool
    is_probed: bool
    is_probe_due: bool
    verdict: Verdict = Verdict.SLOWER

    @property
    def expected_s(self) -> float:
        """Expected time until the answer, in s."""
        return self.time.total_s + self.queue_s + self.handshake_s

    @property
    def is_chosen(self) -> bool:
        """Whether the read goes to this target."""
        return self.verdict in (Verdict.CHOSEN, Verdict.CHOSEN_AS_PROBE)


def rank(candidates: list[Candidate], *, may_probe: bool = True) -> list[Candidate]:
    """Choose a target and return all candidates with their verdicts.

    The one with the lowest expected time is chosen among those that don't fail too
    often. One that does gets the read as a probe, if a probe is due and it would be
    nearly as fast. If all that may be used fail too often, they are ranked as normal.

    Parameters
    ----------
    candidates : list of Candidate
        In order of preference among equals.
    may_probe : bool
        Whether the statement may be retried, and so be a probe.

    Returns
    -------
    list of Candidate
        In the same order; none is chosen if none may be used.
    """
    open_indexes = [
        index
        for index, candidate in enumerate(candidates)
        if candidate.verdict is Verdict.SLOWER
    ]
    if not open_indexes:
        return candidates
    normal = [index for index in open_indexes if not candidates[index].is_probed]
    ranked = list(candidates)
    if normal:
        for index in open_indexes:
            if candidates[index].is_probed:
                ranked[index] = replace(candidates[index], verdict=Verdict.PROBED)
    chosen = min(normal or open_indexes, key=lambda i: candidates[i].expected_s)
    verdict = Verdict.CHOSEN
    limit_s = PROBE_MARGIN * candidates[chosen].expected_s
    due = [i for i in open_indexes if i not in normal and candidates[i].is_probe_due]
    if normal and may_probe and due:
        probe = min(due, key=lambda i: _sound_s(candidates[i]))
        if _sound_s(candidates[probe]) <= limit_s:
            chosen, verdict = probe, Verdict.CHOSEN_AS_PROBE
    ranked[chosen] = replace(candidates[chosen], verdict=verdict)
    return ranked


def _sound_s(candidate: Candidate) -> float:
    return candidate.expected_s - candidate.time.failures_s
