"""From a request's id to what its VM believed."""

from __future__ import annotations

import json

from guavabarrow_cli.log_search import explain_request


def line(at: float, vm: str, event: str, **fields: object) -> str:
    return json.dumps({"time": f"{at:.3f}", "vm": vm, "event": event, **fields})


LINES = [
    line(1.0, "a", "store_lost", detail="too long ago"),
    line(90.0, "b", "store_lost", detail="another VM"),
    line(92.0, "a", "lead_known", service="orders", phase="moving"),
    "not a structured line",
    line(93.0, "a", "statement_answered", request="r1", result="overloaded"),
    line(93.5, "a", "lead_known", service="orders", phase="settled"),
    line(94.0, "b", "statement_answered", request="r1", result="completed"),
    line(95.0, "b", "statement_answered", request="r2", dropped_lines=7),
]


def test_answers_of_all_vms_and_their_recent_beliefs():
    explanation = explain_request("r1", LINES)
    assert [(a.vm, a.fields["result"]) for a in explanation.answers] == [
        ("a", "overloaded"),
        ("b", "completed"),
    ]
    assert [(b.vm, b.at) for b in explanation.beliefs] == [("b", 90.0), ("a", 92.0)]
    assert (explanation.unreadable, explanation.dropped) == (1, 7)


def test_an_unknown_request_has_no_answers():
    assert explain_request("r9", LINES).answers == []
