"""Sharing of targets' limits between service hosts, and what counts as an answer."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest
from sim_fleet import DOMAINS, SimFleet
from sim_platform import SERVICE
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from guavabarrow_core.response_baseline import WorkClass, WorkKind
from guavabarrow_core.service_host import HostPlan
from guavabarrow_core.session_messages import (
    Completed,
    FailureCode,
    Reply,
    SessionReady,
    StatementFailed,
    TransactionState,
)
from guavabarrow_core.target_pace import MAX_LIMIT, PaceSample
from guavabarrow_daemon.fleet import pace_service
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_messages import PeerHeartbeat, SharedPace
from guavabarrow_daemon.fleet.pace_service import PaceService
from guavabarrow_daemon.front.target_exchange import TargetExchange
from guavabarrow_daemon.kernel import Kernel
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.targets.session_connection import SessionConnection
from guavabarrow_daemon.targets.session_pool import SessionPool

TARGET, HOSTS = "target-north", [f"{domain}-0" for domain in DOMAINS]
WRITE = WorkClass(WorkKind.WRITE, 0.4)


def host_service(fleet: SimFleet) -> dict[str, SessionPool]:
    """Make one VM of each domain a host, and return their pools of one target."""
    pool_by_vm = {}
    for name, vm in fleet.vm_by_name.items():
        directory = vm.kernel.find(DirectoryService)
        plan = HostPlan(True, name in HOSTS, 3)
        directory.host_plan_of = lambda service, plan=plan: plan
        if name in HOSTS:
            pool_by_vm[name] = directory.pool(directory.entry(TARGET))
            pool_by_vm[name].window.pace.limit = 9.0
    return pool_by_vm


def run_under_load(fleet: SimFleet, pool_by_vm: dict, duration_s: float) -> None:
    """Advance time while each host runs about two statements at a time."""
    for _ in range(round(duration_s / 0.1)):
        fleet.run(0.1)
        for pool in pool_by_vm.values():
            for _ in range(10):
                sample = PaceSample(WRITE, 0.02, fleet.network.now, 2)
                pool.window.on_answer(0.02, sample)


def test_a_registration_with_a_giant_capacity_stops_no_host(monkeypatch):
    """Hosts divided the registered slots one by one, and did nothing else any more."""
    fleet = SimFleet(monkeypatch)
    fleet.wait_until_serving()
    host_service(fleet)
    pool_by_vm = {}
    for name in HOSTS:
        directory = fleet.vm_by_name[name].kernel.find(DirectoryService)
        odd = replace(directory.entry(TARGET), born_ms=1, slots=2**63 - 1)
        pool_by_vm[name] = directory.pool(odd)
    run_under_load(fleet, pool_by_vm, 2.0)
    assert sum(pool.window.size for pool in pool_by_vm.values()) <= MAX_LIMIT + 3.0


@pytest.mark.parametrize("limit", [2.0**63, float("inf"), float("nan"), -1.0])
def test_a_limit_that_no_target_has_stops_no_peer(monkeypatch, limit):
    """Peers of a host divided the limit that it published one by one, or raised."""
    fleet = SimFleet(monkeypatch)
    fleet.wait_until_serving()
    pool_by_vm = host_service(fleet)
    run_under_load(fleet, pool_by_vm, 2.0)
    odd = PeerHeartbeat(paces={TARGET: SharedPace(limit, limit, limit)})
    for name in ("north-0", "west-0"):
        vm = fleet.vm_by_name[name]
        vm.kernel.find(PaceService)._on_heartbeat("east-0", odd)
        assert 1.0 <= pool_by_vm[name].window.size <= MAX_LIMIT


@pytest.mark.parametrize("drops_old", [True, False])
def test_hosts_share_a_limit_until_one_is_cut_off(monkeypatch, drops_old):
    """Failure: one of three domains is cut off; the others divide its part."""
    fleet = SimFleet(monkeypatch)
    fleet.wait_until_serving()
    fleet.run(3.0)
    pool_by_vm = host_service(fleet)
    run_under_load(fleet, pool_by_vm, 3.0)
    assert [pool.window.size for pool in pool_by_vm.values()] == [3.0, 3.0, 3.0]
    if not drops_old:
        monkeypatch.setattr("guavabarrow_core.pace_share.MAX_DIGEST_AGE_S", 1e9)
    fleet.isolate_domain("west")
    run_under_load(fleet, pool_by_vm, 3.0)
    sizes = {name: pool.window.size for name, pool in pool_by_vm.items()}
    assert (sizes["east-0"] + sizes["north-0"] >= 8.0) is drops_old
    assert (sizes["west-0"] >= 8.0) is drops_old
    fleet.heal()
    run_under_load(fleet, pool_by_vm, 4.0)
    assert sum(pool.window.size for pool in pool_by_vm.values()) <= 9.0 + 3.0


def test_a_vm_that_is_not_the_host_runs_one_statement_and_publishes_nothing(
    monkeypatch,
):
    """Failure: a VM that reaches no host runs statements of a hosted service itself."""
    fleet = SimFleet(monkeypatch)
    fleet.wait_until_serving()
    pool_by_vm = host_service(fleet)
    directory = fleet.vm_by_name["east-1"].kernel.find(DirectoryService)
    pool = directory.pool(directory.entry(TARGET))
    run_under_load(fleet, {**pool_by_vm, "east-1": pool}, 2.0)
    assert pool.window.size == 1.0
    peers = fleet.vm_by_name["north-0"].kernel.find(PaceService).peers
    assert set(peers.of_target(TARGET, fleet.network.now)) == {"east-0", "west-0"}


def test_nothing_is_published_where_no_service_is_hosted(monkeypatch):
    """Load: heartbeats of other configurations stay as they are."""
    published = []
    monkeypatch.setattr(pace_service, "SharedPace", lambda *a: published.append(a))
    fleet = SimFleet(monkeypatch)
    fleet.wait_until_serving()
    for vm in fleet.vm_by_name.values():
        directory = vm.kernel.find(DirectoryService)
        directory.pool(directory.entry(TARGET))
    fleet.run(8.0)
    assert not published
    paces = fleet.vm_by_name["east-0"].kernel.find(PaceService)
    assert not paces._has_published


class FakePool(SessionPool):
    """Pool that only counts and learns."""

    def __init__(self) -> None:
        self.entry = SimpleNamespace(target_id="t1", slots=5)
        self.window = self.load = None
        self.running_count = 0
        self.set_paced(True)

    def set_paced(self, is_paced: bool) -> None:
        self.load = SimpleNamespace(running=0)
        super().set_paced(is_paced)

    def end_statement(self) -> None:
        self.running_count -= 1

    def release(self, connection) -> None:
        pass


class FakeConnection(SessionConnection):
    def __init__(self, code: FailureCode | None) -> None:
        self.code = code
        self.state = TransactionState.IDLE

    def send(self, data, setup_count, now):
        outcome = Completed() if self.code is None else StatementFailed(self.code)
        return succeed(Reply((), outcome, SessionReady(TransactionState.IDLE)))


@pytest.mark.parametrize(
    ("code", "setup_only", "counts", "fails"),
    [
        (None, False, True, False),
        (None, True, False, False),
        (FailureCode.BEHIND, False, False, False),
        (FailureCode.FAILED, False, False, True),
    ],
)
def test_only_answers_to_statements_count(monkeypatch, code, setup_only, counts, fails):
    """Load: BEGIN is fast, and a replica that lags says so at once."""
    exchange = TargetExchange.__new__(TargetExchange)
    exchange.on_sent = []
    exchange._reactor = Clock()
    exchange._metrics = SessionMetrics(Kernel())
    exchange._primary_service = SimpleNamespace(known_end=lambda *arguments: None)
    pool = FakePool()
    context = SimpleNamespace(
        deadline=1e12, route=SimpleNamespace(objective_s=0.4, service=SERVICE)
    )
    run = exchange.run(
        context, FakeConnection(code), pool, b"", 0, setup_only=setup_only
    )
    results: list = []
    Deferred.fromCoroutine(run).addBoth(results.append)
    assert isinstance(results[0], Reply)
    assert bool(pool.window.pace._baseline_by_work) is counts
    assert (pool.load.health.fraction(0.0) > 0) is fails
