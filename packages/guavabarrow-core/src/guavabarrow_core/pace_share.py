"""Division of a target's limit among the hosts of its service.

Each host publishes its demand, what it runs and the limit that it found. All hosts
compute the same whole numbers from the same digests. Their sum is the rounded joint
limit, or the number of hosts if that is larger, so it exceeds the joint limit by at
most one per host. While digests differ, which is for a one-way delay after a change,
or because a host is cut off, the sum may be larger.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from guavabarrow_core.rendezvous import rank_members
from guavabarrow_core.target_pace import MAX_LIMIT

MAX_DIGEST_AGE_S = 2.0
"""Age at which a peer's digest is dropped: its heartbeats come every 0.7 s."""

MIN_DEMAND = 0.25
"""Demand at least counted for each host, so that a host whose callers come back has a
part at once."""


MAX_STATEMENTS = 1e6
"""Upper bound of the statements in a peer's digest."""

FOLLOW_FRACTION = 0.5
"""Part of the distance to the joint limit by which a host's own limit moves at each
digest: hosts with few statements learn from the others."""


@dataclass(frozen=True, slots=True)
class PaceDigest:
    """What one host knows about one target.

    Parameters
    ----------
    demand : float
        Concurrency that it needs; see :meth:`TargetPace.demand`.
    running : float
        Mean of those that it runs.
    limit : float
        Limit that it found; 0 if it is no longer a host of the service.
    """

    demand: float
    running: float
    limit: float

    def bounded(self) -> PaceDigest:
        """Return the digest with finite figures, as limits are divided one by one.

        Examples
        --------
        >>> PaceDigest(1.0, float("nan"), float("inf")).bounded()
        PaceDigest(demand=1.0, running=0.0, limit=64.0)
        """
        return PaceDigest(
            min(MAX_STATEMENTS, max(0.0, self.demand)),
            min(MAX_STATEMENTS, max(0.0, self.running)),
            min(MAX_LIMIT, max(0.0, self.limit)),
        )


NO_DIGEST = PaceDigest(0.0, 0.0, 0.0)


def joint_limit(digest_by_vm: dict[str, PaceDigest]) -> float:
    """Return the limit of all hosts: the mean weighted by demand, as who sends more
    knows more.

    Examples
    --------
    >>> joint_limit({"a": PaceDigest(3.0, 2.0, 4.0), "b": PaceDigest(1.0, 1.0, 8.0)})
    5.0
    """
    weights = weights_of({vm: d.demand for vm, d in digest_by_vm.items()})
    return sum(weights[vm] * d.limit for vm, d in digest_by_vm.items())


def weights_of(demand_by_vm: dict[str, float]) -> dict[str, float]:
    """Return each host's fraction of the demand."""
    demands = {vm: max(MIN_DEMAND, demand) for vm, demand in demand_by_vm.items()}
    total = sum(demands.values())
    return {vm: demand / total for vm, demand in demands.items()}


def divide_limit(
    limit: float, demand_by_vm: dict[str, float], target_id: str
) -> dict[str, int]:
    """Divide a limit by demand into whole numbers of at least 1.

    Parameters
    ----------
    limit : float
        Joint limit.
    demand_by_vm : dict of str to float
        Demand of each host.
    target_id : str
        Decides ties, so that the same host isn't preferred at all targets.

    Returns
    -------
    dict of str to int
        Part of each host.

    Examples
    --------
    >>> sorted(divide_limit(5.0, {"a": 1.0, "b": 9.0}, "t").items())
    [('a', 1), ('b', 4)]
    >>> sum(divide_limit(2.0, {"a": 1.0, "b": 1.0, "c": 1.0}, "t").values())
    3
    """
    total = max(ceil(limit), len(demand_by_vm))
    weights = weights_of(demand_by_vm)
    part_by_vm = dict.fromkeys(weights, 1)
    order = rank_members(target_id, weights)
    for _ in range(total - len(weights)):
        # Highest averages: the next one goes where a statement weighs most.
        vm = max(order, key=lambda name: weights[name] / (part_by_vm[name] + 0.5))
        part_by_vm[vm] += 1
    return part_by_vm


class PeerPaces:
    """Digests of the other hosts, by VM and target."""

    def __init__(self) -> None:
        self._digests_by_vm: dict[str, dict[str, PaceDigest]] = {}
        self._heard_at: dict[str, float] = {}

    def update(
        self, vm: str, digest_by_target: dict[str, PaceDigest], now: float, *, is_full
    ) -> None:
        """Apply the changes in a peer's heartbeat; unchanged entries stay valid.

        Parameters
        ----------
        vm : str
            The peer.
        digest_by_target : dict of str to PaceDigest
            Entries that changed.
        now : float
            Local time, in s.
        is_full : bool
            Whether targets that are missing have no entry.
        """
        known = {} if is_full else self._digests_by_vm.get(vm, {})
        changed = {t: digest.bounded() for t, digest in digest_by_target.items()}
        known = {**known, **changed}
        self._digests_by_vm[vm] = {t: d for t, d in known.items() if d.limit > 0}
        self._heard_at[vm] = now

    def forget(self, vm: str) -> None:
        """Drop a peer that stopped or whose link ended."""
        self._digests_by_vm.pop(vm, None)
        self._heard_at.pop(vm, None)

    def of_target(self, target_id: str, now: float) -> dict[str, PaceDigest]:
        """Return the digests of a target that aren't too old, by VM."""
        return {
            vm: digests[target_id]
            for vm, digests in self._digests_by_vm.items()
            if target_id in digests and now - self._heard_at[vm] <= MAX_DIGEST_AGE_S
        }
