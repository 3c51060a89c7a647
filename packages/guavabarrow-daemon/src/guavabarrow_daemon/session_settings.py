"""Settings of VMs with connection-based caller sessions."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, Field

from guavabarrow_daemon.settings import IpAddress, Port, SettingsModel


def _check_host_port(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"an address is HOST:PORT, not {value!r}")
    return value


HostPort = Annotated[str, AfterValidator(_check_host_port)]


class SessionVmSettings(SettingsModel):
    """Settings of one VM.

    Parameters
    ----------
    vm, domain : str
        Name and failure domain of this VM.
    host : str
        IP address at which other VMs reach this VM.
    front_address, ready_address : str
        Listening addresses for callers and for the load balancer's readiness checks.
    store_address, promotion_address : str
        Addresses of the platform's store and of its promotion service.
    peer_port, metrics_port : int
        Ports for messages between VMs and for metrics.
    grace_s : float
        Time between the stop signal and the kill, in s.
    cpu_cores : float
        Processor capacity in cores, 0 if unknown; large VMs relay for small ones.
    memory_mb : int
        Limit of the process's memory, in MB.
    max_sessions : int
        Limit of concurrent sessions: the file descriptor limit less a reserve.
    rate_window_s : float
        Length of the window in which a team's operations are counted, in s.
    rate_over : float
        Fraction by which all VMs together may exceed a team's rate and burst.
    rate_slack : float
        Operations per window by which they may exceed them in addition.
    usage_window_s : float or None
        Length of the windows in which the usage of teams is reported, in s; None if no
        usage is reported.
    usage_late_s : float
        Time after the end of a window at which its report is due, in s.
    duty_lease_s : float
        Time within which the platform forbids that a duty passes from one VM to another
        and back, in s.
    """

    vm: str = Field(min_length=1)
    domain: str = Field(min_length=1)
    host: IpAddress
    front_address: HostPort
    ready_address: HostPort
    store_address: HostPort
    promotion_address: HostPort
    peer_port: Port
    metrics_port: Port
    grace_s: float = Field(default=6.0, gt=0)
    cpu_cores: float = Field(default=0.0, ge=0)
    memory_mb: int = Field(default=300, ge=1)
    max_sessions: int = Field(default=3000, ge=1)
    rate_window_s: float = Field(default=5.0, gt=0)
    rate_over: float = Field(default=0.0, ge=0)
    rate_slack: float = Field(default=0.0, ge=0)
    usage_window_s: float | None = Field(default=None, gt=0)
    usage_late_s: float = Field(default=10.0, gt=0)
    duty_lease_s: float = Field(default=3.0, ge=0)


def split_address(address: str) -> tuple[str, int]:
    """Split a validated address into host and port.

    Examples
    --------
    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
