"""Answers the balancer's question for readiness, and serves metrics and beliefs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from guavabarrow_daemon.front.session_front import SessionFront
from guavabarrow_daemon.http.site import Routes, TrackedSite, answer
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.beliefs import read_beliefs
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.session_settings import SessionVmSettings, split_address

if TYPE_CHECKING:
    from twisted.web.server import Request

METRICS_PATH = "/metrics"
BELIEFS_PATH = "/beliefs"


class ReadinessSite(Service):
    """HTTP for the balancer and for whoever collects metrics."""

    name = "readiness"

    def __init__(
        self,
        kernel: Kernel,
        settings: SessionVmSettings,
        reactor: Any,
        *,
        ready_path: str,
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._reactor = reactor
        self._ready_path = ready_path
        self._ports: list[Any] = []

    async def start(self) -> None:
        """Listen on both addresses."""
        front = self.kernel.find(SessionFront)
        metrics = self.kernel.find(SessionMetrics)

        async def ready(request: Request) -> None:
            status = 200 if front.is_ready else 503
            answer(request, status, b"{}")

        async def show(request: Request) -> None:
            answer(request, 200, metrics.render(), b"text/plain; version=0.0.4")

        async def show_beliefs(request: Request) -> None:
            answer(request, 200, msgspec.json.encode(read_beliefs(self.kernel)))

        host, port = split_address(self._settings.ready_address)
        self._listen(host, port, {self._ready_path: ready})
        self._listen(
            self._settings.host,
            self._settings.metrics_port,
            {METRICS_PATH: show, BELIEFS_PATH: show_beliefs},
        )

    async def stop(self) -> None:
        """Stop listening."""
        for port in self._ports:
            port.stopListening()

    def _listen(self, host: str, port: int, handler_by_path: dict[str, Any]) -> None:
        routes = Routes()
        for path, handler in handler_by_path.items():
            routes.add("GET", path, handler)
        self._ports.append(
            self._reactor.listenTCP(port, TrackedSite(routes), interface=host)
        )
