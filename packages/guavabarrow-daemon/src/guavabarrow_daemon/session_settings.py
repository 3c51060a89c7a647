"""Settings of VMs whose callers' sessions are connections."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, Field

from guavabarrow_daemon.settings import IpAddress, Port, SettingsModel


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"an address is HOST:PORT, not {value!r}")
    return value


HostPort = Annotated[str, AfterValidator(_check_address)]


class SessionVmSettings(SettingsModel):
    """Everything that one VM is told.

    Parameters
    ----------
    vm, domain : str
        Its name and failure domain.
    host : str
        IP address that other VMs reach it at.
    front_address, ready_address : str
        Where callers connect, and where the balancer asks for readiness.
    store_address, promotion_address : str
        The platform's store, and its service that promotes targets.
    peer_port, metrics_port : int
        Ports for messages between VMs and for metrics.
    grace_s : float
        Time between the signal to stop and the kill, in s.
    max_sessions : int
        Callers connected at once; the descriptors' limit less a reserve.
    rate_window_s : float
        Span over which a team's operations are counted, in s.
    rate_over : float
        Part of a team's rate and burst that all VMs together may go beyond them.
    rate_slack : float
        Operations per window that they may go beyond them besides.
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
    max_sessions: int = Field(default=3000, ge=1)
    rate_window_s: float = Field(default=5.0, gt=0)
    rate_over: float = Field(default=0.0, ge=0)
    rate_slack: float = Field(default=0.0, ge=0)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of a checked address.

    Examples
    --------
    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
