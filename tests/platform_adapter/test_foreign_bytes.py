"""Bytes from outside, each decoded to a value or refused with the decoder's own error.

Failure: an exception that a decoder does not announce ended the loop that called it.
"""

from __future__ import annotations

import json
import time
from functools import partial
from ipaddress import IPv4Address

import msgspec
import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from guavabarrow_core.exceptions import InvalidEntry
from guavabarrow_core.target_directory import TargetEntry
from guavabarrow_core.target_pace import MAX_LIMIT, TargetPace
from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.fleet import fleet_messages
from guavabarrow_daemon.fleet.row_codec import decode_row
from guavabarrow_daemon.operations.readiness_site import ROUTE_QUERY_DECODER
from guavabarrow_daemon.settings import SettingsError
from guavabarrow_daemon.store.exceptions import StoreUnavailable
from guavabarrow_daemon.usage.report_codec import decode_report
from guavabarrow_platform.operator_tables import decode_configuration, decode_entry
from guavabarrow_platform.settings import load_settings
from guavabarrow_platform.store_client import _decode_response
from guavabarrow_platform.wire import LineFrontCodec, LineTargetCodec

DECODE_S = 1.0
"""Processor time in which a megabyte of anything is decoded or refused."""

ROW = {"tag": "vm", "type": "vm", "vm": "a", "domain": "b", "host": "c", "port": 1}
DOCUMENTS = {
    "entry": {"Service": "s", "Address": "h:1", "born": 1, "Capacity": 2},
    "configuration": {
        "Version": 1,
        "Routes": [{"Host": "h", "Service": "s", "Kind": "primary", "TimeoutMs": 5}],
        "Tenants": [{"Name": "t", "ApiKeys": ["k"], "RatePerS": 1, "Burst": 2}],
        "Limits": {"IdleTxMs": 3},
    },
    "row": {**ROW, "incarnation": "d", "cpu_cores": 1.0},
    "rows": {"Ver": 1, "NowMs": 2, "rows": [{"Key": "k", "Ver": 1, "Value": "AA=="}]},
    "report": {"count_by_team": {"a": 1}, "phase": "stored", "holder": "a"},
    "query": {"database": "d", "kind": "read"},
}
ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.floats()
    | st.sampled_from([0, -1, 10**19, -(10**40), "", "\x00", "AA", "ready", "vm"]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.sampled_from(["Version", "a", "rows"]), inner, max_size=2)
    ),
    max_leaves=4,
)


def decode_settings(data: bytes, folder) -> None:
    path = folder / "settings.yaml"
    path.write_bytes(data)
    load_settings(str(path))


DECODERS = {
    "entry": (lambda data: decode_entry("t", data), UndecodableValue),
    "configuration": (decode_configuration, UndecodableValue),
    "row": (lambda data: decode_row("k", data, 1), ()),
    "rows": (partial(_decode_response, era=1), StoreUnavailable),
    "report": (lambda data: decode_report("window/7", data, 1), ()),
    "query": (lambda data: decode_value(ROUTE_QUERY_DECODER, data), UndecodableValue),
    "peer": (lambda data: decode_value(fleet_messages.DECODER, data), UndecodableValue),
    "caller": (lambda data: LineFrontCodec().feed(data + b"\r\n"), ()),
    "target": (lambda data: LineTargetCodec().feed(data + b"\r\n"), ()),
    "status": (
        lambda data: LineTargetCodec().decode_status((data.decode("latin-1"),)),
        ValueError,
    ),
}


TARGET_FIELDS = {
    "target_id": "t1",
    "service": "orders",
    "domain": "north",
    "host": "10.0.0.1",
    "port": 1,
    "is_draining": False,
    "is_primary": True,
    "slots": 1,
    "born_ms": 1,
}
ODD_FIELDS = (
    st.none()
    | st.booleans()
    | st.floats()
    | st.integers(-(2**63), 2**64 - 1)
    | st.text("ab:1.\0", max_size=8)
    | st.sampled_from(["db.local", "0.0.0.0", "[::1]", "10.0.0.2", "s" * 300, [[[]]]])
)


def decode_or_refuse(name: str, data: bytes) -> None:
    decode, error = DECODERS[name]
    try:
        decode(data)
    except error:
        pass


@pytest.mark.parametrize("name", DECODERS)
@given(data=st.binary(max_size=200))
def test_any_bytes(name, data):
    decode_or_refuse(name, data)


@pytest.mark.parametrize("name", DOCUMENTS)
@given(data=st.data())
def test_documents_with_odd_missing_cut_and_doubled_fields(name, data):
    document = dict(DOCUMENTS[name])
    changed = data.draw(st.dictionaries(st.sampled_from(list(document)), ODD_VALUES))
    document.update(changed)
    if data.draw(st.booleans()):
        del document[data.draw(st.sampled_from(list(document)))]
    text = json.dumps(document)
    doubled = text[:-1] + "," + text[1:]
    cut = data.draw(st.integers(0, len(text)))
    for variant in (text, doubled, text[:cut], text + text[:cut]):
        decode_or_refuse(name, variant.encode())


@pytest.mark.parametrize("name", DECODERS)
@pytest.mark.parametrize(
    "value",
    [
        b'{"Version":' * 100_000,
        b"[" * 1_000_000,
        b'{"a":' + b"9" * 1_000_000 + b"}",
        b"\x91" * 1_000_000,
        b"\xdd\xff\xff\xff\xff" * 100,
        b"QUERY 1 " + b"a" * 900_000,
        b"DATAROW primary " + b"9" * 900_000 + b".1",
        b"READY I " + b"9" * 900_000 + b".1",
        b"primary " + b"9" * 5_000 + b" 1.1 0 0 0 0",
        b"primary 1 1.1 0 inf 0 0",
        b"primary 1 1.1 0 nan 0 0",
    ],
    ids=range(11),
)
def test_large_and_deep_values_are_refused_in_time(name, value):
    began_at = time.process_time()
    decode_or_refuse(name, value)
    assert time.process_time() - began_at < DECODE_S


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[" * 10_000,
        b"\xff\xfe\x00",
        b"a: b: c",
        b"a: &a [*a]",
        b"- 1",
        b"1",
        b"NodeName: [1]",
        yaml.safe_dump({"NodeName": "a", "Zone": 3, "Listen": 7}).encode(),
        b"NodeName: " + b"x" * 100_000,
        b"a: 2001-99-99",
        b"? [a]\n: 1",
        b"a: !!python/object:os.system x",
    ],
    ids=range(13),
)
def test_a_settings_file_is_refused_with_its_mistakes(value, tmp_path):
    with pytest.raises(SettingsError) as caught:
        decode_settings(value, tmp_path)
    assert caught.value.mistakes


@given(data=st.binary(max_size=60))
def test_any_settings_file_is_refused_with_its_mistakes(data, tmp_path_factory):
    with pytest.raises(SettingsError):
        decode_settings(data, tmp_path_factory.getbasetemp())


def test_a_decoded_peer_message_is_a_known_one():
    data = msgspec.msgpack.encode({"type": "unknown"})
    with pytest.raises(UndecodableValue):
        decode_value(fleet_messages.DECODER, data)


def decode_relayed_target(fields: dict) -> TargetEntry:
    """Decode a list of one target as another VM sends it."""
    answer = {"type": fleet_messages.TableAnswer.__struct_config__.tag}
    integers = ("number", "fleet_version", "rows_version", "orders_version")
    answer.update(dict.fromkeys(integers, 1))
    answer.update(store_s=1.0, heard_store_s=1.0, rows=[], orders=[], targets=[fields])
    data = msgspec.msgpack.encode(answer)
    [entry] = decode_value(fleet_messages.DECODER, data).targets
    entry.validate()
    return entry


def test_a_relayed_target_is_decoded():
    entry = decode_relayed_target(TARGET_FIELDS)
    assert entry == TargetEntry(**TARGET_FIELDS)


@given(st.dictionaries(st.sampled_from(list(TARGET_FIELDS)), ODD_FIELDS))
def test_relayed_targets_are_usable_or_refused(changes):
    """A peer of another version relayed a port and a host that raised in the driver."""
    try:
        entry = decode_relayed_target({**TARGET_FIELDS, **changes})
    except (UndecodableValue, InvalidEntry) as error:
        assert str(error)
        return
    assert 0 < entry.port < 2**16
    assert IPv4Address(entry.host)
    assert TargetPace(entry.slots).limit <= MAX_LIMIT
