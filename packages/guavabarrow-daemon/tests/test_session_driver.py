"""Attempts to connect to addresses of entries that another writer made."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectError, DNSLookupError
from twisted.internet.task import Clock

from guavabarrow_core.session_messages import OpenSession
from guavabarrow_daemon.targets import session_driver
from guavabarrow_daemon.targets.interface import TargetUnreachable
from guavabarrow_daemon.targets.session_driver import SessionDriver


@pytest.mark.parametrize(
    "error",
    [
        ConnectError(),
        DNSLookupError("no such host"),
        OverflowError("port must be 0-65535"),
    ],
)
def test_an_address_without_a_machine_is_unreachable(monkeypatch, error):
    """Names and ports out of range raised errors that the callers don't expect."""
    monkeypatch.setattr(
        session_driver, "connectProtocol", lambda endpoint, protocol: fail(error)
    )
    driver = SessionDriver(lambda: None, Clock(), open_timeout_s=1.0)
    opening = driver.connect("10.0.0.1", 1, OpenSession("orders", "", "t1"))
    results: list = []
    Deferred.fromCoroutine(opening).addErrback(results.append)
    assert results[0].check(TargetUnreachable)
