"""Search of logs for a request and the preceding state changes of its VMs."""

from __future__ import annotations

import json

from guavabarrow_cli.log_search import explain_request


def log_line(at: float, vm: str, event: str, **fields: object) -> str:
    return json.dumps({"time": f"{at:.3f}", "vm": vm, "event": event, **fields})


LINES = [
    log_line(1.0, "a", "store_lost", detail="too long ago"),
    log_line(90.0, "b", "store_lost", detail="another VM"),
    log_line(92.0, "a", "lead_known", service="orders", phase="moving"),
    "not a structured line",
    log_line(93.0, "a", "statement_answered", request="r1", result="overloaded"),
    log_line(93.5, "a", "lead_known", service="orders", phase="settled"),
    log_line(94.0, "b", "statement_answered", request="r1", result="completed"),
    log_line(95.0, "b", "statement_answered", request="r2", dropped_lines=7),
]


def test_finds_answers_of_all_vms_and_their_recent_state_changes():
    explanation = explain_request("r1", LINES)
    assert [(a.vm, a.fields["result"]) for a in explanation.request_lines] == [
        ("a", "overloaded"),
        ("b", "completed"),
    ]
    assert [(b.vm, b.at) for b in explanation.view_changes] == [
        ("b", 90.0),
        ("a", 92.0),
    ]
    assert (explanation.unreadable, explanation.dropped) == (1, 7)


def test_unknown_request_has_no_answers():
    assert explain_request("r9", LINES).request_lines == []
