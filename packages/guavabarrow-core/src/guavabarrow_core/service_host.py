"""Which VM runs the statements of a service for its failure domain."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostPlan:
    """Role of this VM for one service.

    Parameters
    ----------
    is_hosted : bool
        Whether one VM of each failure domain runs the statements of the service.
    is_host : bool
        Whether this VM is the one of its domain.
    host_count : int
        Number of hosts that connect to the targets of the service.
    """

    is_hosted: bool = False
    is_host: bool = False
    host_count: int = 1
