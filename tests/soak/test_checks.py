"""The checker finds each fault in records that are made by hand."""

from __future__ import annotations

import pytest

from soak.checks import Checker
from soak.record import (
    Evacuation,
    Fault,
    Lifetime,
    Record,
    Request,
    Run,
    Version,
    Write,
)

START_S = 100.0
"""Start of the processes, before which version 1 was confirmed."""


def make_record() -> Record:
    record = Record()
    record.versions = [
        Version(1, {"db": "orders", "old": "orders"}, {"key": "team"}, 90.0, 90.1),
        Version(4, {"db": "stock"}, {"new": "team"}, 110.0, 110.1),
    ]
    record.lifetimes = [Lifetime("vm-1", START_S)]
    record.domain_by_target = {"i-orders-0": "domain-a", "i-stock-0": "domain-a"}
    return record


def add_request(record: Record, at: float, code: str = "COMPLETE", **fields) -> Request:
    """Add a request that is answered after 10 ms."""
    request = Request(f"r{at}", "vm-1", 0, "db", "new", "READ a", at, at, code)
    request.ended_at = at + 0.01
    for name, value in fields.items():
        setattr(request, name, value)
    record.requests.append(request)
    return request


def add_run(record: Record, request: Request, service: str, team: str = "team") -> None:
    target_id = f"i-{service}-0"
    at = (request.sent_at + request.ended_at) / 2
    request.detail = f"{target_id}.{request.request_id}"
    record.runs.append(
        Run(at, service, target_id, request.request_id, team, request.text)
    )


def broken_rules(record: Record) -> set[str]:
    return {violation.rule for violation in Checker(record).check()}


def test_requests_handled_by_the_newest_version_break_no_rule():
    record = make_record()
    add_run(record, add_request(record, 105.0, key="key"), "orders")
    add_run(record, add_request(record, 120.0), "stock")
    add_request(record, 121.0, "NODB", database="old")
    add_request(record, 122.0, "NOAUTH", key="key")
    assert broken_rules(record) == set()


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"key": "key"}, "COMPLETE"),
        ({"database": "old", "key": "key"}, "COMPLETE"),
        ({}, "NOAUTH"),
    ],
)
def test_a_request_handled_by_an_old_version_breaks_config(fields, code):
    record = make_record()
    request = add_request(record, 113.2, code, **fields)
    if code == "COMPLETE":
        add_run(record, request, "orders")
    assert broken_rules(record) == {"CONFIG"}


def test_a_version_has_time_to_be_rolled_out():
    record = make_record()
    add_run(record, add_request(record, 113.0, key="key"), "orders")
    assert broken_rules(record) == set()


@pytest.mark.parametrize(
    "fault",
    [
        Fault("freeze", ("vm-1",), 108.0, 109.5),
        Fault("is_silent", ("vm-2", "vm-1"), 108.0, 109.5),
        Fault("store is_down", ("store",), 108.0, 109.5),
        Fault("turned away", ("vm-1",), 108.0, 109.5),
    ],
)
def test_a_vm_out_of_contact_has_more_time(fault):
    record = make_record()
    record.faults = [fault]
    add_run(record, add_request(record, 113.2, key="key"), "orders")
    assert broken_rules(record) == set()
    record.requests.clear()
    record.runs.clear()
    add_run(record, add_request(record, 125.2, key="key"), "orders")
    assert broken_rules(record) == {"CONFIG"}


def test_a_vm_that_goes_back_breaks_regress():
    record = make_record()
    add_run(record, add_request(record, 110.5), "stock")
    add_run(record, add_request(record, 110.6, key="key"), "orders")
    assert broken_rules(record) == set()
    add_run(record, add_request(record, 110.8, key="key"), "orders")
    assert broken_rules(record) == {"REGRESS"}


def test_a_transaction_keeps_the_version_with_which_it_began():
    record = make_record()
    add_run(record, add_request(record, 110.5), "stock")
    request = add_request(record, 115.0, key="key", operation_at=110.4)
    add_run(record, request, "orders")
    assert broken_rules(record) == set()


@pytest.mark.parametrize("code", ["COMPLETE", "NOAUTH"])
def test_a_started_vm_that_does_not_know_a_confirmed_version_has_lost_it(code):
    record = make_record()
    record.lifetimes = [Lifetime("vm-1", 110.2), Lifetime("vm-2", START_S)]
    request = add_request(record, 110.9, code, key="key" if code[0] == "C" else "new")
    if code == "COMPLETE":
        add_run(record, request, "orders")
    assert broken_rules(record) == {"LOST"}
    record.faults = [Fault("turned away", ("vm-1",), 105.0, 120.0)]
    assert broken_rules(record) == {"LOST"}
    record.faults.append(Fault("store is_silent", ("store",), 105.0, 120.0))
    violations = Checker(record).check()
    assert [v.rule for v in violations] == ["LOST unreached"]
    assert not violations[0].is_broken


def test_a_run_that_no_version_allows_is_found():
    record = make_record()
    add_run(record, add_request(record, 105.0, key="key"), "orders", team="other")
    assert broken_rules(record) == {"UNASKED"}
    record = make_record()
    record.runs = [Run(105.0, "orders", "i-orders-0", "r0", "team", "READ a")]
    assert broken_rules(record) == {"UNASKED"}
    record = make_record()
    request = add_request(record, 105.0, key="key", database="never")
    add_run(record, request, "orders")
    assert broken_rules(record) == {"ROUTE"}


def test_a_connection_that_ends_without_an_answer_is_found():
    record = make_record()
    request = add_request(record, 120.0, "", ended_at=120.1)
    add_run(record, request, "stock")
    request.detail = ""
    assert broken_rules(record) == {"LOST answer"}
    record.faults = [Fault("terminate", ("vm-1",), 119.0)]
    assert broken_rules(record) == {"LOST answer"}
    record.lifetimes[0].stopped_at = record.lifetimes[0].ended_at = 120.1
    record.faults = [Fault("kill", ("vm-1",), 120.1)]
    assert broken_rules(record) == set()


def test_writes_are_kept_as_their_answers_say():
    record = make_record()
    add_request(record, 105.0, "NOSTMT", key="key")
    record.writes = [Write("d1", "r105.0", must_be_kept=True)]
    assert broken_rules(record) == {"PINNED", "LOST write"}
    record.kept_data = ["d1", "d1"]
    assert broken_rules(record) == {"PINNED", "TWICE"}
    record.writes = [Write("d1", "r105.0", may_be_kept=False)]
    assert broken_rules(record) == {"PINNED", "TWICE", "REFUSED"}


def test_an_answer_without_the_signature_of_a_target_is_found():
    record = make_record()
    add_request(record, 105.0, key="key")
    assert broken_rules(record) == {"MIXED"}


def test_a_run_in_an_evacuated_domain_is_found():
    record = make_record()
    record.evacuations = [Evacuation("domain-a", 110.0, 120.0)]
    add_run(record, add_request(record, 114.0), "stock")
    assert broken_rules(record) == set()
    add_run(record, add_request(record, 116.0), "stock")
    assert broken_rules(record) == {"EVAC"}


def test_a_process_that_ends_by_itself_is_found():
    record = make_record()
    record.lifetimes[0].has_failed = True
    assert broken_rules(record) == {"PROCESS"}


def test_a_request_that_was_not_read_needs_no_answer():
    record = make_record()
    add_request(record, 120.0, "", ended_at=120.1)
    add_request(record, 121.0, "", ended_at=122.0, detail="reset: by peer")
    assert broken_rules(record) == set()
    add_request(record, 123.0, "", ended_at=123.3)
    assert broken_rules(record) == {"LOST answer"}


def test_a_slow_store_can_be_reached():
    record = make_record()
    record.lifetimes = [Lifetime("vm-1", 110.2)]
    record.faults = [Fault("delay_s", ("vm-1", "store"), 105.0, 120.0)]
    add_run(record, add_request(record, 110.9, key="key"), "orders")
    assert broken_rules(record) == {"LOST"}
