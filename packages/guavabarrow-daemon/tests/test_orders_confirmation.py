"""When the operators' orders count as complete and as confirmed."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from guavabarrow_core.operator_rows import TableRow
from guavabarrow_core.session_configuration import SessionConfiguration
from guavabarrow_core.store_clock import StoreClock
from guavabarrow_daemon.decoding import UndecodableValue
from guavabarrow_daemon.fleet import operator_orders
from guavabarrow_daemon.fleet.operator_orders import OperatorOrders
from guavabarrow_daemon.store.watched_table import OperatorSource

CONFIGURATION_KEY = "config"


class NumberedSource(OperatorSource):
    """Decodes configurations up to a format; a value is ``b"FORMAT VERSION"``."""

    def __init__(self, format_number: int = 2) -> None:
        self._format_number = format_number

    async def read(self):
        raise NotImplementedError

    async def watch(self, after, wait_s):
        raise NotImplementedError

    def decode(self, row):
        if row.key != CONFIGURATION_KEY:
            return None
        format_number, version = map(int, row.value.split())
        if format_number > self._format_number:
            raise UndecodableValue("a later format")
        return SessionConfiguration(version=version)


class Vm:
    """The orders of one VM, and its clock."""

    def __init__(self, reactor: Clock, format_number: int = 2) -> None:
        clock = StoreClock()
        clock.observe(store_s=0.0, sent_at=0.0, received_at=0.0)
        self.reactor = reactor
        self.orders = OperatorOrders(NumberedSource(format_number), clock, reactor)

    def read(self, version: int, *rows: TableRow, at: float = 0.0) -> None:
        """Apply a full read of the store."""
        self.orders.apply(
            rows,
            source="store",
            version=version,
            as_of=at,
            store_s=at,
            live_keys={row.key for row in rows},
        )

    def relay_to(self, other: Vm) -> None:
        """Answer a request of another VM."""
        copy = self.orders.rows
        other.orders.apply_relayed(
            self.orders.rows_for(
                other.orders.request_version, other.orders.configuration_version
            ),
            source="peer",
            version=copy.version,
            store_s=copy.store_s,
            live_keys=self.orders.live_keys(),
        )

    def suspend(self, duration_s: float) -> None:
        """Advance time without a turn of the event loop until the end."""
        self.reactor.rightNow += duration_s


@pytest.fixture
def reactor(monkeypatch) -> Clock:
    reactor = Clock()
    monkeypatch.setattr(operator_orders, "now_s", reactor.seconds)
    return reactor


def configuration_row(format_number: int, version: int) -> TableRow:
    value = f"{format_number} {version}".encode()
    return TableRow(CONFIGURATION_KEY, value, version)


def test_a_vm_relays_a_row_that_only_others_can_decode(reactor):
    """During an upgrade; the other VM watched from a version beyond the row's."""
    former, current = Vm(reactor, format_number=1), Vm(reactor, format_number=2)
    for vm in (former, current):
        vm.read(5, configuration_row(1, 5))
    reactor.advance(1.0)
    former.read(12, configuration_row(2, 9), at=1.0)
    former.relay_to(current)
    configuration = current.orders.configuration
    assert configuration is not None
    assert configuration.version == 9


def test_a_vm_that_can_not_decode_a_row_does_not_delete_it_elsewhere(reactor):
    """The configuration was deleted, and no read of the store brought it back."""
    former, current = Vm(reactor, format_number=1), Vm(reactor, format_number=2)
    former.read(12, configuration_row(2, 9))
    former.relay_to(current)
    current.read(12, configuration_row(2, 9))
    former.relay_to(current)
    assert current.orders.configuration is not None
    assert current.orders.rows.live_keys() == [CONFIGURATION_KEY]


def test_a_row_that_changed_between_two_pages_is_requested(reactor):
    """The version of a row on the second page hid a change on the first."""
    behind, ahead = Vm(reactor), Vm(reactor)
    config, other = configuration_row(1, 5), TableRow("z", b"", 9)
    behind.read(6, config, other)
    ahead.read(10, configuration_row(1, 8), other, at=1.0)
    ahead.relay_to(behind)
    configuration = behind.orders.configuration
    assert configuration is not None
    assert configuration.version == 8


def test_a_wait_that_ends_during_a_suspension_confirms_nothing(reactor):
    """Timers run before the first statement notices the suspension."""
    vm = Vm(reactor)
    vm.read(5, configuration_row(1, 5))
    vm.orders.record_turn()
    vm.suspend(3.0)
    assert not vm.orders.is_confirmed()
    fired = []
    vm.orders.when_confirmed().addCallback(fired.append)
    vm.suspend(5.0)
    reactor.advance(0.0)
    assert fired == []


def test_a_start_that_is_suspended_is_confirmed_by_later_rows_only(reactor):
    """A copy of before the suspension arrived after it."""
    vm = Vm(reactor)
    reactor.advance(0.2)
    vm.read(5, configuration_row(1, 5), at=-1.0)
    vm.suspend(10.0)
    assert vm.orders.configuration is None
    vm.read(6, configuration_row(1, 6), at=0.3)
    assert vm.orders.configuration is None
