"""Report of error budget burn rates per team, from the metrics of the VMs."""

from __future__ import annotations

import html
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from prometheus_client.parser import text_string_to_metric_families

from guavabarrow_core.service_level import BurnTracker, Objective, Sample

if TYPE_CHECKING:
    from collections.abc import Iterable

SERVED = Objective("served", 0.999)
FAST = Objective("answered within 0.1 s", 0.99)
OBJECTIVES = (SERVED, FAST)
CALLER_ERROR_CODES = frozenset(
    {
        "bad_request",
        "bad_session_token",
        "body_too_large",
        "key_in_statement",
        "rate_exceeded",
        "request_id_expired",
        "request_id_required",
        "request_id_reused",
        "service_not_allowed",
        "statement_failed",
        "unauthenticated",
        "unknown_route",
        "unknown_transaction",
    }
)
LATENCY_BUCKET = "0.1"
BAR_WIDTH_PX = 300
FULL_BAR_BURN_RATE = 20.0


@dataclass(frozen=True)
class BurnRow:
    """Burn rates of one team and objective over several windows.

    Parameters
    ----------
    team, objective : str
        Team and objective that are evaluated.
    target : float
        Share of good requests that the objective requires.
    burn_by_window : dict of str to float
        Error budget burn rate, keyed by window.
    alert : str
        Alert level with the recommended action.
    """

    team: str
    objective: str
    target: float
    burn_by_window: dict[str, float]
    alert: str


class BurnReport:
    """Collects metrics of several VMs and evaluates the objectives.

    Parameters
    ----------
    windows_s : tuple of float
        Windows over which burn rates are computed, the longest last.
    """

    def __init__(self, windows_s: tuple[float, ...]) -> None:
        self._windows_s = windows_s
        self._tracker_by_key: dict[tuple[str, str], BurnTracker] = {}

    def add(self, at: float, texts: Iterable[str]) -> None:
        """Add one sample of the metrics of all VMs.

        Parameters
        ----------
        at : float
            Time of the sample, seconds.
        texts : iterable of str
            Metrics in the Prometheus text format, one for each VM.
        """
        good: dict[tuple[str, str], float] = {}
        total: dict[tuple[str, str], float] = {}
        for text in texts:
            _accumulate(text, good, total)
        for key, count in total.items():
            objective = next(item for item in OBJECTIVES if item.name == key[1])
            tracker = self._tracker_by_key.setdefault(key, BurnTracker(objective))
            tracker.add(Sample(at, good.get(key, 0.0), count))

    def rows(self) -> list[BurnRow]:
        """Return the burn rates, the fastest first."""
        rows = []
        for (team, _), tracker in self._tracker_by_key.items():
            burns = {
                f"{window:g} s": round(tracker.burn_rate(window), 2)
                for window in self._windows_s
            }
            rows.append(
                BurnRow(
                    team,
                    tracker.objective.name,
                    tracker.objective.target,
                    burns,
                    tracker.alert(self._windows_s[-1]).value,
                )
            )
        return sorted(rows, key=lambda row: -max(row.burn_by_window.values()))

    def to_html(self) -> str:
        """Return an HTML page with a bar for each row."""
        body = "\n".join(_html_row(row) for row in self.rows())
        return (
            "<!doctype html><meta charset='utf-8'><title>Service-level burn</title>"
            "<style>body{font:14px sans-serif}td,th{padding:4px 10px;text-align:left}"
            "</style><h1>Service-level burn</h1><table><tr><th>team<th>objective"
            f"<th>burn by window<th>longest window<th>alert</tr>{body}</table>\n"
        )


def to_documents(rows: list[BurnRow]) -> list[dict]:
    """Return the rows as JSON documents."""
    return [asdict(row) for row in rows]


def _accumulate(
    text: str, good: dict[tuple[str, str], float], total: dict[tuple[str, str], float]
) -> None:
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            team = sample.labels.get("team", "")
            code = sample.labels.get("code", sample.labels.get("kind", ""))
            if code in CALLER_ERROR_CODES:
                continue
            if sample.name == "guavabarrow_requests_total":
                key = (team, SERVED.name)
                total[key] = total.get(key, 0.0) + sample.value
                if code == "ok":
                    good[key] = good.get(key, 0.0) + sample.value
            elif sample.name == "guavabarrow_request_seconds_count":
                key = (team, FAST.name)
                total[key] = total.get(key, 0.0) + sample.value
            elif _is_fast_response(sample, code):
                key = (team, FAST.name)
                good[key] = good.get(key, 0.0) + sample.value


def _is_fast_response(sample: Any, code: str) -> bool:
    is_bucket = sample.name == "guavabarrow_request_seconds_bucket"
    return is_bucket and code == "ok" and sample.labels.get("le") == LATENCY_BUCKET


def _html_row(row: BurnRow) -> str:
    burns = ", ".join(
        f"{window}: {burn:g}" for window, burn in row.burn_by_window.items()
    )
    longest = list(row.burn_by_window.values())[-1]
    width = min(1.0, longest / FULL_BAR_BURN_RATE) * BAR_WIDTH_PX
    color = "#c0392b" if row.alert.startswith("fast") else "#6b8fb5"
    bar = (
        f"<svg width='{BAR_WIDTH_PX}' height='14'>"
        f"<rect width='{width:.0f}' height='14' fill='{color}'/></svg>"
    )
    cells = (row.team, f"{row.objective} ({row.target:.1%})", burns)
    text = "".join(f"<td>{html.escape(cell)}" for cell in cells)
    return f"<tr>{text}<td>{bar}<td>{html.escape(row.alert)}</tr>"
