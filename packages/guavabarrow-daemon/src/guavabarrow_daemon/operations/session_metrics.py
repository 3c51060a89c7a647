"""Prometheus metrics of a session VM."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.metrics import LATENCY_BUCKETS_S


class SessionMetrics(Service):
    """Metrics of one VM, in a separate registry."""

    name = "session_metrics"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.registry = CollectorRegistry()
        self.statements = self._counter(
            "statements", "Answers to callers by result", "consistency", "result"
        )
        self.admissions = self._counter(
            "admissions", "Operations by what the team's rate allowed", "verdict"
        )
        self.latency = Histogram(
            "guavabarrow_statement_seconds",
            "Time from statement to answer",
            ("consistency", "outcome"),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.attempts = self._counter(
            "attempts", "Statements sent to targets by result", "role", "result"
        )
        self.handshakes = self._counter(
            "handshakes", "Connections to targets by result", "result"
        )
        self.pool_refusals = self._counter(
            "pool_refusals",
            "Statements refused before they were sent to a target",
            "service",
            "priority",
            "reason",
        )
        self.pool_evictions = self._counter(
            "pool_evictions", "Idle connections closed for another team", "service"
        )
        self.pool_connections = self._gauge(
            "pool_connections",
            "Connections to a target by state, and how many may be open",
            "service",
            "target",
            "state",
        )
        self.pool_waiting = self._gauge(
            "pool_waiting",
            "Statements that wait for a connection to a target",
            "service",
            "target",
            "priority",
        )
        self.store_calls = self._counter(
            "store_calls", "Calls of the store by result", "call", "result"
        )
        self.store_era = Gauge(
            "guavabarrow_store_era",
            "Newest era of the store that this VM knows",
            registry=self.registry,
        )
        self.store_returns = Counter(
            "guavabarrow_store_returns",
            "Times that the store returned from an older copy, as seen by this VM",
            registry=self.registry,
        )
        self.promotions = self._counter(
            "session_promotions", "Replacements of primaries", "result"
        )
        self.replicas_gone = self._counter(
            "replicas_gone",
            "Replicas that a replacement of the primary no longer waits for",
            "service",
            "reason",
        )
        self.fleet_messages = self._counter(
            "fleet_messages", "Messages between VMs", "direction", "kind"
        )
        self.fleet_bytes = self._counter(
            "fleet_bytes", "Bytes of messages between VMs", "direction", "kind"
        )
        self.hosted_statements = self._counter(
            "hosted_statements",
            "Statements sent to a service's host, or served as one",
            "role",
        )
        self.host_bypasses = self._counter(
            "host_bypasses", "Service hosts that were bypassed, by reason", "reason"
        )
        self.background_failures = self._counter(
            "background_failures", "Failures of background tasks", "task"
        )
        kernel.tasks.on_failure.append(
            lambda task: self.background_failures.labels(task).inc()
        )
        self.sessions = Gauge(
            "guavabarrow_sessions", "Connected callers", registry=self.registry
        )
        self.session_memory = Gauge(
            "guavabarrow_session_memory_bytes",
            "What callers make the VM hold: values, prepared statements, messages",
            registry=self.registry,
        )
        self.memory_refusals = Counter(
            "guavabarrow_memory_refusals",
            "Statements and messages refused because of the memory they need",
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "guavabarrow_session_configuration_version",
            "Version in force",
            registry=self.registry,
        )
        self.store_age = Gauge(
            "guavabarrow_store_age_seconds",
            "Age of the shared table as known",
            registry=self.registry,
        )
        self.orders_age = Gauge(
            "guavabarrow_operator_orders_age_seconds",
            "Time since configuration and evacuations were last known to be current",
            registry=self.registry,
        )

        self.usage_operations = self._counter(
            "usage_operations", "Operations counted for usage reports"
        )
        self.usage_reports = self._counter(
            "usage_reports", "Steps of reporting usage by result", "step", "result"
        )
        self.usage_last_window = Gauge(
            "guavabarrow_usage_last_window",
            "Last window that this VM reported",
            registry=self.registry,
        )
        self.usage_unsent_windows = Gauge(
            "guavabarrow_usage_unsent_windows",
            "Windows whose counts are stored but not accepted yet",
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"guavabarrow_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"guavabarrow_{name}", text, labels, registry=self.registry)
