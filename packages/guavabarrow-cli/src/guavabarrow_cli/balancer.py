"""What the platform's balancer knows: which VMs are ready."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, DeferredList, TimeoutError
from twisted.internet.task import LoopingCall

from guavabarrow_daemon.http.client_connection import (
    ConnectionBroken,
    HttpClientConnection,
    open_connection,
)

CHECK_S = 0.25
TIMEOUT_S = 0.5


class Balancer:
    """Polls the readiness of VMs.

    Parameters
    ----------
    reactor : object
        Reactor that owns the sockets.
    addresses : list of (str, int)
        Caller addresses of the VMs.
    """

    def __init__(self, reactor: Any, addresses: list[tuple[str, int]]) -> None:
        self._reactor = reactor
        self._addresses = addresses
        self._is_ready = dict.fromkeys(addresses, True)
        self._connection_by_address: dict[tuple[str, int], HttpClientConnection] = {}
        self._loop = LoopingCall(self._check_all)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start to poll."""
        self._loop.start(CHECK_S)

    def stop(self) -> None:
        """Stop to poll."""
        self._loop.stop()
        for connection in self._connection_by_address.values():
            connection.abort()

    def is_ready(self, address: tuple[str, int]) -> bool:
        """Tell whether new requests should go to a VM."""
        return self._is_ready[address]

    def _check_all(self) -> Deferred:
        checks = [
            Deferred.fromCoroutine(self._check(address)) for address in self._addresses
        ]
        return DeferredList(checks)

    async def _check(self, address: tuple[str, int]) -> None:
        connection = self._connection_by_address.get(address)
        try:
            if connection is None or not connection.is_open:
                connection = await open_connection(
                    self._reactor, *address, timeout_s=TIMEOUT_S
                )
                self._connection_by_address[address] = connection
            pending = connection.request("GET", "/readyz")
            response = await pending.addTimeout(TIMEOUT_S, self._reactor)
        except (ConnectionBroken, TimeoutError):
            self._is_ready[address] = False
            return
        self._is_ready[address] = response.status == 200
