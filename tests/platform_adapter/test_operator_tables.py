"""Rows of the operators' and the targets' tables that other writers wrote."""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from guavabarrow_core.operator_rows import TableRow
from guavabarrow_core.store_clock import StoreClock
from guavabarrow_daemon.decoding import UndecodableValue
from guavabarrow_daemon.fleet.operator_orders import OperatorOrders
from guavabarrow_daemon.store.watched_table import TableReadResult
from guavabarrow_platform.operator_tables import (
    StoredDirectory,
    StoredOrders,
    decode_configuration,
    decode_entry,
)

ENTRY = {
    "Service": "orders",
    "Address": "10.0.0.1:5432",
    "Zone": "north",
    "Version": "v1",
    "Capacity": 3,
    "State": "ready",
    "WarmupLeftMs": 0,
    "DbRole": "primary",
    "Sequence": 4,
    "born": 1,
}
MAX_PROBLEM_LENGTH = 500
"""A line of the log is written at once up to 4 KB."""

CONFIGURATION = {"Version": 2, "Routes": [], "Services": [], "Tenants": []}


class FakeTable:
    """Table whose rows a test sets."""

    def __init__(self, *values: bytes) -> None:
        self._rows = [
            TableRow(f"row-{number}", value, number + 1)
            for number, value in enumerate(values)
        ]

    async def read(self) -> TableReadResult:
        return TableReadResult(self._rows, len(self._rows), 0.0)


def result_of(coroutine):
    results: list = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    return results[0]


def entry_with(**changes) -> bytes:
    return json.dumps({**ENTRY, **changes}).encode()


UNREADABLE_ENTRIES = {
    "nested, cut off": b'{"Version": ' + b"[" * 40_000,
    "nested": b'{"Version": ' + b"[" * 20_000 + b"]" * 20_000 + b"}",
    "giant capacity": entry_with(Capacity=10**30),
    "giant start time": entry_with(born=10**30),
    "negative start time": entry_with(born=-1),
    "start time with 5,000 digits": b'{"born": ' + b"9" * 5_000 + b"}",
    "port out of range": entry_with(Address="10.0.0.1:70000"),
    "port in other digits": entry_with(Address="10.0.0.1:\u00b2"),
    "port of 5,000 digits": entry_with(Address="10.0.0.1:" + "1" * 5_000),
    "no text": b"\xff\xfe",
    "empty": b"",
    "no table": b"[]",
    "role of another type": entry_with(DbRole=["primary"]),
    "service of two words": entry_with(Service="orders db"),
    "unknown state": entry_with(State="resting"),
    "nested in an unknown field": entry_with()[:-1]
    + b',"Extra":'
    + b"[" * 100_000
    + b"]" * 100_000
    + b"}",
    "nested in a known field": entry_with(Zone=[[[[[]]]]]),
    "number beyond 64 bits": entry_with(Sequence=10**19),
    "number of 400 digits": entry_with(WarmupLeftMs=10**400),
    "exponent out of range": entry_with()[:-1] + b',"WarmupLeftMs":1e400}',
    "infinite number": entry_with(WarmupLeftMs=float("inf")),
    "no number": entry_with(WarmupLeftMs=float("nan")),
    "negative capacity": entry_with(Capacity=-1),
    "half a surrogate pair": entry_with(Zone="\ud800"),
    "giant service": entry_with(Service="s" * 60_000),
    "giant zone": entry_with(Zone="z" * 60_000),
    "giant state": entry_with(State="s" * 60_000),
    "giant role": entry_with(DbRole="s" * 60_000),
    "giant host": entry_with(Address="1" * 200_000 + ":1"),
    "giant port": entry_with(Address="10.0.0.1:" + "1" * 200_000),
    "zone without characters": entry_with(Zone=""),
    "control character in a service": entry_with(Service="orders\0"),
    "control character in a zone": entry_with(Zone="north\x1b[31m"),
}
ODD_ADDRESSES = [
    *("", ":", "10.0.0.1", "10.0.0.1:", ":5432", "5432"),
    *(f"10.0.0.1:{port}" for port in ("0", "65536", "99999", "+5", "-5", "1_0", " 5")),
    *(f"10.0.0.1:{port}" for port in ("\u0663", "\u00b2", "0x10", "5.0", "5\n", "5\0")),
    *(f"{host}:5432" for host in ("db.local", "localhost", "a b", "[::1]", "::1")),
    *(f"{host}:5432" for host in ("10.0.0.1 ", " 10.0.0.1", "10.0.0.1\0", "10.1")),
    *(
        f"{host}:5432"
        for host in ("999.1.1.1", "010.0.0.1", "\u0661.1.1.1", "1.1.1.1/8")
    ),
    *(f"{host}:5432" for host in ("0.0.0.0", "224.0.0.1", "255.255.255.255")),
]
ODD_IDS = ["", "a b", "a\0", "a\n", "a\x1b", "\u2028", "a" * 201]


@pytest.mark.parametrize("value", UNREADABLE_ENTRIES.values(), ids=UNREADABLE_ENTRIES)
def test_an_unreadable_entry_hides_no_other(value):
    """Deep nesting raised RecursionError, which ended the poll of the list for good."""
    table = FakeTable(value, entry_with())
    listing = result_of(StoredDirectory(table).read())
    entries, problems = listing.entries, listing.problems
    assert [entry.target_id for entry in entries] == ["row-1"]
    assert len(problems) == 1
    assert len(problems[0]) < MAX_PROBLEM_LENGTH
    msgspec.msgpack.encode(entries)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_address_that_no_target_can_have_is_refused(address):
    """Port 0, names and malformed hosts passed and were connected to or looked up."""
    with pytest.raises(UndecodableValue):
        decode_entry("t", entry_with(Address=address))


@pytest.mark.parametrize("target_id", ODD_IDS)
def test_a_key_that_no_target_can_have_is_refused(target_id):
    """Control characters in a key passed, and were written into a line to a target."""
    with pytest.raises(UndecodableValue):
        decode_entry(target_id, entry_with())


def test_entries_with_one_address_or_a_repeated_field_are_decoded():
    doubled = entry_with()[:-1] + b',"Zone":"south"}'
    listing = result_of(StoredDirectory(FakeTable(entry_with(), doubled)).read())
    entries, problems = listing.entries, listing.problems
    assert [entry.domain for entry in entries] == ["north", "south"]
    assert not problems


@pytest.mark.parametrize("name", ENTRY)
@pytest.mark.parametrize("value", [None, [], "absent"])
def test_an_entry_names_no_target_unless_all_its_fields_are_there(name, value):
    """Defaults stood in for start time and slots, so another writer's entry counted."""
    fields = {**ENTRY, name: value}
    if value == "absent":
        del fields[name]
    with pytest.raises(UndecodableValue):
        decode_entry("t", json.dumps(fields).encode())


def orders_from(*rows: TableRow) -> OperatorOrders:
    source = StoredOrders(FakeTable())
    orders = OperatorOrders(source, StoreClock(), Clock())
    orders.apply(
        rows, source="store", version=9, as_of=1.0, store_s=1.0, live_keys=None
    )
    return orders


def test_an_unreadable_configuration_is_left_out():
    """The loop that reads the operators' table ended as well."""
    value = b'{"Extra": ' + b"[" * 40_000
    orders = orders_from(
        TableRow("config", value, 1), TableRow("evacuate/north", b"{}", 2)
    )
    assert orders.configuration is None
    assert orders.evacuated == {"north"}


@pytest.mark.parametrize("kind", ["unknown", "", "PRIMARY"])
def test_a_configuration_with_an_unknown_kind_of_route_is_left_out(kind):
    route = {"Host": "shop", "Service": "orders", "Kind": kind}
    value = json.dumps({**CONFIGURATION, "Routes": [route]}).encode()
    assert orders_from(TableRow("config", value, 1)).configuration is None


@pytest.mark.parametrize("number", ["1" + "0" * 30, "-1" + "0" * 30, "1e400", "NaN"])
@pytest.mark.parametrize(
    ("part", "field"),
    [
        (None, "Version"),
        *(("Routes", name) for name in ("Priority", "TimeoutMs", "MaxStalenessMs")),
        *(("Services", name) for name in ("MaxConns", "SyncReplicas")),
        *(("Tenants", name) for name in ("RatePerS", "Burst")),
        *(("Limits", name) for name in ("MaxBodyBytes", "IdleTxMs")),
    ],
)
def test_numbers_of_a_configuration_are_finite_and_integers_have_64_bits(
    part, field, number
):
    """A priority beyond 64 bits passed, and no statement to a host was encoded."""
    parts: dict = {
        "Routes": {"Host": "shop", "Service": "orders", "Kind": "primary"},
        "Services": {"Name": "orders"},
        "Tenants": {"Name": "a", "ApiKeys": ["k"], "RatePerS": 1},
        "Limits": {},
    }
    fields = parts[part] if part else parts
    fields.update({"Version": 2} if part else {})
    fields[field] = "NUMBER"
    parts.setdefault("Version", 2)
    for name in ("Routes", "Services", "Tenants"):
        parts[name] = [parts[name]]
    value = json.dumps(parts).replace('"NUMBER"', number).encode()
    is_float = field.endswith("Ms") or part == "Tenants"
    if is_float and number.endswith("0" * 30):
        assert decode_configuration(value).version == 2
        return
    orders = orders_from(TableRow("config", value, 1))
    assert orders.configuration is None


def test_names_that_no_target_can_be_told_are_left_out():
    """A team or service of two words would shift the fields of a line to a target."""
    routes = [
        {"Host": host, "Service": service, "Kind": "primary"}
        for host, service in [("shop", "orders"), ("other", "orders db")]
    ]
    teams = [
        {"Name": name, "ApiKeys": [f"key of {name}"]} for name in ("a", "a i-7", "")
    ]
    value = json.dumps({**CONFIGURATION, "Routes": routes, "Tenants": teams}).encode()
    configuration = decode_configuration(value)
    assert list(configuration.route_by_database) == ["shop"]
    assert configuration.team_by_key == {"key of a": "a"}


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text("ab:1.\u00b2\x00", max_size=8)
    | st.sampled_from(["ready", "draining", "primary", "10.0.0.1:1", 10**30, -1]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["a", "Version"]), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.dictionaries(st.sampled_from(list(ENTRY)), VALUES), st.integers(0, 300))
def test_an_entry_is_decoded_or_refused_with_a_typed_error(changes, kept_bytes):
    value = json.dumps({**ENTRY, **changes}).encode()
    for data in (value, value[:kept_bytes], value + value[:kept_bytes]):
        try:
            msgspec.msgpack.encode(decode_entry("t", data))
        except UndecodableValue as error:
            assert str(error)
