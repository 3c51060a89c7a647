"""Whether a primary can no longer be used, from probes and from other VMs' word.

The VM that orders promotions tries the primary's address itself and hears which VMs
can't use it. Old evidence doesn't count: a cut that has just healed must not lead to a
promotion that rolls commits back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

PROBE_VALID_S = 0.9
"""Age up to which a probe counts; two probes at the usual pace."""

VOTE_VALID_S = 0.9
"""Age up to which another VM's word counts; a pulse and a margin."""

VOTE_SHARE = 0.4
"""Part of the other VMs that must fail to use a primary that can be probed."""

CONFIRM_S = 0.15
"""Time for which the evidence must hold."""


class ProbeResult(Enum):
    """What became of a connection attempt."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


@dataclass(slots=True)
class PrimaryEvidence:
    """Evidence about one primary.

    Examples
    --------
    >>> evidence = PrimaryEvidence()
    >>> evidence.record_probe(ProbeResult.REFUSED, 1.0)
    >>> [evidence.is_failed(now, votes=0, others=8) for now in (1.0, 1.3)]
    [False, True]
    """

    probe: ProbeResult | None = None
    probed_at: float = float("-inf")
    lost_since: float | None = None
    vote_at_by_vm: dict[str, float] = field(default_factory=dict)

    def record_probe(self, result: ProbeResult, now: float) -> None:
        """Take the result of a probe."""
        self.probe = result
        self.probed_at = now

    def record_vote(self, vm: str, can_use: bool, now: float) -> None:
        """Take another VM's word."""
        if can_use:
            self.vote_at_by_vm.pop(vm, None)
        else:
            self.vote_at_by_vm[vm] = now

    def votes(self, now: float) -> int:
        """Return how many VMs lately said that they can't use the primary."""
        horizon = now - VOTE_VALID_S
        return sum(at > horizon for at in self.vote_at_by_vm.values())

    def is_reachable(self, now: float) -> bool:
        """Tell whether the primary lately answered a probe."""
        return (
            self.probe is ProbeResult.ANSWERED and now - self.probed_at < PROBE_VALID_S
        )

    def is_failed(self, now: float, *, votes: int, others: int) -> bool:
        """Tell whether the primary should be replaced.

        Parameters
        ----------
        now : float
            Local time, in s.
        votes : int
            Other VMs that can't use it.
        others : int
            Other VMs in contact.
        """
        if not self._speaks_against(now, votes, others):
            self.lost_since = None
            return False
        if self.lost_since is None:
            self.lost_since = now
        return now - self.lost_since >= CONFIRM_S

    def _speaks_against(self, now: float, votes: int, others: int) -> bool:
        is_valid = now - self.probed_at < PROBE_VALID_S
        if is_valid and self.probe is ProbeResult.REFUSED:
            return True
        if is_valid and self.probe is ProbeResult.SILENT:
            return votes > 0 or others == 0
        return votes > 0 and votes >= VOTE_SHARE * others
