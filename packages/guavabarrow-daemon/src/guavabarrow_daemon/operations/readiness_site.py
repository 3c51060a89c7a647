"""Serves the readiness check, metrics and the local view over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.front.session_front import SessionFront
from guavabarrow_daemon.http.site import Routes, TrackedSite, answer, answer_json
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.beliefs import read_local_view
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.route_explanation import (
    RouteProblem,
    RouteQuery,
    RouteQueryError,
    explain_route,
)
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.session_settings import SessionVmSettings, split_address

if TYPE_CHECKING:
    from twisted.web.server import Request

METRICS_PATH = "/metrics"
BELIEFS_PATH = "/beliefs"
ROUTE_PATH = "/route"
"""Explains a route; the query is the body, because a path with a key may be logged."""

ROUTE_QUERY_DECODER = msgspec.json.Decoder(RouteQuery)


def answer_route(request: Request, kernel: Kernel) -> None:
    """Answer a query for the explanation of a route.

    Parameters
    ----------
    request : Request
        Request whose body is a :class:`RouteQuery` as JSON.
    kernel : Kernel
        Services of the VM.
    """
    try:
        query = decode_value(ROUTE_QUERY_DECODER, request.content.read())
        answer_json(request, 200, explain_route(kernel, query))
    except UndecodableValue as error:
        log_decision("route_query_refused", code="malformed", detail=str(error))
        answer_json(request, 400, RouteProblem("malformed", str(error)))
    except RouteQueryError as error:
        log_decision("route_query_refused", code=error.code, detail=str(error))
        answer_json(request, error.status, RouteProblem(error.code, str(error)))


class ReadinessSite(Service):
    """HTTP endpoints for the load balancer, the metrics collector and operators."""

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
        """Listen on the readiness address and the metrics port."""
        front = self.kernel.find(SessionFront)
        metrics = self.kernel.find(SessionMetrics)

        async def serve_readiness(request: Request) -> None:
            status = 200 if front.is_ready else 503
            answer(request, status, b"{}")

        async def serve_metrics(request: Request) -> None:
            answer(request, 200, metrics.render(), b"text/plain; version=0.0.4")

        async def serve_local_view(request: Request) -> None:
            answer(request, 200, msgspec.json.encode(read_local_view(self.kernel)))

        async def serve_route(request: Request) -> None:
            answer_route(request, self.kernel)

        host, port = split_address(self._settings.ready_address)
        self._listen(host, port, {self._ready_path: serve_readiness})
        self._listen(
            self._settings.host,
            self._settings.metrics_port,
            {METRICS_PATH: serve_metrics, BELIEFS_PATH: serve_local_view},
            {ROUTE_PATH: serve_route},
        )

    async def stop(self) -> None:
        """Stop listening."""
        for port in self._ports:
            port.stopListening()

    def _listen(
        self,
        host: str,
        port: int,
        handler_by_path: dict[str, Any],
        posted_by_path: dict[str, Any] | None = None,
    ) -> None:
        routes = Routes()
        for path, handler in handler_by_path.items():
            routes.add("GET", path, handler)
        for path, handler in (posted_by_path or {}).items():
            routes.add("POST", path, handler)
        self._ports.append(
            self._reactor.listenTCP(port, TrackedSite(routes), interface=host)
        )
