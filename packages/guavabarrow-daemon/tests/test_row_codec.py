"""Rows of the shared table that another writer wrote."""

from __future__ import annotations

import json

import pytest
from loguru import logger

from guavabarrow_core.fleet_state import DutyRow, LeadPhase, LeadRow, MemberRow
from guavabarrow_daemon.decoding import MAX_DETAIL_LENGTH
from guavabarrow_daemon.fleet.row_codec import decode_row, encode_row

ROWS = [
    MemberRow("vm-1", "north", "10.0.0.1", 65535, "1"),
    LeadRow("orders", LeadPhase.SETTLED, "t1", 0),
    DutyRow("", ""),
]
MEMBER, LEAD, DUTY = (json.loads(encode_row(row)) for row in ROWS)
GIANT = "x" * 30_000
ODD_ROWS = {
    "port 0": {**MEMBER, "port": 0},
    "port out of range": {**MEMBER, "port": 65536},
    "negative port": {**MEMBER, "port": -1},
    "port of 400 digits": {**MEMBER, "port": 10**400},
    "no host": {**MEMBER, "host": ""},
    "giant host": {**MEMBER, "host": GIANT},
    "no VM": {**MEMBER, "vm": ""},
    "giant VM": {**MEMBER, "vm": GIANT},
    "giant domain": {**MEMBER, "domain": GIANT},
    "giant incarnation": {**MEMBER, "incarnation": GIANT},
    "infinite cores": {**MEMBER, "cpu_cores": float("inf")},
    "term beyond 64 bits": {**LEAD, "term": 10**19},
    "negative term": {**LEAD, "term": -1},
    "giant phase": {**LEAD, "phase": GIANT},
    "giant service": {**LEAD, "service": GIANT},
    "giant primary": {**LEAD, "primary_id": GIANT},
    "giant holder": {**DUTY, "holder": GIANT},
    "no row": [],
}


@pytest.mark.parametrize("row", ROWS)
def test_a_row_is_decoded_as_it_was_encoded(row):
    assert decode_row("key", encode_row(row), 1).row == row


@pytest.mark.parametrize("fields", ODD_ROWS.values(), ids=ODD_ROWS)
def test_a_row_that_no_vm_writes_is_left_out(fields):
    """VMs connected to port 0, and wrote lines of any length into their logs."""
    lines: list = []
    number = logger.add(lambda message: lines.append(message.record["extra"]))
    decoded = decode_row("key", json.dumps(fields).encode(), 1)
    logger.remove(number)
    assert decoded.row is None
    assert [line["key"] for line in lines] == ["key"]
    assert len(lines[0]["detail"]) <= MAX_DETAIL_LENGTH
