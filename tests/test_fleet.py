"""Tests of the fleet guarantees on real processes."""

from __future__ import annotations

import json
import threading
import time

import pytest
from harness.caller import SERVICE, Caller
from harness.process_fleet import post, request, wait_until
from harness.world import DOMAINS, KILIMA, MTO
from pytest_bdd import given, parsers, scenarios, then, when

from guavabarrow_cli.admin_client import AdminRequestFailed
from guavabarrow_cli.embedded_fleet import LayoutTeam
from guavabarrow_core.fleet import DomainState, TargetState, Template, hash_key
from guavabarrow_core.fleet_change import (
    GiveKey,
    PutTemplate,
    SetDomainState,
    SetTargetState,
    WithdrawKey,
)
from guavabarrow_core.history import check_rate

scenarios("features/fleet.feature")

PROPAGATION_LIMIT_S = 4.0
DRAINED_DOMAIN = DOMAINS[0]


@given(parsers.re(r"a fleet of (?P<count>\d) VMs$"))
def _(world, count):
    domains = DOMAINS * (int(count) // 3)
    world.start(vm_domains=domains, drain={"notice_ms": 500, "limit_ms": 10000})


@given(
    parsers.parse(
        "a fleet of {count:d} VMs with a team of rate {rate:d} and burst {burst:d}"
    )
)
def _(world, count, rate, burst):
    team = LayoutTeam("pwani", (SERVICE,), rate_per_s=rate, burst=burst)
    world.state["team"] = team
    world.start(vm_domains=DOMAINS * (count // 3), teams=(KILIMA, MTO, team))


@given("a workload at all VMs")
@given("a workload at all VMs whose sessions switch VMs")
def _(world):
    world.start_workload()
    world.wait_acknowledged(20)


@given("a workload at the VMs of the other domains")
def _(world):
    fleet = world.fleet
    ports = [
        fleet.port_by_name[vm]
        for vm in fleet.vms
        if fleet.domain_by_node[vm] != DRAINED_DOMAIN
    ]
    world.start_workload(ports=ports)
    world.wait_acknowledged(20)


# Keys -----------------------------------------------------------------------


@when(
    "a caller is connected with an open transaction and its key is withdrawn "
    "at another VM"
)
def _(world):
    second = "key-second-0123456789"
    admin = world.fleet.admin("vm-2")
    admin.change([GiveKey("kilima", "second", hash_key(second))], author="test")
    caller = world.caller()
    transaction = caller.begin()
    assert caller.execute(transaction, "INSERT INTO entry VALUES ('uncommitted')").ok
    report = admin.change([WithdrawKey("kilima", "first")], author="test")
    world.state.update(
        caller=caller, transaction=transaction, second=second, report=report
    )


@then("within 4 s every VM rejects the key and the transaction left no row")
def _(world):
    report = world.state["report"]
    assert report.missing == []
    assert report.seconds <= PROPAGATION_LIMIT_S
    caller = world.state["caller"]
    response = caller.execute(world.state["transaction"], "SELECT 1")
    assert (response.status, response.body["ran"]) == (401, "not_run")
    for vm_index in range(len(world.ports)):
        caller.switch_vm(vm_index)
        assert caller.read("SELECT 1").status == 401


@then("the other key of the team still works")
def _(world):
    caller = Caller(world.ports, world.state["second"])
    assert wait_until(
        lambda: caller.read("SELECT row FROM entry").body.get("rows") == [],
        "the transaction is rolled back",
    )
    assert caller.write("INSERT INTO entry VALUES ('second')").ok


# Configuration --------------------------------------------------------------


def _template(name: str) -> PutTemplate:
    return PutTemplate(Template(name, rate_per_s=7.0))


@when("the response of the store to a change is lost")
def _(world):
    world.state["version_before"] = world.fleet.status("vm-1").version
    world.fleet.set_platform_faults(lost_answers=2)
    world.state["report"] = world.fleet.admin("vm-1").change(
        [_template("new")], author="test", operation_id="lost"
    )


@then("the change is accepted once and applied at every VM")
def _(world):
    report = world.state["report"]
    assert report.version == world.state["version_before"] + 1
    assert report.missing == []
    retried = world.fleet.admin("vm-2").change(
        [_template("new")], author="test", operation_id="lost"
    )
    assert retried.version == report.version
    for vm in world.fleet.vms:
        fleet = world.fleet.admin(vm).fleet()
        assert fleet.version == report.version
        assert fleet.templates["new"].rate_per_s == 7.0


@when("two operators change the same version at different VMs")
def _(world):
    base = world.fleet.status("vm-1").version
    outcomes = {}

    def change(vm, name):
        try:
            outcomes[name] = world.fleet.admin(vm).change(
                [_template(name)], author=name, base_version=base
            )
        except AdminRequestFailed as error:
            outcomes[name] = error

    threads = [
        threading.Thread(target=change, args=arguments)
        for arguments in (("vm-1", "amina"), ("vm-2", "baraka"))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    world.state.update(outcomes=outcomes, base=base)


@then("one change is accepted, the other gets a conflict and can be retried")
def _(world):
    outcomes = world.state["outcomes"]
    rejected = {n: o for n, o in outcomes.items() if isinstance(o, AdminRequestFailed)}
    assert [error.code for error in rejected.values()] == ["conflict"]
    (rejected_name,) = rejected
    world.fleet.admin("vm-3").change(
        [_template(rejected_name)],
        author=rejected_name,
        base_version=world.state["base"] + 1,
    )
    for vm in world.fleet.vms:
        fleet = world.fleet.admin(vm).fleet()
        assert fleet.version == world.state["base"] + 2
        assert {"amina", "baraka"} <= set(fleet.templates)


@when("the store goes down and vm-1 is killed and restarted")
def _(world):
    world.fleet.admin("vm-2").change([_template("new")], author="test")
    world.fleet.set_platform_faults(down=True)
    world.fleet.kill("vm-1")
    world.fleet.restart("vm-1")


@then("vm-1 serves with the version of its peers")
def _(world):
    version = world.fleet.status("vm-2").version
    wait_until(
        lambda: world.fleet.status("vm-1").version == version, "vm-1 has the version"
    )
    caller = Caller([world.fleet.port_by_name["vm-1"]], KILIMA.key)
    wait_until(lambda: caller.read("SELECT 1").ok, "vm-1 serves")


@when("the store goes down and an operator makes a change")
def _(world):
    world.state["version_before"] = world.fleet.status("vm-1").version
    world.fleet.set_platform_faults(down=True)
    with pytest.raises(AdminRequestFailed) as error_info:
        world.fleet.admin("vm-1").change(
            [_template("new")], author="test", operation_id="later"
        )
    world.state["error"] = error_info.value


@then("the change is rejected, the version is kept and a retry is accepted later")
def _(world):
    assert world.state["error"].code == "not_accepted"
    versions = {world.fleet.status(vm).version for vm in world.fleet.vms}
    assert versions == {world.state["version_before"]}
    world.fleet.set_platform_faults(down=False)
    report = world.fleet.admin("vm-1").change(
        [_template("new")], author="test", operation_id="later"
    )
    assert report.version == world.state["version_before"] + 1
    assert report.missing == []


# Rates ----------------------------------------------------------------------


def _send_requests(world, *, rate, duration_s, ports, action=None):
    """Send at a rate (requests/s) from one thread per VM; record the results."""
    team = world.state["team"]
    admitted, rejected = [], []
    end_at = time.monotonic() + duration_s

    def run(port):
        caller = Caller([port], team.key, deadline_s=2.0)
        interval_s = len(ports) / rate
        due_at = time.monotonic()
        while due_at < end_at:
            time.sleep(max(0.0, due_at - time.monotonic()))
            due_at += interval_s
            sent_at = time.monotonic()
            response = caller.read("SELECT 1")
            if response.ok:
                admitted.append((sent_at, time.monotonic()))
            elif response.status:
                rejected.append(response)

    threads = [threading.Thread(target=run, args=(port,)) for port in ports]
    for thread in threads:
        thread.start()
    if action is not None:
        action()
    for thread in threads:
        thread.join()
    world.state.update(admitted=admitted, rejected=rejected, duration_s=duration_s)


@when(parsers.parse("the team sends 5 times its rate at all VMs for {duration:d} s"))
def _(world, duration):
    rate = world.state["team"].rate_per_s * 5
    _send_requests(world, rate=rate, duration_s=float(duration), ports=world.ports)


@when("the team sends 5 times its rate and the ledger holder of a domain is killed")
def _(world):
    def kill_holder():
        time.sleep(1.0)
        world.fleet.kill(world.fleet.holder(DOMAINS[0]))

    rate = world.state["team"].rate_per_s * 5
    _send_requests(
        world, rate=rate, duration_s=7.0, ports=world.ports, action=kill_holder
    )


@when(
    "the team sends 5 times its rate and the ledger holder of a domain is frozen "
    "and resumes"
)
def _(world):
    def freeze_holder():
        time.sleep(1.0)
        holder = world.fleet.holder(DOMAINS[0])
        world.fleet.freeze(holder)
        other = next(vm for vm in world.fleet.vms if vm != holder)
        wait_until(
            lambda: world.fleet.holder(DOMAINS[0], other) != holder,
            "another VM is ledger holder",
        )
        time.sleep(1.5)
        world.fleet.resume(holder)

    rate = world.state["team"].rate_per_s * 5
    _send_requests(
        world, rate=rate, duration_s=9.0, ports=world.ports, action=freeze_holder
    )


@when("the store is down for 4 s while the team sends 5 times its rate")
def _(world):
    def stop_store():
        time.sleep(0.5)
        world.fleet.set_platform_faults(down=True)
        time.sleep(4.0)
        world.fleet.set_platform_faults(down=False)

    rate = world.state["team"].rate_per_s * 5
    _send_requests(
        world, rate=rate, duration_s=6.0, ports=world.ports, action=stop_store
    )


@when("the team sends 80% of its rate at one VM for 4 s")
def _(world):
    rate = world.state["team"].rate_per_s * 0.8
    _send_requests(world, rate=rate, duration_s=4.0, ports=world.ports[:1])


@then("no window exceeds rate and burst")
def _(world):
    team = world.state["team"]
    assert world.state["rejected"]
    violations = check_rate(
        world.state["admitted"], rate_per_s=team.rate_per_s, burst=team.burst
    )
    assert violations == []


@then(parsers.parse("at least {share:d}% of the rate was used"))
def _(world, share):
    allowed = world.state["team"].rate_per_s * world.state["duration_s"]
    assert len(world.state["admitted"]) >= allowed * share / 100


@then("no request of the team was rejected")
def _(world):
    assert world.state["rejected"] == []


# Drain ----------------------------------------------------------------------


@when("the domain is taken out of service and 4 s pass")
def _(world):
    state = DomainState.OUT_OF_SERVICE
    report = world.fleet.admin("vm-2").change(
        [SetDomainState(DRAINED_DOMAIN, state)], author="test"
    )
    assert report.missing == []
    time.sleep(PROPAGATION_LIMIT_S)


def _domain_vms(world):
    return [
        vm for vm in world.fleet.vms if world.fleet.domain_by_node[vm] == DRAINED_DOMAIN
    ]


@then("its VMs are not ready and reject new work as not run")
def _(world):
    for vm in _domain_vms(world):
        port = world.fleet.port_by_name[vm]
        assert request(port, "GET", "/readyz")[0] == 503
        response = Caller([port], KILIMA.key).write("INSERT INTO entry VALUES ('no')")
        assert (response.body["code"], response.body["ran"]) == ("draining", "not_run")


def _count_statements(world, databases):
    total = 0
    for database in databases:
        recorded = post(world.fleet.port_by_name[database], "/recorded", {})
        total += sum("/execute" in text[:10] for text in recorded["requests"])
    return total


@then("its databases get no statement while 20 more writes are acknowledged")
def _(world):
    databases = [
        name
        for name in world.fleet.databases
        if world.fleet.domain_by_node[name] == DRAINED_DOMAIN
    ]
    before = _count_statements(world, databases)
    assert before > 0
    world.wait_acknowledged(20)
    assert _count_statements(world, databases) == before


@then("no request in the other domains was rejected")
@then("no request was rejected")
def _(world):
    workload = world.end_workload()
    assert workload.failures == []
    assert workload.history.check(world.rows()) == []


@when("the domain is put back into service")
def _(world):
    state = DomainState.IN_SERVICE
    world.fleet.admin("vm-2").change(
        [SetDomainState(DRAINED_DOMAIN, state)], author="test"
    )


@then("its VMs serve again")
def _(world):
    for vm in _domain_vms(world):
        port = world.fleet.port_by_name[vm]
        wait_until(lambda port=port: request(port, "GET", "/readyz")[0] == 200, vm)
        assert Caller([port], KILIMA.key).write("INSERT INTO entry VALUES ('y')").ok


@when("the primary is marked as leaving and 4 s pass")
def _(world):
    primary = world.fleet.primary(SERVICE)
    world.state["leaving"] = primary
    change = SetTargetState(SERVICE, primary, TargetState.LEAVING)
    assert world.fleet.admin("vm-2").change([change], author="test").missing == []
    time.sleep(PROPAGATION_LIMIT_S)


@then("it gets no statement while 20 more writes are acknowledged")
def _(world):
    databases = [world.state["leaving"]]
    before = _count_statements(world, databases)
    assert before > 0
    world.wait_acknowledged(20)
    assert _count_statements(world, databases) == before


@when("vm-1 gets SIGTERM")
def _(world):
    world.state["status"] = world.fleet.terminate("vm-1")


@then("it exits with status 0 and no request was aborted")
def _(world):
    assert world.state["status"] == 0
    workload = world.end_workload()
    aborted = [w for w in workload.history.writes if w.ran.value == "outcome_unknown"]
    assert aborted == []
    assert {response.body["code"] for response in workload.failures} <= {"draining"}
    assert workload.history.check(world.rows()) == []


# Partitions -----------------------------------------------------------------


@when("a domain without a primary is partitioned from the others and the platform")
def _(world):
    primary = world.fleet.primary(SERVICE)
    domain = next(d for d in DOMAINS if d != world.fleet.domain_by_node[primary])
    nodes = [n for n, d in world.fleet.domain_by_node.items() if d == domain]
    world.state.update(domain=domain, nodes=nodes)
    assert world.caller().write("INSERT INTO entry VALUES ('before')").ok
    # Two databases acknowledge a write; the third may still lack it, and its table.
    wait_until(lambda: _have_equal_logs(world, SERVICE), "all databases have the write")
    world.fleet.isolate(*nodes)


def _have_equal_logs(world, service):
    targets = world.fleet.group(world.fleet.vms[0], service).targets
    return len({(target.term, target.index) for target in targets}) == 1


def _isolated_callers(world):
    return [
        Caller([world.fleet.port_by_name[n]], KILIMA.key, deadline_s=3.0)
        for n in world.state["nodes"]
        if n.startswith("vm-")
    ]


@when("the ledger holder of the isolated domain is killed")
def _(world):
    observer = next(n for n in world.state["nodes"] if n.startswith("vm-"))
    holder = world.fleet.holder(world.state["domain"], observer)
    world.state["nodes"].remove(holder)
    world.fleet.kill(holder)
    survivor = next(n for n in world.state["nodes"] if n.startswith("vm-"))
    wait_until(
        lambda: world.fleet.status(survivor).is_ledger_holder,
        f"{survivor} is ledger holder",
    )


@then(
    parsers.parse(
        "its VMs still serve reads with a maximum age of {age:d} s from its database"
    )
)
def _(world, age):
    for caller in _isolated_callers(world):
        response = caller.read("SELECT row FROM entry", max_age_ms=age * 1000)
        assert response.ok, response
        assert response.body["source"] == "replica"


@then("its VMs reject writes as not run")
def _(world):
    for caller in _isolated_callers(world):
        response = caller.write("INSERT INTO entry VALUES ('inside')")
        assert response.body["ran"] == "not_run", response


@then("the other domains acknowledge writes")
def _(world):
    other_vms = [vm for vm in world.fleet.vms if vm not in world.state["nodes"]]
    for vm in other_vms:
        caller = Caller([world.fleet.port_by_name[vm]], KILIMA.key)
        assert caller.write("INSERT INTO entry VALUES (?)", vm).ok
    world.fleet.isolate(*world.state["nodes"], isolated=False)
    assert sorted(world.rows()) == sorted(["before", *other_vms])


@when("vm-1 is frozen for 4 s and resumes")
def _(world):
    world.fleet.freeze("vm-1")
    time.sleep(4.0)
    world.fleet.resume("vm-1")
    wait_until(lambda: world.fleet.status("vm-1"), "vm-1 responds")
    time.sleep(1.0)


@then("vm-1 never marked another VM as dead")
def _(world):
    log = (world.directory / "vm-1.log").read_text()
    events = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
    lost = [event for event in events if event["event"] == "member_lost"]
    assert lost == []


# Restarts and connection limits ----------------------------------------------


@when("vm-1 gets SIGTERM while a caller has a transaction open")
def _(world):
    caller = world.caller()
    transaction = caller.begin()
    assert caller.execute(transaction, "INSERT INTO entry VALUES ('kept')").ok
    process = world.fleet.process_by_name["vm-1"]
    process.terminate()
    port = world.fleet.port_by_name["vm-1"]
    wait_until(lambda: request(port, "GET", "/readyz")[0] == 503, "not ready")
    time.sleep(1.0)
    caller.close()
    world.state["commit"] = caller.commit(transaction)
    world.state["status"] = process.wait(timeout=30)
    del world.fleet.process_by_name["vm-1"]


@then("the transaction can be committed and vm-1 exits with status 0")
def _(world):
    assert world.state["commit"].ok, world.state["commit"]
    assert world.state["status"] == 0
    assert world.rows() == ["kept"]


@when("each VM is killed and restarted in turn")
def _(world):
    for vm in world.fleet.vms:
        world.fleet.kill(vm)
        world.wait_acknowledged(10)
        world.fleet.restart(vm)
        port = world.fleet.port_by_name[vm]
        wait_until(lambda port=port: request(port, "GET", "/readyz")[0] == 200, vm)
    world.wait_acknowledged(10)


@then("no acknowledged write was lost and none ran twice")
def _(world):
    workload = world.end_workload()
    assert workload.history.check(world.rows()) == []


@given("a fleet of 3 VMs and databases with 6 connections")
def _(world):
    world.start(connections=6)


@when("100 more writes are acknowledged")
def _(world):
    world.wait_acknowledged(100)


@then("no database had more than 6 connections and no request was rejected")
def _(world):
    workload = world.end_workload()
    for database in world.fleet.databases:
        recorded = post(world.fleet.port_by_name[database], "/recorded", {})
        assert recorded["max_sessions"] <= 6
    assert workload.failures == []
    assert workload.history.check(world.rows()) == []


@pytest.mark.parametrize("ends_with_commit", [False, True])
def test_a_statement_near_the_end_of_a_drain_is_answered(world, ends_with_commit):
    """Open transactions ran on until the drain was cut short, and the last one with it.

    The caller saw a broken connection.
    """
    world.start(drain={"notice_ms": 300, "limit_ms": 1500})
    caller = world.caller()
    transaction = caller.begin()
    assert caller.execute(transaction, "INSERT INTO entry VALUES ('late')").ok
    for database in world.fleet.databases:
        world.fleet.set_database_faults(database, answer_delay_ms=5000.0)
    stop = threading.Thread(target=world.fleet.terminate, args=("vm-1",))
    stop.start()
    time.sleep(0.8)
    if ends_with_commit:
        response = caller.commit(transaction)
    else:
        response = caller.execute(transaction, "INSERT INTO entry VALUES ('later')")
    stop.join()
    assert response.status != 0, response
    assert not response.ok
