"""End-to-end tests of VM processes against stand-ins for the platform."""

from __future__ import annotations

import signal
import time

import pytest
from local_deployment import KEY, OTHER_TEAM, TEAM, Caller, wait_for

from guavabarrow_cli.commands.beliefs_command import beliefs, fetch_local_view

pytestmark = pytest.mark.processes

ROUTE_TIMEOUT_S = 3.0
"""Timeout in s of a statement on the routes of the stand-in configuration."""

CONFIGURATION_LIMIT_S = 5.0
"""Time in s within which deployments require a new configuration to take effect."""


def test_a_session_reads_what_it_wrote_with_the_targets_own_signature(deployment):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "read-your-writes")
    assert caller.greeting.startswith("READY I")
    rows, outcome, ready = caller.execute("WRITE a1 first")
    primary = deployment.group.primary
    assert outcome == f"COMPLETE {primary.target_id}.{caller.last_id}"
    assert ready.startswith("READY I ")
    rows, outcome, _ = caller.execute("READ a1")
    assert rows == ["first"]
    assert outcome.endswith(f".{caller.last_id}")
    ran = [s for s in deployment.group.ran if s.request_id == caller.last_id]
    assert [(s.team, s.text) for s in ran] == [(TEAM, "READ a1")]


def test_targets_receive_no_api_key(deployment):
    vm = deployment.start_vm("vm-1")
    Caller(vm.front, "primary").execute("READ a1")
    assert all(KEY not in f"{s.team} {s.text}" for s in deployment.group.ran)


def test_a_transaction_stays_on_one_connection_and_a_rollback_keeps_nothing(
    deployment,
):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    assert caller.execute("BEGIN")[2].startswith("READY T")
    caller.execute("WRITE t1 kept")
    caller.execute("WRITE t2 kept")
    assert caller.execute("COMMIT")[1].startswith("COMPLETE i-")
    ran = [s for s in deployment.group.ran if "kept" in s.text or s.text == "COMMIT"]
    assert len({s.connection for s in ran}) == 1
    assert all(s.in_transaction for s in ran)
    caller.execute("BEGIN")
    caller.execute("WRITE t1 dropped")
    assert caller.execute("ROLLBACK")[2] == "READY I -"
    assert caller.execute("READ t1")[0] == ["kept"]


def test_shapes_of_several_words_run_as_prepared(deployment):
    vm = deployment.start_vm("vm-1")
    shapes = ["READ orders by day", "READ q2c WRITE q7", "WRITE q7 READ q9f"]
    for number, shape in enumerate(shapes):
        caller = Caller(vm.front, "primary")
        caller.execute(f"PREPARE s1 {shape}")
        _, outcome, _ = caller.execute(f"EXECUTE s1 item-{number} data")
        assert outcome.startswith("COMPLETE ")
        caller.close()
    written = [item for _, item, _ in deployment.group.primary.log]
    assert "item-2" in written
    assert not {"item-0", "item-1"} & set(written)


def test_values_and_prepared_names_follow_their_session(deployment):
    vm = deployment.start_vm("vm-1")
    first, second = Caller(vm.front, "primary"), Caller(vm.front, "primary")
    first.execute("SET lang north")
    first.execute("PREPARE s1 WRITE q1")
    second.execute("SET lang south")
    second.execute("PREPARE s1 READ q2")
    for _ in range(3):
        first.execute("EXECUTE s1 p1 data")
        first_id = first.last_id
        assert second.execute("EXECUTE s1 p1")[0] == ["data"]
        values = {s.request_id: dict(s.values) for s in deployment.group.ran}
        assert values[first_id] == {"lang": "north"}
        assert values[second.last_id] == {"lang": "south"}
    assert first.execute("DEALLOC s1")[1] == "COMPLETE -"
    assert first.execute("EXECUTE s1 p1 x")[1].startswith("ERROR NOSTMT")


def test_no_answer_comes_from_a_primary_that_lost_its_log(deployment):
    """A process that started again under its id read from an empty log."""
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    for number in range(3):
        assert caller.execute(f"WRITE a{number} kept")[1].startswith("COMPLETE")
    with deployment.group.lock:
        deployment.group.primary.log.clear()
    assert caller.execute("READ a1")[1].startswith("ERROR ")
    assert caller.execute("WRITE a9 x")[1].startswith("ERROR INDOUBT")
    assert caller.execute("BEGIN")[1].startswith("COMPLETE")
    assert caller.execute("READ a1")[1].startswith("ERROR ABORTED")
    assert vm.events("primary_log_lost")


def test_session_values_without_bound_are_refused(deployment):
    """They brought VMs over their memory limit, and all sessions there ended."""
    vm = deployment.start_vm("vm-1")
    hostile = Caller(vm.front, "primary")
    outcomes = []
    for number in range(40):
        outcomes.append(hostile.execute(f"SET v{number} {'x' * 250_000}")[1])
        if not outcomes[-1].startswith("COMPLETE"):
            break
    assert outcomes[-1].startswith("ERROR TOOBIG")
    assert hostile.read_line() == "READY I -"
    assert hostile.execute("SET v0 short")[1].startswith("COMPLETE")
    other = Caller(vm.front, "primary")
    assert other.execute("SET lang north")[1].startswith("COMPLETE")
    assert other.execute("READ a1")[1].startswith("COMPLETE")
    wait_for(lambda: vm.events("memory_refused"), "the refusal is logged")


def test_a_caller_that_reads_nothing_does_not_fill_the_memory(deployment):
    """Its statements wait until it has read the answers to the ones before."""
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    item = "x" * 200_000
    assert caller.execute(f"WRITE large {item}")[1].startswith("COMPLETE")
    ran = len(deployment.group.ran)
    for number in range(30):
        caller.send_line(f"QUERY r{number} READ large")
    time.sleep(1.0)
    assert len(deployment.group.ran) - ran < 30
    for _ in range(30):
        assert caller.read_line() == f"DATAROW {item}"
        assert caller.read_line().startswith("COMPLETE")
        assert caller.read_line().startswith("READY")


def test_bad_input_gets_a_coded_error(deployment):
    vm = deployment.start_vm("vm-1")
    assert Caller(vm.front, "nothing").greeting.startswith("ERROR NODB")
    assert Caller(vm.front, "primary", "no-key").greeting.startswith("ERROR NOAUTH")
    caller = Caller(vm.front, "primary")
    assert caller.execute("FETCH everything")[1].startswith("ERROR MALFORMED")
    assert caller.execute("READ a1")[1].startswith("COMPLETE")
    assert caller.execute("EXECUTE unknown a1")[1].startswith("ERROR NOSTMT")
    assert caller.execute("COMMIT")[1].startswith("ERROR MALFORMED")
    caller.send_line("NONSENSE")
    assert caller.read_line().startswith("ERROR MALFORMED")
    assert caller.read_line() == ""
    large = Caller(vm.front, "primary")
    large.send_line("QUERY x WRITE a1 " + "x" * (1024 * 1024 + 10))
    assert large.read_line().startswith("ERROR TOOBIG")


def test_a_withdrawn_key_stops_working_for_a_connected_caller(deployment):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    assert caller.execute("READ a1")[1].startswith("COMPLETE")
    deployment.configure(keys=("another-key",))
    version = deployment.version
    wait_for(
        lambda: any(
            line["version"] == version for line in vm.events("configuration_in_force")
        ),
        "the new version takes effect",
        timeout_s=3.0,
    )
    assert caller.execute("READ a1")[1].startswith("ERROR NOAUTH")
    assert caller.read_line() == ""
    assert Caller(vm.front, "primary", "another-key").greeting.startswith("READY")


def move_key(deployment, vm, *, to_other: bool = True) -> None:
    """Let the other team hold the callers' key, or the first one again."""
    keys = {"keys": (), "other_keys": (KEY,)} if to_other else {}
    deployment.configure(**keys)
    version = deployment.version
    wait_for(
        lambda: any(
            line["version"] == version for line in vm.events("configuration_in_force")
        ),
        "the new version takes effect",
        timeout_s=3.0,
    )


@pytest.mark.parametrize("begin", ["BEGIN", "BEGIN READ"])
@pytest.mark.parametrize("text", ["READ a1", "SET lang north", "COMMIT"])
def test_a_transaction_does_not_go_on_for_the_former_team_of_its_key(
    deployment, begin, text
):
    """It ran, and committed, for the team that no longer held the key."""
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    caller.execute(begin)
    first = "WRITE a1 lost" if begin == "BEGIN" else "READ a1"
    assert caller.execute(first)[1].startswith("COMPLETE")
    ran = len(deployment.group.ran)
    move_key(deployment, vm)
    assert caller.execute(text)[1].startswith("ERROR ABORTED")
    if text != "COMMIT":
        assert caller.execute("ROLLBACK")[1].startswith("COMPLETE")
    assert caller.execute("READ a1")[0] == ["none"]
    assert [s.team for s in deployment.group.ran[ran:]] == [OTHER_TEAM]


def test_a_transaction_that_has_not_reached_a_target_runs_for_the_present_team(
    deployment,
):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    caller.execute("BEGIN")
    ran = len(deployment.group.ran)
    move_key(deployment, vm)
    assert caller.execute("WRITE a1 kept")[1].startswith("COMPLETE")
    assert caller.execute("COMMIT")[1].startswith("COMPLETE")
    assert {s.team for s in deployment.group.ran[ran:]} == {OTHER_TEAM}


def test_a_transaction_goes_on_if_its_key_has_come_back(deployment):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    caller.execute("BEGIN")
    assert caller.execute("WRITE a1 kept")[1].startswith("COMPLETE")
    move_key(deployment, vm)
    move_key(deployment, vm, to_other=False)
    assert caller.execute("COMMIT")[1].startswith("COMPLETE")
    assert caller.execute("READ a1")[0] == ["kept"]


def test_a_rollback_is_accepted_after_the_key_was_withdrawn(deployment):
    """Nothing of the transaction is kept either way."""
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    caller.execute("BEGIN")
    caller.execute("WRITE a1 lost")
    move_key(deployment, vm)
    assert caller.execute("ROLLBACK")[1].startswith("COMPLETE")


def test_writes_continue_at_another_target_after_the_primary_crashes(deployment):
    vm = deployment.start_vm("vm-1")
    second = deployment.start_vm("vm-2")
    caller = Caller(vm.front, "read-your-writes")
    caller.execute("WRITE before crash")
    old = deployment.group.primary
    old.crash()
    wait_for(lambda: deployment.can_write(second), "writes work again")
    assert caller.execute("READ before")[0] == ["crash"]
    service, promoted, _, token = deployment.store.promotions[-1]
    assert promoted == deployment.group.primary.target_id != old.target_id
    tokens = [order[3] for order in deployment.store.promotions]
    assert tokens == sorted(tokens)
    assert token > 0


def test_a_promoted_target_is_used_only_after_it_became_primary(deployment):
    """The platform responded 0.3 s before the promotion took effect.

    Reads sent to the promoted target in between missed commits.
    """
    vm = deployment.start_vm("vm-1")
    second = deployment.start_vm("vm-2")
    group = deployment.group
    group.promotion_delay_s = 0.6
    group.primary.crash()
    wait_for(lambda: deployment.store.promotions, "a promotion is requested")
    callers = [Caller(v.front, "primary") for v in (vm, second) for _ in range(3)]
    outcomes = [caller.execute("READ a1")[1] for caller in callers]
    assert any(outcome.startswith("COMPLETE") for outcome in outcomes)
    assert all(statement.at_primary for statement in group.ran)


def test_a_commit_whose_answer_is_lost_is_in_doubt_and_not_repeated(deployment):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    deployment.group.primary.drops_next_response = True
    assert caller.execute("WRITE once x")[1].startswith("ERROR INDOUBT")
    ran = [s for s in deployment.group.ran if s.request_id == caller.last_id]
    assert len(ran) == 1


def test_a_read_whose_answer_is_lost_is_answered_by_another_target(deployment):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "read-your-writes")
    caller.execute("WRITE r1 data")
    for database in deployment.group.databases:
        database.drops_next_response = True
        assert caller.execute("READ r1")[0] == ["data"]
        database.drops_next_response = False


def test_callers_are_served_while_the_store_is_unreachable(deployment):
    vm = deployment.start_vm("vm-1")
    deployment.store.is_down = True
    wait_for(
        lambda: vm.events("store_lost"),
        "the VM logs the loss of the store",
        timeout_s=5.0,
    )
    caller = Caller(vm.front, "primary")
    assert caller.execute("WRITE unreachable x")[1].startswith("COMPLETE")


def test_reads_return_the_last_write_while_the_primary_cannot_replicate(
    deployment,
):
    vm = deployment.start_vm("vm-1")
    deployment.group.replicates = False
    writer, reader = Caller(vm.front, "read-your-writes"), Caller(vm.front, "primary")
    for number in range(5):
        assert writer.execute(f"WRITE item-1 v{number}")[1].startswith("COMPLETE")
        assert writer.execute("READ item-1")[0] == [f"v{number}"]
        assert reader.execute("READ item-1")[0] == [f"v{number}"]
    old = deployment.group.primary
    old.crash()
    wait_for(lambda: deployment.can_write(vm), "writes at the next primary")


def test_a_write_on_an_unresponsive_connection_is_in_doubt_and_not_repeated(
    deployment,
):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    assert caller.execute("WRITE item-1 first")[1].startswith("COMPLETE")
    for database in deployment.group.databases:
        database.unresponsive_before = time.monotonic()
    started_at = time.monotonic()
    outcome = caller.execute("WRITE item-1 second")[1]
    elapsed_s = time.monotonic() - started_at
    if not outcome.startswith("COMPLETE"):
        # The idle connection was used before the pool closed it.
        assert outcome.startswith("ERROR INDOUBT")
        assert elapsed_s < ROUTE_TIMEOUT_S + 1.0
        ran = [s for s in deployment.group.ran if "second" in s.text]
        assert ran == []
    assert caller.execute("WRITE item-1 third")[1].startswith("COMPLETE")
    assert caller.execute("READ item-1")[0] == ["third"]


def test_a_key_withdrawn_during_a_store_outage_is_rejected_after_recovery(
    deployment,
):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    assert caller.execute("READ item-1")[1].startswith("COMPLETE")
    deployment.store.is_down = True
    time.sleep(1.0)
    deployment.configure(keys=("another-key",))
    assert caller.execute("READ item-1")[1].startswith("COMPLETE")
    deployment.store.is_down = False
    wait_for(
        lambda: Caller(vm.front, "primary").greeting.startswith("ERROR NOAUTH"),
        "the withdrawal takes effect",
        timeout_s=CONFIGURATION_LIMIT_S,
    )


def test_a_statement_that_waits_for_a_connection_is_refused_once_its_key_is_withdrawn(
    deployment,
):
    """Failure: it left the queue later and ran with the key that had been withdrawn."""
    deployment.configure(max_connections=1)
    vm = deployment.start_vm("vm-1")
    running, waiting = (Caller(vm.front, "primary") for _ in range(2))
    with deployment.group.lock:
        running.send_line("QUERY q-1 WRITE a running")
        time.sleep(0.1)
        waiting.send_line("QUERY q-2 WRITE a waiting")
        deployment.configure(keys=("another-key",), max_connections=1)
        version = deployment.version
        wait_for(
            lambda: vm.events("configuration_in_force")[-1]["version"] == version,
            "the withdrawal takes effect",
        )
    assert running.read_line().startswith("COMPLETE")
    assert waiting.read_line().startswith("ERROR NOAUTH")
    assert waiting.read_line() == ""
    assert [s.text for s in deployment.group.ran if s.text.startswith("WRITE a")] == [
        "WRITE a running"
    ]


def test_a_signal_to_stop_lets_a_transaction_end(deployment):
    vm = deployment.start_vm("vm-1")
    caller = Caller(vm.front, "primary")
    caller.execute("BEGIN")
    caller.execute("WRITE last one")
    vm.process.send_signal(signal.SIGTERM)
    wait_for(lambda: vm.readiness() == 503, "the VM is not ready", timeout_s=2.0)
    assert caller.execute("COMMIT")[1].startswith("COMPLETE i-")
    assert vm.process.wait(timeout=8.0) == 0
    assert deployment.group.primary.read("last") == "one"


def test_logs_and_metrics_explain_a_refusal(deployment):
    vm = deployment.start_vm("vm-1")
    deployment.configure(rate=1)
    version = deployment.version
    wait_for(
        lambda: any(
            line["version"] == version for line in vm.events("configuration_in_force")
        ),
        "the new version takes effect",
    )
    caller = Caller(vm.front, "primary")
    outcomes = [caller.execute("READ a1")[1] for _ in range(30)]
    refused = [o for o in outcomes if o.startswith("ERROR BUSY")]
    assert refused
    assert "retry_after_ms=" in refused[-1]
    lines = vm.events("statement_answered")
    assert any("above its rate" in line["detail"] for line in lines)
    assert 'result="overloaded"' in vm.metrics()


def test_targets_whose_entries_expired_in_a_store_outage_stay_usable(deployment):
    """The store is unreachable for 4 s and then has no entries of targets.

    Seen in a long simulated run: VMs that receive the list of targets from another VM
    did not detect the outage and dropped all targets when the store was back.
    """
    vms = [deployment.start_vm(f"vm-{number}") for number in (1, 2)]
    deployment.store.is_down = True
    time.sleep(4.0)
    for database in deployment.group.databases:
        deployment.store.remove("servers", database.target_id)
    deployment.store.is_down = False
    deadline = time.monotonic() + 1.5
    while time.monotonic() < deadline:
        assert all(deployment.can_write(vm) for vm in vms)
        time.sleep(0.1)
    for database in deployment.group.databases:
        deployment.group.register(database)
    time.sleep(1.0)
    assert all(deployment.can_write(vm) for vm in vms)


def test_a_vm_reports_its_local_view(deployment, capsys):
    vm = deployment.start_vm("vm-1")
    address = f"127.0.0.1:{vm.metrics_port}"
    view = fetch_local_view(address)
    assert view.is_registered
    assert view.duty_holder == "vm-1"
    assert [p.may_be_used for p in view.primaries] == [True]
    assert view.primaries[0].target == deployment.group.primary.target_id
    assert len(view.targets) == 3
    beliefs(address)
    assert "registered" in capsys.readouterr().out


def test_reading_the_local_view_of_an_unreachable_vm_fails(capsys):
    with pytest.raises(SystemExit):
        fetch_local_view("127.0.0.1:1")
    with pytest.raises(SystemExit):
        fetch_local_view("nowhere")
    assert "HOST:PORT" in capsys.readouterr().err
