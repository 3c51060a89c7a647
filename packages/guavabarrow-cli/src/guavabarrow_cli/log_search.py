"""Finds what VMs logged about one request, and the beliefs that it relied on."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

BELIEF_EVENTS = frozenset(
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
"""Events that change what a VM believes."""

BELIEF_WINDOW_S = 10.0
"""How far back beliefs are shown."""

MAX_BELIEFS = 200
"""Beliefs kept for each VM while reading."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line."""

    at: float
    vm: str
    event: str
    fields: dict[str, object]

    def describe(self) -> str:
        """Return the line as text.

        Examples
        --------
        >>> LogLine(12.5, "vm-1", "store_lost", {"detail": "no answer"}).describe()
        '12.500 vm-1 store_lost detail=no answer'
        """
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at:.3f} {self.vm} {self.event} {details}".rstrip()


@dataclass(slots=True)
class Explanation:
    """What is known of one request.

    Parameters
    ----------
    request_id : str
        Its id.
    answers : list of LogLine
        Lines that name it, in order of time.
    beliefs : list of LogLine
        Changes of belief before them at the VMs that answered.
    unreadable : int
        Lines that are no structured log.
    dropped : int
        Lines that VMs left out because of their bound.
    """

    request_id: str
    answers: list[LogLine] = field(default_factory=list)
    beliefs: list[LogLine] = field(default_factory=list)
    unreadable: int = 0
    dropped: int = 0


def parse_line(text: str) -> LogLine | None:
    """Return a structured line, None if it is none.

    A prefix that a collector put before the JSON document is ignored.

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
    """Collect what lines of several VMs tell about a request.

    Parameters
    ----------
    request_id : str
        Id under which the caller sent it.
    lines : iterable of str
        Log lines, in order for each VM.

    Returns
    -------
    Explanation
        Without answers if no line names the request.
    """
    explanation = Explanation(request_id)
    beliefs_by_vm: dict[str, deque[LogLine]] = {}
    for text in lines:
        line = parse_line(text)
        if line is None:
            explanation.unreadable += 1
            continue
        dropped = line.fields.get("dropped_lines", 0)
        explanation.dropped += dropped if isinstance(dropped, int) else 0
        beliefs = beliefs_by_vm.setdefault(line.vm, deque(maxlen=MAX_BELIEFS))
        if line.fields.get("request") == request_id:
            explanation.answers.append(line)
            explanation.beliefs += [
                belief for belief in beliefs if line.at - belief.at <= BELIEF_WINDOW_S
            ]
            beliefs.clear()
        elif line.event in BELIEF_EVENTS:
            beliefs.append(line)
    explanation.answers.sort(key=lambda line: line.at)
    explanation.beliefs.sort(key=lambda line: line.at)
    return explanation
