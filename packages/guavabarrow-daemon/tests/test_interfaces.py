"""Tests that the implementations for both protocols share their base classes."""

from __future__ import annotations

import pytest

from guavabarrow_daemon.caller_api import CallerApi
from guavabarrow_daemon.front.hosted_runner import HostedRunner
from guavabarrow_daemon.front.interface import CallerFront
from guavabarrow_daemon.front.session_front import SessionFront
from guavabarrow_daemon.front.session_router import SessionRouter
from guavabarrow_daemon.front.statement_runner import StatementRunner
from guavabarrow_daemon.targets.http_driver import (
    HttpTargetConnection,
    HttpTargetDriver,
)
from guavabarrow_daemon.targets.interface import TargetConnection, TargetDriver
from guavabarrow_daemon.targets.session_connection import SessionConnection
from guavabarrow_daemon.targets.session_driver import SessionDriver


@pytest.mark.parametrize("front", [CallerApi, SessionFront])
def test_fronts_implement_the_interface(front):
    assert issubclass(front, CallerFront)
    assert not front.__abstractmethods__


@pytest.mark.parametrize("runner", [SessionRouter, HostedRunner])
def test_runners_implement_the_interface(runner):
    assert issubclass(runner, StatementRunner)
    assert not runner.__abstractmethods__


@pytest.mark.parametrize("driver", [HttpTargetDriver, SessionDriver])
def test_drivers_implement_the_interface(driver):
    assert issubclass(driver, TargetDriver)
    assert not driver.__abstractmethods__


@pytest.mark.parametrize("connection", [HttpTargetConnection, SessionConnection])
def test_connections_implement_the_interface(connection):
    assert issubclass(connection, TargetConnection)
    assert not connection.__abstractmethods__
