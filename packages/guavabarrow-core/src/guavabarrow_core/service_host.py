"""Whether one VM of a failure domain runs all statements of a service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostPlan:
    """How the statements of one service are divided among VMs.

    Parameters
    ----------
    is_hosted : bool
        Whether one VM of each failure domain runs them.
    is_host : bool
        Whether this VM is the one of its domain.
    host_count : int
        Hosts of the service over all failure domains, 0 if it isn't hosted.
    """

    is_hosted: bool = False
    is_host: bool = False
    host_count: int = 0


NOT_HOSTED = HostPlan()
