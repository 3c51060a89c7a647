"""Named TCP relays with an HTTP route that controls their faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from guavabarrow_cli.standins.fault_relay import FaultRelay
from guavabarrow_daemon.http.site import Routes, TrackedSite, answer_json

if TYPE_CHECKING:
    from twisted.web.server import Request

LOOPBACK = "127.0.0.1"


class LinkFaults(msgspec.Struct, frozen=True):
    """Faults to set on the links whose names start with ``prefix``."""

    prefix: str
    cut: bool = False
    frozen: bool = False
    delay_ms: float = 0.0


class RelayServer:
    """Set of relays between loopback ports.

    Parameters
    ----------
    reactor : object
        Reactor that owns the sockets.
    ports_by_link : dict of str to (int, int)
        Listening port and target port of each link.
    """

    def __init__(self, reactor: Any, ports_by_link: dict[str, tuple[int, int]]) -> None:
        self._reactor = reactor
        self._ports_by_link = ports_by_link
        self._relay_by_link: dict[str, FaultRelay] = {}
        routes = Routes()
        routes.add("POST", "/faults", self._set_faults)
        self._site = TrackedSite(routes)

    def listen(self, host: str, control_port: int) -> int:
        """Start all relays; returns the control port."""
        for link, (port, target_port) in self._ports_by_link.items():
            relay = FaultRelay(self._reactor, LOOPBACK, target_port)
            self._relay_by_link[link] = relay
            self._reactor.listenTCP(port, relay, interface=LOOPBACK)
        listening = self._reactor.listenTCP(control_port, self._site, interface=host)
        return listening.getHost().port

    async def _set_faults(self, request: Request) -> None:
        try:
            faults = msgspec.json.decode(request.content.read(), type=LinkFaults)
        except msgspec.MsgspecError as error:
            answer_json(request, 400, {"code": "bad_request", "detail": str(error)})
            return
        matched_links = []
        for link, relay in self._relay_by_link.items():
            if not link.startswith(faults.prefix):
                continue
            matched_links.append(link)
            relay.set_cut(faults.cut)
            relay.frozen = faults.frozen
            relay.delay_s = faults.delay_ms / 1000
        answer_json(request, 200, {"links": matched_links})
