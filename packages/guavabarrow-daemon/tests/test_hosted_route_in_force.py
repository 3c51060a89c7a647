"""Statements that wait at, or for, a service host while the configuration changes.

Failure: a statement that waited at its host, or lost it, ran by the route with which it
was handed over, also if the route or the key was withdrawn meanwhile.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest
from sim_hosts import HostedFleet, outcome
from sim_platform import SERVICE, publish_configuration
from sim_routes import FakePool

from guavabarrow_core.target_directory import TargetEntry
from guavabarrow_daemon.fleet.fleet_messages import ENCODER
from guavabarrow_daemon.fleet.hosted_messages import HostedOperation, HostedStatement
from guavabarrow_daemon.front.hosted_codec import create_context, encode_superseded

AT_ONCE_S = 0.05
"""A few network latencies and steps of the simulation."""

ROLLOUT_S = 3.0
OPERATIONS = [["READ a"], ["WRITE a 1"], ["BEGIN", "WRITE a 1"]]


class ChangingFleet(HostedFleet):
    """Hosted fleet whose callers' route and keys change."""

    def __init__(self, monkeypatch) -> None:
        super().__init__(monkeypatch)
        self.caller_of_route = self.caller()
        self.admission = self.caller_of_route.admission
        route = self.admission.route
        self.operator_store.route_by_database = {
            "db": route,
            "other": replace(route, database="other"),
        }
        self.operator_store.team_by_key = {"key": "team", "key-2": "team-2"}
        self.publish()
        entry = TargetEntry("t1", SERVICE, "east", "10.0.0.1", 1, False, True)
        self.pool = FakePool(entry)
        self.router(self.host()).pool = self.pool

    def publish(self) -> None:
        """Publish a configuration and wait until all VMs have it."""
        version = publish_configuration(self.operator_store)
        self.run_until(lambda: self.has_configuration(version), ROLLOUT_S)

    def change_store(self, *, routes: dict | None = None, keys: dict | None = None):
        """Publish other routes or keys, which all VMs but the caller's know."""
        store = self.operator_store
        store.route_by_database = store.route_by_database if routes is None else routes
        store.team_by_key = store.team_by_key if keys is None else keys
        self.publish()

    def send_waiting(self, texts: list[str]) -> list:
        """Send an operation whose last statement waits at the host."""
        self.pool.is_held = True
        for text in texts[:-1]:
            assert self.execute(self.caller_of_route, text) == "completed"
        answers = self.caller_of_route.send(texts[-1])
        self.run(AT_ONCE_S)
        assert len(self.pool.acquiring) == 1
        return answers

    def serve(self) -> None:
        """Serve the statement that waits at the host."""
        self.pool.serve()
        self.run(2 * AT_ONCE_S)

    def ran(self) -> dict[str, list[tuple[str, str]]]:
        """Return the service and text of each statement, by VM that ran it."""
        ran_by_vm = {}
        for vm in self.vm_by_name:
            router = self.router(vm)
            contexts = zip(router.contexts, router.ran, strict=True)
            ran_by_vm[vm] = [
                (context.route.service, text) for context, text in contexts
            ]
        return {vm: ran for vm, ran in ran_by_vm.items() if ran}


@pytest.fixture
def fleet(monkeypatch) -> ChangingFleet:
    return ChangingFleet(monkeypatch)


@pytest.mark.parametrize("texts", OPERATIONS, ids=" ".join)
def test_a_statement_that_waited_at_its_host_runs_by_the_route_in_force(fleet, texts):
    answers = fleet.send_waiting(texts)
    moved = replace(fleet.admission.route, service="stock")
    fleet.admission.change(moved)
    fleet.change_store(routes={"db": moved})
    fleet.serve()
    assert outcome(answers) == "completed"
    assert fleet.ran() == {"east-3": [("stock", texts[-1])]}
    assert fleet.pool.in_use == 0


@pytest.mark.parametrize("texts", OPERATIONS, ids=" ".join)
def test_a_statement_whose_key_was_withdrawn_is_not_run_at_its_host(fleet, texts):
    """The host is never told the key, so it asks the caller's VM."""
    answers = fleet.send_waiting(texts)
    fleet.admission.change(None)
    fleet.change_store(keys={"key-2": "team-2"})
    fleet.serve()
    assert outcome(answers) == "unknown_database"
    assert fleet.ran() == {}
    assert (fleet.pool.in_use, fleet.admission.tokens) == (0, 0)


@pytest.mark.parametrize("texts", OPERATIONS, ids=" ".join)
def test_a_statement_is_handed_over_again_if_only_another_route_changed(fleet, texts):
    """Failure: callers were refused because a route of others was withdrawn."""
    answers = fleet.send_waiting(texts)
    fleet.change_store(routes={"db": fleet.admission.route})
    fleet.serve()
    assert outcome(answers) == "completed"
    assert fleet.ran() == {fleet.host(): [(SERVICE, texts[-1])]}
    assert fleet.admission.tokens == 1


@pytest.mark.parametrize("texts", OPERATIONS, ids=" ".join)
def test_other_changes_cost_no_place_in_the_queue_of_the_host(fleet, texts):
    """Load: each new route or key sent all waiting statements back."""
    answers = fleet.send_waiting(texts)
    routes = fleet.operator_store.route_by_database
    slower = {name: replace(route, timeout_s=1.5) for name, route in routes.items()}
    fleet.change_store(
        routes={**slower, "third": replace(routes["db"], database="third")},
        keys={"key": "team", "key-3": "team-3"},
    )
    fleet.pool.serve_first()
    fleet.run(2 * AT_ONCE_S)
    assert outcome(answers) == "completed"
    assert fleet.ran() == {fleet.host(): [(SERVICE, texts[-1])]}


@pytest.mark.parametrize("text", ["READ a", "BEGIN"])
def test_a_statement_that_lost_its_host_goes_on_by_the_route_in_force(fleet, text):
    host = fleet.host()
    caller = fleet.caller_of_route
    if text == "BEGIN":
        fleet.execute(caller, text)
    fleet.pool.is_held = True
    answers = caller.send("READ a")
    fleet.run(AT_ONCE_S)
    fleet.admission.change(replace(fleet.admission.route, service="stock"))
    fleet.kill(host)
    fleet.run(2 * AT_ONCE_S)
    assert outcome(answers) == "completed"
    assert fleet.ran() == {"east-3": [("stock", "READ a")]}


def test_older_programs_take_the_answer_for_a_refusal():
    """Failure: a VM that is updated later could not read the answer of its host."""
    message = HostedStatement(7, HostedOperation.WRITE, service=SERVICE)
    context = create_context(message, arrived_at=0.0, deadline=1.0)
    reply = encode_superseded(message.number, context)
    fields = msgspec.msgpack.decode(ENCODER.encode(reply))
    assert fields.pop("u") is True
    assert fields == {
        "type": "ran",
        "n": 7,
        "c": "overloaded",
        "f": True,
        "e": True,
        "d": reply.detail,
    }
