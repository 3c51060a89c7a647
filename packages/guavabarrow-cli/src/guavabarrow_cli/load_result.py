"""Results of a load, per team and in total."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


def create_histogram() -> HdrHistogram:
    """Return an empty latency histogram, microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class TeamResult:
    """Results of the callers of one team.

    Latencies are measured from the scheduled start of each request. This avoids
    coordinated omission: a stall also counts for the requests that it delayed.
    """

    team: str
    sent: int = 0
    count_by_code: dict[str, int] = field(default_factory=dict)
    count_by_source: dict[str, int] = field(default_factory=dict)
    latency: HdrHistogram = field(default_factory=create_histogram)
    admitted: list[tuple[float, float]] = field(default_factory=list)
    acknowledged_writes: list[tuple[float, str]] = field(default_factory=list)
    timeline: list[tuple[float, str]] = field(default_factory=list)

    @property
    def served(self) -> int:
        """Successful requests."""
        return self.count_by_code.get("ok", 0)

    @property
    def served_share(self) -> float:
        """Share of successful requests."""
        return self.served / self.sent if self.sent else 1.0

    def record(self, code: str, *, due_at: float, responded_at: float) -> None:
        """Record the response to a request that was scheduled for ``due_at``."""
        self.timeline.append((due_at, code))
        latency_s = responded_at - due_at
        self.count_by_code[code] = self.count_by_code.get(code, 0) + 1
        latency_us = int(latency_s * 1e6)
        self.latency.record_value(min(MAX_LATENCY_US, max(MIN_LATENCY_US, latency_us)))

    def to_document(self) -> dict[str, Any]:
        """Return the result as a JSON document, latencies in milliseconds."""
        latency = {
            f"p{percentile:g}": self.latency.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }
        return {
            "team": self.team,
            "sent": self.sent,
            "served_share": round(self.served_share, 5),
            "by_code": self.count_by_code,
            "reads_by_source": self.count_by_source,
            "latency_ms": latency,
        }


@dataclass(slots=True)
class LoadResult:
    """Result of a load over all teams."""

    started_at: float
    duration_s: float
    by_team: dict[str, TeamResult]

    @property
    def worst_served_share(self) -> float:
        """Lowest share of successful requests among the teams."""
        return min(result.served_share for result in self.by_team.values())

    @property
    def replica_share(self) -> float:
        """Share of reads served by replicas."""
        replica = primary = 0
        for result in self.by_team.values():
            replica += result.count_by_source.get("replica", 0)
            primary += result.count_by_source.get("primary", 0)
        reads = replica + primary
        return replica / reads if reads else 0.0

    def to_document(self) -> dict[str, Any]:
        """Return the result as a JSON document."""
        sent = sum(result.sent for result in self.by_team.values())
        return {
            "duration_s": round(self.duration_s, 3),
            "sent_per_s": round(sent / self.duration_s, 1),
            "worst_served_share": round(self.worst_served_share, 5),
            "replica_share": round(self.replica_share, 4),
            "teams": [result.to_document() for result in self.by_team.values()],
        }
