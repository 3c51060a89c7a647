"""Finds the log lines of a request and earlier changes of the VMs' local views."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

VIEW_EVENTS = frozenset(
    {
        "configuration_in_force",
        "drain_begun",
        "duty_taken",
        "evacuations_changed",
        "lead_known",
        "peer_lost",
        "primary_left",
        "primary_probe_failed",
        "promotion_begun",
        "promotion_settled",
        "promotion_taken_back",
        "started",
        "store_lost",
        "store_regained",
        "target_entry",
        "target_gone",
        "target_suspected",
        "target_trusted",
        "target_unreachable",
    }
)
"""Events that change a VM's local view of the fleet."""

VIEW_WINDOW_S = 10.0
"""Changes up to this long before a request's line are shown, seconds."""

MAX_VIEW_EVENTS = 200
"""Number of latest changes kept for each VM while reading."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A structured log line."""

    at: float
    vm: str
    event: str
    fields: dict[str, object]

    def describe(self) -> str:
        """Format the line as text.

        Examples
        --------
        >>> LogLine(12.5, "vm-1", "store_lost", {"detail": "no answer"}).describe()
        '12.500 vm-1 store_lost detail=no answer'
        """
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at:.3f} {self.vm} {self.event} {details}".rstrip()


@dataclass(slots=True)
class Explanation:
    """Log lines that explain one request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    request_lines : list of LogLine
        Lines with its id, in order of time.
    view_changes : list of LogLine
        Changes of the local view before these lines at the same VMs.
    unreadable : int
        Number of lines that are not structured log lines.
    dropped : int
        Number of lines that VMs dropped because of the log's rate limit.
    """

    request_id: str
    request_lines: list[LogLine] = field(default_factory=list)
    view_changes: list[LogLine] = field(default_factory=list)
    unreadable: int = 0
    dropped: int = 0


def parse_line(text: str) -> LogLine | None:
    """Parse a structured log line; None if the text is not one.

    A prefix that a log collector adds before the JSON document is ignored.

    Examples
    --------
    >>> parse_line('x {"time": "1.5", "vm": "a", "event": "started"}').event
    'started'
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = msgspec.json.decode(text[start:])
        at = float(document.pop("time"))
        vm, event = str(document.pop("vm")), str(document.pop("event"))
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError, AttributeError):
        return None
    document.pop("level", None)
    return LogLine(at, vm, event, document)


def explain_request(request_id: str, lines: Iterable[str]) -> Explanation:
    """Collect the log lines of several VMs that explain a request.

    Parameters
    ----------
    request_id : str
        Id with which the caller sent it.
    lines : iterable of str
        Log lines, in chronological order for each VM.

    Returns
    -------
    Explanation
        Without lines if no line contains the request's id.
    """
    explanation = Explanation(request_id)
    view_events_by_vm: dict[str, deque[LogLine]] = {}
    for text in lines:
        line = parse_line(text)
        if line is None:
            explanation.unreadable += 1
            continue
        dropped = line.fields.get("dropped_lines", 0)
        explanation.dropped += dropped if isinstance(dropped, int) else 0
        recent_changes = view_events_by_vm.setdefault(
            line.vm, deque(maxlen=MAX_VIEW_EVENTS)
        )
        if line.fields.get("request") == request_id:
            explanation.request_lines.append(line)
            explanation.view_changes += [
                change
                for change in recent_changes
                if line.at - change.at <= VIEW_WINDOW_S
            ]
            recent_changes.clear()
        elif line.event in VIEW_EVENTS:
            recent_changes.append(line)
    explanation.request_lines.sort(key=lambda line: line.at)
    explanation.view_changes.sort(key=lambda line: line.at)
    return explanation
