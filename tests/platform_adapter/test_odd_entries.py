"""Rows that another writer put among those that VMs read, on processes.

The list of targets is read by one VM, which relays it to the others.
"""

from __future__ import annotations

import json
import time

import pytest
from local_deployment import SERVICE, Caller, LocalDeployment, wait_for

pytestmark = pytest.mark.processes

VM_COUNT = 3
SCARCE_CONNECTIONS = 5
"""Connection limit at which one VM runs the statements of all."""

HOSTED_READS = 30
FOLLOW_S = 4.0
"""Time in which a list that is read every 1.5 s is read again."""

MAX_LINE_BYTES = 4096
"""Longest line that is written to a pipe as a whole."""

ENTRY = {
    "Service": SERVICE,
    "Address": "127.0.0.1:9",
    "Zone": "north",
    "Version": "v1",
    "Capacity": 2,
    "State": "ready",
    "WarmupLeftMs": 0,
    "DbRole": "replica",
    "Sequence": 1,
    "born": 1,
}


def entry_with(text: str = "", **changes: object) -> bytes:
    """Return an entry with other fields, and with text before its end."""
    return f"{json.dumps({**ENTRY, **changes})[:-1]}{text}}}".encode()


def nested(depth: int) -> str:
    return "[" * depth + "]" * depth


ODD_ENTRIES = {
    "deep": nested(100_000).encode(),
    "deep-known": entry_with(f',"Zone":{nested(1000)}'),
    "deep-unknown": entry_with(f',"Extra":{nested(20_000)}'),
    "deep-object": entry_with(',"Extra":' + '{"a":' * 9000 + "1" + "}" * 9000),
    "cut": entry_with()[:-1] + b',"Extra":' + b"[" * 30_000,
    "integer": entry_with(Capacity=10**19),
    "digits": entry_with(Sequence=10**400),
    "exponent": entry_with(',"WarmupLeftMs":1e400'),
    "negative": entry_with(Capacity=-1),
    "infinite": entry_with(WarmupLeftMs=float("inf")),
    "not-a-number": entry_with(WarmupLeftMs=float("nan")),
    "port-0": entry_with(Address="127.0.0.1:0"),
    "port-65536": entry_with(Address="127.0.0.1:65536"),
    "port-99999": entry_with(Address="127.0.0.1:99999", DbRole="primary"),
    "port-none": entry_with(Address="127.0.0.1:"),
    "port-digits": entry_with(Address="127.0.0.1:\u0663"),
    "host-none": entry_with(Address=":9"),
    "host-name": entry_with(Address="db.local:9", DbRole="primary"),
    "host-ipv6": entry_with(Address="[::1]:9"),
    "host-blank": entry_with(Address="127.0.0.1 x:9"),
    "host-range": entry_with(Address="999.1.1.1:9"),
    "host-giant": entry_with(Address="1" * 200_000 + ":9"),
    "host-nul": entry_with(Address="127.0.0.1\0:9"),
    "control": entry_with(Service=f"{SERVICE}\x1b[31m\0"),
    "zone-giant": entry_with(Zone="z" * 64_000),
    "bytes": b"\xff\xfe\x00" * 20_000,
    "base64": b"",
    "key of words\0": entry_with(),
}
GIANT_NUMBERS = {
    "capacity": {"Capacity": 2**63 - 1, "born": 2},
    "start time": {"born": 2**63 - 1, "Sequence": 2**63 - 1},
    "warm-up": {"WarmupLeftMs": 1e308},
}


@pytest.fixture
def fleet(deployment: LocalDeployment) -> LocalDeployment:
    """Yield a deployment with three VMs."""
    deployment.configure(max_connections=SCARCE_CONNECTIONS)
    for number in range(VM_COUNT):
        deployment.start_vm(f"vm-{number}")
    return deployment


def assert_serving(fleet: LocalDeployment) -> None:
    """Check that all VMs serve reads and writes, and that no background work failed."""
    for vm in fleet.vms:
        wait_for(lambda vm=vm: fleet.can_write(vm), f"{vm.name} serves writes")
        caller = Caller(vm.front, "read-your-writes")
        wait_for(
            lambda caller=caller: caller.execute("READ a1")[1].startswith("COMPLETE"),
            f"{vm.name} serves reads",
        )
        caller.close()
        assert vm.process.poll() is None
        assert vm.events("background_task_failed") == []
        assert "guavabarrow_background_failures_total{" not in vm.metrics()
        lines = vm.log.read_bytes().splitlines()
        assert max(map(len, lines)) < MAX_LINE_BYTES
        assert b"Traceback" not in vm.log.read_bytes()


def assert_followed(fleet: LocalDeployment) -> None:
    """Check that all VMs learn of a target that comes and of one that goes."""
    replica = next(d for d in fleet.group.databases if not d.is_primary)
    for event, change in [
        ("target_gone", lambda: fleet.store.remove("servers", replica.target_id)),
        ("target_entry", lambda: fleet.group.register(replica)),
    ]:
        before = [len(vm.events(event)) for vm in fleet.vms]
        change()
        for vm, count in zip(fleet.vms, before, strict=True):
            wait_for(
                lambda vm=vm, count=count, event=event: any(
                    line["target"] == replica.target_id
                    for line in vm.events(event)[count:]
                ),
                f"{vm.name}: {event}",
            )


def test_odd_entries_name_no_target_and_the_list_is_followed(fleet):
    """An entry of another writer ended a loop, or was connected to as a target."""
    fleet.store.undecodable_keys.add("base64")
    for key, value in ODD_ENTRIES.items():
        fleet.store.put_bytes("servers", key, value)
    wait_for(
        lambda: any(len(vm.events("entry_left_out")) for vm in fleet.vms),
        "the entries are read",
    )
    assert_followed(fleet)
    time.sleep(FOLLOW_S)
    assert_serving(fleet)
    for vm in fleet.vms:
        named = {line["target"] for line in vm.events("target_entry")}
        assert named == {database.target_id for database in fleet.group.databases}
        problems = [line["problem"] for line in vm.events("entry_left_out")]
        assert len(problems) == len(set(problems))
    lines = [line for vm in fleet.vms for line in vm.events("entry_left_out")]
    assert {line["problem"].partition(":")[0] for line in lines} == set(ODD_ENTRIES)


@pytest.mark.parametrize("changes", GIANT_NUMBERS.values(), ids=GIANT_NUMBERS)
def test_a_registration_with_giant_numbers_stops_no_vm(fleet, changes):
    """Hosts divided the registered slots one by one, and did nothing else any more."""
    callers = [Caller(vm.front, "read-your-writes") for vm in fleet.vms]
    for _ in range(HOSTED_READS):
        for caller in callers:
            caller.execute("READ a1")
    wait_for(
        lambda: all(vm.events("service_host_changed") for vm in fleet.vms),
        "a host is selected",
    )
    primary = fleet.group.primary
    odd = entry_with(Address=primary.address, DbRole="primary", **changes)
    fleet.store.put_bytes("servers", primary.target_id, odd)
    until = time.monotonic() + FOLLOW_S
    while time.monotonic() < until:
        for caller in callers:
            caller.execute("READ a1")
    assert_followed(fleet)
    assert_serving(fleet)


@pytest.mark.parametrize(
    ("part", "field", "number"),
    [
        ("Routes", "Priority", 10**30),
        ("Services", "MaxConns", 10**400),
        (None, "Version", 10**30),
    ],
    ids=["priority", "connections", "version"],
)
def test_a_configuration_with_a_giant_number_is_left_out(fleet, part, field, number):
    """Callers were cut off, background work failed, or later versions were ignored."""
    fleet.configure(max_connections=SCARCE_CONNECTIONS)
    odd = fleet.configuration
    for fields in odd[part] if part else [odd]:
        fields[field] = number
    fleet.store.put("op", "config", odd)
    wait_for(
        lambda: any(vm.events("configuration_unreadable") for vm in fleet.vms),
        "the configuration is read",
        timeout_s=2 * FOLLOW_S,
    )
    assert_serving(fleet)
    fleet.configure(max_connections=SCARCE_CONNECTIONS)
    for vm in fleet.vms:
        wait_for(
            lambda vm=vm: any(
                line["version"] == fleet.version
                for line in vm.events("configuration_in_force")
            ),
            f"{vm.name} uses the next configuration",
        )
    assert_serving(fleet)


def test_odd_rows_of_the_shared_table_stop_no_vm(fleet):
    """VMs connected to any port, and wrote names of any length into their logs."""
    member = {
        **{"type": "vm", "vm": "a-other", "domain": "north", "host": "127.0.0.1"},
        **{"port": 9, "incarnation": "1", "cpu_cores": 1e308},
    }
    lead = {"type": "lead", "service": "other", "phase": "settled", "primary_id": "t"}
    giant = "x" * 30_000
    rows = {
        "vm/deep": b'{"type":"vm","x":' + b"[" * 40_000,
        **{
            f"vm/{number}": json.dumps({**member, **changes}).encode()
            for number, changes in enumerate(
                [
                    *({"port": port} for port in (0, 65536, -1, 10**400, 9)),
                    *({"host": host} for host in ("", "db.local", "[::1]", giant)),
                    *({name: giant} for name in ("vm", "domain", "incarnation")),
                ]
            )
        },
        "lead/term": json.dumps({**lead, "term": 10**30}).encode(),
        "lead/service": json.dumps({**lead, "service": giant, "term": 1}).encode(),
    }
    for key, value in rows.items():
        fleet.store.put_bytes("guavabarrow-fleet", key, value)
    time.sleep(FOLLOW_S)
    assert_serving(fleet)
    for key in rows:
        fleet.store.remove("guavabarrow-fleet", key)
    assert_followed(fleet)
    assert_serving(fleet)


def test_two_entries_with_one_address_stop_no_vm(fleet):
    """The second entry names a database that answers under another id."""
    replica = next(d for d in fleet.group.databases if not d.is_primary)
    odd = entry_with(Address=replica.address, DbRole="primary")
    fleet.store.put_bytes("servers", "i-other", odd)
    time.sleep(FOLLOW_S)
    assert_followed(fleet)
    assert_serving(fleet)
