"""Prometheus metrics of one entry VM."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from guavabarrow_daemon.kernel import Kernel, Service

LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    18.0,
)


class Metrics(Service):
    """Metrics of one entry VM in a separate registry."""

    name = "metrics"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.registry = CollectorRegistry()
        self.background_failures = self._counter(
            "background_failures", "Failures of background tasks", "task"
        )
        kernel.tasks.on_failure.append(
            lambda task: self.background_failures.labels(task).inc()
        )
        self.requests = self._counter(
            "requests", "Answers to callers by result", "team", "code", "ran"
        )
        self.latency = Histogram(
            "guavabarrow_request_seconds",
            "Time from request to answer",
            ("team", "kind"),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.reads = self._counter("reads", "Reads by source", "source")
        self.retries = self._counter("retries", "Retries towards targets", "service")
        self.promotions = self._counter(
            "promotions", "Promotion attempts by result", "service", "result"
        )
        self.promotion_phase = Histogram(
            "guavabarrow_promotion_seconds",
            "Duration of each phase of a promotion",
            ("phase",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.peer_messages = self._counter(
            "peer_messages", "Messages between VMs", "direction", "kind"
        )
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes of messages between VMs", "direction"
        )
        self.store_operations = self._counter(
            "store_operations", "Operations sent to the platform", "kind"
        )
        self.tokens = self._counter("tokens", "Rate tokens by event", "event")
        self.connections = self._gauge(
            "target_connections", "Open connections to targets", "target"
        )
        self.queued = self._gauge("queued", "Statements that wait", "target")
        self.version = self._gauge("configuration_version", "Version in force")
        self.in_progress = self._gauge("requests_in_progress", "Requests in progress")

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"guavabarrow_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"guavabarrow_{name}", text, labels, registry=self.registry)
