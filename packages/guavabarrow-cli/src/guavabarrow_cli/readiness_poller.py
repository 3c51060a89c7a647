"""Polls the readiness of VMs, as the platform's load balancer does."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, DeferredList, TimeoutError
from twisted.internet.task import LoopingCall

from guavabarrow_daemon.http.client_connection import (
    ConnectionBroken,
    HttpClientConnection,
    open_connection,
)

POLL_INTERVAL_S = 0.25
POLL_TIMEOUT_S = 0.5


class ReadinessPoller:
    """Polls ``/readyz`` of each VM; a VM counts as ready until its first poll.

    Parameters
    ----------
    reactor : object
        Reactor used for the connections.
    addresses : list of (str, int)
        Caller addresses of the VMs.
    """

    def __init__(self, reactor: Any, addresses: list[tuple[str, int]]) -> None:
        self._reactor = reactor
        self._addresses = addresses
        self._is_ready = dict.fromkeys(addresses, True)
        self._connection_by_address: dict[tuple[str, int], HttpClientConnection] = {}
        self._polling_call = LoopingCall(self._poll_all)
        self._polling_call.clock = reactor

    def start(self) -> None:
        """Start polling."""
        self._polling_call.start(POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stop polling and close the connections."""
        self._polling_call.stop()
        for connection in self._connection_by_address.values():
            connection.abort()

    def is_ready(self, address: tuple[str, int]) -> bool:
        """Return whether a VM was ready at its last poll."""
        return self._is_ready[address]

    def _poll_all(self) -> Deferred:
        polls = [
            Deferred.fromCoroutine(self._poll(address)) for address in self._addresses
        ]
        return DeferredList(polls)

    async def _poll(self, address: tuple[str, int]) -> None:
        connection = self._connection_by_address.get(address)
        try:
            if connection is None or not connection.is_open:
                connection = await open_connection(
                    self._reactor, *address, timeout_s=POLL_TIMEOUT_S
                )
                self._connection_by_address[address] = connection
            pending_response = connection.request("GET", "/readyz")
            response = await pending_response.addTimeout(POLL_TIMEOUT_S, self._reactor)
        except (ConnectionBroken, TimeoutError):
            self._is_ready[address] = False
            return
        self._is_ready[address] = response.status == 200
