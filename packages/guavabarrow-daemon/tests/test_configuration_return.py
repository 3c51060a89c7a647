"""A table service that returns from an older copy of the configuration chain."""

from __future__ import annotations

from copy import deepcopy
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from guavabarrow_cli.standins.platform_server import TableEngine
from guavabarrow_core.fleet import Template
from guavabarrow_core.fleet_change import PutTemplate
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.store.interface import TableService


class EngineTable(TableService):
    """The stand-in's table, without a connection."""

    def __init__(self) -> None:
        self.engine = TableEngine()

    async def transact(self, message):
        return self.engine.transact(message)

    async def read(self, message):
        return self.engine.read(message)


def service_on(table: EngineTable) -> ConfigurationService:
    partners = SimpleNamespace(partners=lambda count: [])
    found = SimpleNamespace(
        table=partners,
        announce=lambda **fields: None,
        announce_now=lambda count: None,
        version=SimpleNamespace(set=lambda value: None),
    )
    tasks = SimpleNamespace(create_periodic=lambda name, function, reactor: None)
    kernel = SimpleNamespace(find=lambda kind: found, tasks=tasks)
    settings = SimpleNamespace(vm="vm-1", domain="north")
    return ConfigurationService(kernel, settings, table, None, Clock())


def result_of(coroutine):
    results: list = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    [result] = results
    return result


def change(service: ConfigurationService, name: str) -> int:
    changes = (PutTemplate(Template(name)),)
    return result_of(
        service.change(changes, base_version=None, operation_id=name, author="operator")
    )


@pytest.mark.parametrize("kept", [0, 1, 2])
def test_changes_after_a_return_reach_the_vms_that_know_more_than_the_store(kept):
    """The next change got a version that the VMs had, so all of them ignored it."""
    table = EngineTable()
    first, second = service_on(table), service_on(table)
    copies = [deepcopy(table.engine)]
    for name in ("a", "b", "c"):
        change(first, name)
        copies.append(deepcopy(table.engine))
    result_of(second._poll_store())
    table.engine = copies[kept]
    assert change(second, "d") == 4
    result_of(first._poll_store())
    started = service_on(table)
    result_of(started._poll_store())
    for service in (first, second, started):
        assert service.chain.version == 4
        assert set(service.fleet.templates) == {"a", "b", "c", "d"}


def test_two_vms_write_lost_revisions_once():
    table = EngineTable()
    first, second = service_on(table), service_on(table)
    copy = deepcopy(table.engine)
    for name in ("a", "b", "c"):
        change(first, name)
    result_of(second._poll_store())
    table.engine = copy
    for service in (first, second, first):
        result_of(service._poll_store())
    assert [r.operation_id for r in result_of(first._read_revisions(0))] == [
        "a",
        "b",
        "c",
    ]
