"""Failure detection of a primary, from probes and from votes of other VMs.

The holder of the promotion duty probes the primary's address itself, and the other VMs
report in their heartbeats whether they can use it. Evidence expires, because a network
partition that has just ended must not cause a promotion that rolls back commits.

If the holder can't reach the primary, VMs of the other failure domains probe it too. A
partition between the holder's domain and the primary's alone must not cause a promotion
either, which would roll back what callers of the other domains have committed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

PROBE_VALID_S = 0.9
"""Age up to which a probe's result is valid; two probes at the regular interval."""

VOTE_VALID_S = 0.9
"""Age up to which another VM's vote is valid; a heartbeat interval and a margin."""

VOTE_SHARE = 0.4
"""Share of the other VMs that must be unable to use a primary that can be probed."""

UNPROBED_VOTE_SHARE = 0.5
"""Share that must be exceeded if the holder has no recent answer itself. The VMs of its
own failure domain, which a cut concerns together, are fewer than that."""

CONFIRM_S = 0.15
"""Time for which the evidence must persist before the primary counts as failed."""


class ProbeResult(Enum):
    """Result of a connection attempt."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


@dataclass(slots=True)
class PrimaryEvidence:
    """Probe results and votes on one primary.

    Examples
    --------
    >>> evidence = PrimaryEvidence()
    >>> evidence.record_probe(ProbeResult.REFUSED, 1.0)
    >>> [evidence.is_failed(now, votes=0, others=8) for now in (1.0, 1.3)]
    [False, True]
    """

    probe: ProbeResult | None = None
    probed_at: float = float("-inf")
    failing_since: float | None = None
    relayed_at: float = float("-inf")
    vote_at_by_vm: dict[str, float] = field(default_factory=dict)

    def record_probe(self, result: ProbeResult, now: float) -> None:
        """Record the result of a probe."""
        self.probe = result
        self.probed_at = now

    def record_relayed_answer(self, now: float) -> None:
        """Record that the primary answered the probe of a VM in another domain."""
        self.relayed_at = now

    def record_vote(self, vm: str, can_use: bool, now: float) -> None:
        """Record whether another VM can use the primary."""
        if can_use:
            self.vote_at_by_vm.pop(vm, None)
        else:
            self.vote_at_by_vm[vm] = now

    def votes(self, now: float) -> int:
        """Return how many valid votes say that the primary can't be used."""
        horizon = now - VOTE_VALID_S
        return sum(at > horizon for at in self.vote_at_by_vm.values())

    def is_reachable(self, now: float) -> bool:
        """Return whether a valid probe, its own or a relayed one, was answered."""
        is_answered = (
            self.probe is ProbeResult.ANSWERED and now - self.probed_at < PROBE_VALID_S
        )
        return is_answered or self._is_reached_by_others(now)

    def _is_reached_by_others(self, now: float) -> bool:
        return now - self.relayed_at < PROBE_VALID_S

    def is_failed(self, now: float, *, votes: int, others: int) -> bool:
        """Return whether the primary has failed and should be replaced.

        Parameters
        ----------
        now : float
            Local time in seconds.
        votes : int
            Number of other VMs that can't use it.
        others : int
            Number of other VMs that this VM is in contact with.
        """
        if not self._indicates_failure(now, votes, others):
            self.failing_since = None
            return False
        if self.failing_since is None:
            self.failing_since = now
        return now - self.failing_since >= CONFIRM_S

    def _indicates_failure(self, now: float, votes: int, others: int) -> bool:
        is_valid = now - self.probed_at < PROBE_VALID_S
        if is_valid and self.probe is ProbeResult.ANSWERED:
            return votes > 0 and votes >= VOTE_SHARE * others
        if is_valid and not self._is_reached_by_others(now):
            if self.probe is ProbeResult.REFUSED:
                return True
            return votes > 0 or others == 0
        return votes > UNPROBED_VOTE_SHARE * others
