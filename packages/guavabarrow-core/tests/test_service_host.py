"""Tests which VM hosts a service, and when an unresponsive host is bypassed."""

from __future__ import annotations

import pytest

from guavabarrow_core.fleet_state import MemberRow
from guavabarrow_core.peer_topology import hubs_by_domain
from guavabarrow_core.service_host import (
    BYPASS_S,
    DELAY_PERIOD_S,
    LATE_CHECK_S,
    LATE_LIMIT,
    PING_TIMEOUT_S,
    SILENCE_S,
    HostCheck,
    HostSelection,
    HostWatch,
    MessageDelay,
)
from guavabarrow_core.session_configuration import ServiceLimits

SERVICES = tuple(f"service-{number}" for number in range(40))


def plan_for(vm: str, per_domain: int, connections: int, away=()) -> HostSelection:
    """Return the plan of a VM in three domains, each with two large VMs."""
    members = {
        name: MemberRow(name, domain, "h", 1, "i", cpu_cores=2.0 if number < 2 else 0.5)
        for domain in ("east", "north", "west")
        for number in range(per_domain)
        if (name := f"{domain}-{number:02}")
    }
    plan = HostSelection(vm, vm.split("-")[0], lambda name: name not in away)
    plan.set_members(members, hubs_by_domain(members))
    plan.configure({name: ServiceLimits(connections) for name in SERVICES})
    return plan


@pytest.mark.parametrize(
    ("per_domain", "connections", "is_hosted"),
    [(3, 20, False), (4, 20, True), (20, 56, True), (20, 122, False), (1, 5, True)],
)
def test_only_scarce_connections_make_a_service_hosted(
    per_domain, connections, is_hosted
):
    """Load: VMs whose share is below two connections open one for each operation."""
    plan = plan_for("east-02", per_domain, connections)
    assert plan.is_hosted(SERVICES[0]) is is_hosted
    assert plan.host_count(SERVICES[0]) == (3 if is_hosted else 0)
    assert is_hosted or plan.select(SERVICES[0]) == "east-02"


def test_all_vms_of_a_domain_select_one_large_vm_and_services_are_spread():
    """Load: a small VM, or one large VM for all services, would be saturated."""
    hosts = {}
    for vm in ("east-00", "east-02", "east-19"):
        plan = plan_for(vm, 20, 56)
        hosts[vm] = [plan.select(service) for service in SERVICES]
    assert hosts["east-00"] == hosts["east-02"] == hosts["east-19"]
    assert set(hosts["east-02"]) == {"east-00", "east-01"}


def test_a_candidate_that_leaves_or_is_bypassed_is_replaced_by_the_next():
    """Failure: the host is lost; without candidates each VM runs its statements."""
    service = SERVICES[0]
    first, second = plan_for("east-02", 20, 56).ranking(service)
    assert plan_for("east-02", 20, 56, away={first}).select(service) == second
    plan = plan_for("east-02", 20, 56)
    assert plan.select(service, lambda vm: vm == first) == second
    gone = plan_for("east-02", 20, 56, away={first, second})
    assert gone.select(service) == "east-02"
    assert not gone.is_host(service)
    assert plan_for(second, 20, 56, away={first}).is_host(service)
    assert not plan_for(second, 20, 56).is_host(service)


def test_a_vm_that_serves_others_counts_as_host():
    """Failure: others bypass a host that this VM still reaches."""
    plan = plan_for("east-02", 20, 56)
    plan.acting.add(SERVICES[0])
    assert plan.is_host(SERVICES[0])


def silent_watch() -> HostWatch:
    watch = HostWatch()
    watch.record_heard(5.0)
    watch.begin(10.0)
    assert watch.check(10.0 + SILENCE_S) is HostCheck.PING
    return watch


def test_a_silent_host_is_bypassed_until_the_time_is_over_and_it_is_heard():
    """Failure: a host is frozen; after 2 s it must not cost further statements."""
    watch = silent_watch()
    bypassed_at = 10.0 + SILENCE_S + PING_TIMEOUT_S
    assert watch.check(bypassed_at - 0.01) is HostCheck.NOTHING
    assert watch.check(bypassed_at) is HostCheck.BYPASS
    assert watch.is_bypassed(bypassed_at + BYPASS_S + 5.0)
    watch.record_heard(bypassed_at + 1.0)
    assert watch.is_bypassed(bypassed_at + BYPASS_S - 0.01)
    assert not watch.is_bypassed(bypassed_at + BYPASS_S)


def test_any_message_after_the_ping_keeps_the_host():
    """Load: a statement waits in the host's queue for longer than the silence."""
    watch = silent_watch()
    watch.record_heard(10.2)
    assert watch.check(10.2 + SILENCE_S - 0.01) is HostCheck.NOTHING
    assert watch.check(10.2 + SILENCE_S) is HostCheck.PING


def test_silence_counts_only_while_statements_are_pending():
    """A host that was idle for long isn't pinged with the first statement."""
    watch = HostWatch()
    watch.record_heard(1.0)
    watch.begin(100.0)
    assert watch.check(100.0 + SILENCE_S / 2) is HostCheck.NOTHING
    watch.end()
    assert watch.check(200.0) is HostCheck.NOTHING


def test_a_vm_that_was_suspended_itself_does_not_bypass_its_host():
    """Failure: this VM freezes between the ping and the check; the answer is unread."""
    watch = silent_watch()
    late = 10.0 + SILENCE_S + PING_TIMEOUT_S + LATE_CHECK_S + 3.0
    assert watch.check(late) is HostCheck.NOTHING
    assert watch.check(late + SILENCE_S) is HostCheck.PING


def test_a_host_that_answers_pings_only_is_bypassed():
    """Failure: heartbeats pass, but statements get no answer by their deadlines."""
    watch = HostWatch()
    for number in range(LATE_LIMIT - 1):
        assert not watch.record_late(float(number))
    watch.record_answer()
    results = [watch.record_late(20.0 + number) for number in range(LATE_LIMIT)]
    assert results == [False] * (LATE_LIMIT - 1) + [True]
    assert watch.is_bypassed(20.0 + LATE_LIMIT)


def test_the_delay_of_a_message_follows_slowly_drifting_clocks():
    """Failure: a host resumes; clocks that drifted for an hour must not look late."""
    delay = MessageDelay()
    drift = 1e-4
    for second in range(3600):
        sent_at = second * (1.0 - drift)
        assert delay.excess_s(sent_at=sent_at, now=second) < 3 * DELAY_PERIOD_S * drift
    assert delay.excess_s(sent_at=3600 * (1.0 - drift), now=3602.0) > 1.9
