"""The era in the store's answers, on responses that a test sets."""

from __future__ import annotations

import json
import time
from types import SimpleNamespace

import pytest
from local_deployment import wait_for
from twisted.internet.defer import Deferred

from guavabarrow_cli.commands.beliefs_command import beliefs, fetch_local_view
from guavabarrow_core.store_position import (
    MAX_ERA,
    MAX_VERSION,
    NO_POSITION,
    StorePosition,
)
from guavabarrow_daemon.fleet.fleet_messages import DECODER, ENCODER, PrimaryUseStopped
from guavabarrow_daemon.store.exceptions import HistoryDropped, StoreUnavailable
from guavabarrow_platform.store_client import StoreClient, StoreTable, decode_era


class AnsweringCaller:
    """Connection to a store whose answers a test sets."""

    def __init__(self, *answers: tuple) -> None:
        self.answers = list(answers)
        self.paths: list[str] = []
        self.bodies: list[bytes] = []

    async def call(self, method, path, body=b"", *, name, wait_s=0.0):
        era, content, *status = self.answers.pop(0)
        headers = {} if era is None else {b"store-era": era}
        self.paths.append(path)
        self.bodies.append(body)
        body = json.dumps({"Ver": 1, "NowMs": 0, **content}).encode()
        return SimpleNamespace(
            status=status[0] if status else 200, headers=headers, body=body
        )


def table_of(*answers: tuple) -> tuple[StoreTable, AnsweringCaller]:
    client = StoreClient("127.0.0.1", 1, None, lambda call, result: None)
    client._caller = AnsweringCaller(*answers)
    return StoreTable(client, "op"), client._caller


def result_of(coroutine):
    results: list = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    [result] = results
    if hasattr(result, "raiseException"):
        result.raiseException()
    return result


def rows(**versions: int) -> dict:
    return {"rows": [{"Key": key, "Ver": ver} for key, ver in versions.items()]}


def test_rows_have_the_era_of_the_answer():
    table, _ = table_of((b"2", {"Ver": 30, **rows(config=26)}))
    reading = result_of(table.read())
    assert reading.version == StorePosition.at(2, 30)
    assert reading.rows[0].version == StorePosition.at(2, 26)


def test_a_store_without_eras_has_positions_that_are_its_versions():
    table, _ = table_of((None, {"Ver": 30, **rows(config=26)}))
    reading = result_of(table.read())
    assert (reading.version, reading.rows[0].version) == (30, 26)


def test_a_watch_asks_after_a_version_and_shows_that_it_is_of_another_era():
    """The counter had passed the version, so no dropped history told of the return."""
    table, caller = table_of((b"2", {"Ver": 30, **rows(config=30)}))
    after = StorePosition.at(1, 26)
    reading = result_of(table.watch(after, 0.0))
    assert "after=26&" in caller.paths[0]
    with pytest.raises(HistoryDropped):
        reading.require_era_of(after)
    reading.require_era_of(StorePosition.at(2, 1))


def test_a_condition_is_a_version_and_its_result_tells_the_era():
    table, caller = table_of((b"2", {"Ver": 31}))
    written = result_of(table.write("2/duty", b"", StorePosition.at(2, 26)))
    assert json.loads(caller.bodies[0])["ExpectRev"][0]["Ver"] == 26
    assert written.version == StorePosition.at(2, 31)


@pytest.mark.parametrize("late", [b"1", None])
def test_an_answer_of_a_former_era_is_no_answer(late):
    """It was overtaken on another connection, or lost its header."""
    table, _ = table_of((b"2", {}), (late, {"Ver": 99, **rows(config=99)}), (b"2", {}))
    result_of(table.read())
    with pytest.raises(StoreUnavailable):
        result_of(table.read())
    assert result_of(table.read()).version.era == 2


def test_pages_of_two_eras_are_no_table():
    table, _ = table_of(
        (b"1", {"HasMore": True, **rows(a=1)}), (b"2", {"HasMore": False, **rows(b=2)})
    )
    with pytest.raises(StoreUnavailable):
        result_of(table.read())


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"x",
        b"-1",
        b"1.5",
        b"1, 1",
        b"1, 2",
        b"9" * 7,
        b"9" * 5000,
        b"\xff",
        b"0x1",
    ],
)
def test_a_malformed_era_is_a_typed_error(value):
    with pytest.raises(StoreUnavailable):
        decode_era({b"store-era": value})


@pytest.mark.parametrize("version", [-1, MAX_VERSION + 1, 10**30])
def test_a_version_that_no_store_gives_out_is_a_typed_error(version):
    table, _ = table_of((b"1", {"Ver": version}))
    with pytest.raises(StoreUnavailable):
        result_of(table.read())


def test_positions_order_by_era_and_fit_into_messages():
    last, first = StorePosition.at(1, MAX_VERSION), StorePosition.at(2, 0)
    assert NO_POSITION < last < first <= StorePosition.at(MAX_ERA, MAX_VERSION)
    stopped = PrimaryUseStopped("vm", "1", "orders", StorePosition.at(MAX_ERA, 7))
    decoded = DECODER.decode(ENCODER.encode(stopped))
    assert decoded == stopped
    assert decoded.version.version == 7


@pytest.mark.parametrize(("era", "version"), [(-1, 0), (0, -1), (MAX_ERA + 1, 0)])
def test_what_is_no_position_is_refused(era, version):
    with pytest.raises(ValueError, match="not a position"):
        StorePosition.at(era, version)


@pytest.mark.processes
def test_processes_follow_a_store_that_returned_older(deployment, capsys):
    """A change that was confirmed afterwards never came into force."""
    vms = [deployment.start_vm(f"vm-{number}") for number in (1, 2)]
    deployment.configure(timeout_ms=2500)
    wait_for(lambda: all(vm.events("orders_confirmed") for vm in vms), "confirmation")
    deployment.store.is_silent = True
    time.sleep(0.5)
    deployment.store.return_older(30.0)
    deployment.store.is_silent = False
    deployment.configure(keys=("another-key",))
    version = deployment.version
    for vm in vms:
        wait_for(lambda vm=vm: version in versions_of(vm), f"{vm.name} has the change")
        [line] = [e for e in vm.events("store_era_entered") if e["is_return"]]
        assert (line["former"], line["era"]) == (1, 2)
        assert "guavabarrow_store_returns_total 1.0" in vm.metrics()
        wait_for(lambda vm=vm: is_repaired(vm), f"{vm.name} has the new rows")
        beliefs(f"127.0.0.1:{vm.metrics_port}")
        assert "store: era 2, shared table up to 2." in capsys.readouterr().out


def versions_of(vm) -> list[int]:
    return [line["version"] for line in vm.events("configuration_in_force")]


def is_repaired(vm) -> bool:
    view = fetch_local_view(f"127.0.0.1:{vm.metrics_port}")
    return view.is_registered and all(p.may_be_used for p in view.primaries)
