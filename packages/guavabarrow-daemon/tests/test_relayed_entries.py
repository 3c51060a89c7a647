"""Lists of targets that another VM relays, with entries that name no target.

The VM that reads the list runs an older version here, which accepts any entry.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from loguru import logger
from sim_fleet import SimFleet

from guavabarrow_core.target_directory import TargetEntry
from guavabarrow_daemon.decoding import MAX_DETAIL_LENGTH
from guavabarrow_daemon.fleet.directory_service import DirectoryService

TARGET = "target-north"
RELAY_S = 4.0
"""Time within which a change of the list is read and relayed."""

GOOD = TargetEntry("good", "orders", "north", "10.0.0.99", 1, False, False)
ODD_ENTRIES = {
    "port 0": replace(GOOD, port=0),
    "port out of range": replace(GOOD, port=99999),
    "negative port": replace(GOOD, port=-1),
    "giant port": replace(GOOD, port=2**63 - 1),
    "host name": replace(GOOD, host="db.local"),
    "no host": replace(GOOD, host=""),
    "any host": replace(GOOD, host="0.0.0.0"),
    "IPv6 host": replace(GOOD, host="[::1]"),
    "giant host": replace(GOOD, host="1" * 200_000),
    "host with a NUL": replace(GOOD, host="10.0.0.1\0"),
    "service of two words": replace(GOOD, service="orders db"),
    "giant service": replace(GOOD, service="s" * 200_000),
    "control character in a domain": replace(GOOD, domain="\x1b[31m"),
    "no id": replace(GOOD, target_id=""),
    "giant id": replace(GOOD, target_id="i" * 200_000),
}


@pytest.fixture
def records():
    """Yield the records that are logged."""
    records: list = []
    number = logger.add(lambda message: records.append(message.record), level="INFO")
    yield records
    logger.remove(number)


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_that_is_relayed_names_no_target(monkeypatch, records, odd):
    """A VM took over whatever the reader of the list accepted, and connected to it."""
    fleet = SimFleet(monkeypatch)
    fleet.wait_until_serving()
    fleet.run(2.0)
    holder = fleet.holder()
    others = [vm for name, vm in fleet.vm_by_name.items() if name != holder]
    directories = [vm.kernel.find(DirectoryService) for vm in others]
    extra: list[TargetEntry] = [odd]
    source = fleet.vm_by_name[holder].kernel.find(DirectoryService)._source
    read = source.read

    async def read_with_extra():
        listing = await read()
        return replace(listing, entries=[*listing.entries, *extra])

    monkeypatch.setattr(source, "read", read_with_extra)
    fleet.run(RELAY_S)
    known = {TARGET, "target-east", "target-west"}
    assert all(set(d.directory.entry_by_id) == known for d in directories)
    lines = [r["extra"] for r in records if r["message"] == "entry_left_out"]
    assert len(lines) == len(others)
    assert all(len(line["problem"]) <= MAX_DETAIL_LENGTH for line in lines)
    later = replace(GOOD, target_id="later")
    extra.append(later)
    fleet.run(RELAY_S)
    assert all(d.entry("later") == later for d in directories)
    extra.remove(later)
    fleet.run(RELAY_S)
    assert all(d.entry("later") is None for d in directories)
    lines = [r for r in records if r["message"] == "entry_left_out"]
    assert len(lines) == len(others)
    assert not [r for r in records if r["message"] == "background_task_failed"]
    assert not any(vm.kernel.tasks.failing_loops() for vm in fleet.vm_by_name.values())
