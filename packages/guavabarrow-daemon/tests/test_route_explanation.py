"""Explanations of routes, without a network, in virtual time."""

from __future__ import annotations

from types import SimpleNamespace

import msgspec
import pytest
from sim_fleet import SimFleet
from sim_platform import SERVICE

from guavabarrow_core.freshness import Observation
from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.rate_limiter import RateLimit
from guavabarrow_core.session_configuration import (
    Consistency,
    Route,
    SessionConfiguration,
    SessionTeam,
)
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.fleet.rate_service import RateService
from guavabarrow_daemon.fleet.service_hosts import ServiceHosts
from guavabarrow_daemon.front.target_chooser import TargetChooser
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.route_explanation import (
    RouteQuery,
    RouteQueryError,
    RouteView,
    explain_route,
)

TEAM = "north-team"
CONFIGURATION = SessionConfiguration(
    version=1,
    route_by_database={
        "aged": Route("aged", SERVICE, Consistency.STATED_AGE, max_age_s=1.5),
        "strict": Route("strict", SERVICE, Consistency.PRIMARY, is_open=True),
    },
    team_by_name={TEAM: SessionTeam(TEAM, frozenset({"k1"}), RateLimit(1.0, 1.0))},
    team_by_key={"k1": TEAM},
)


class Explained:
    """One VM of a simulated fleet, with its explanations."""

    def __init__(self, fleet: SimFleet) -> None:
        self.kernel = fleet.vm_by_name["east-0"].kernel
        self.chooser = TargetChooser(self.kernel, None)
        self.kernel.register(self.chooser)
        self.kernel.register(ServiceHosts(self.kernel, None))
        self.fleet = self.kernel.find(FleetService)
        self.fleet.orders = SimpleNamespace(
            configuration=CONFIGURATION, evacuated=frozenset()
        )
        self.rates = self.kernel.find(RateService).rates
        self.rates.configure(CONFIGURATION.rates())

    def explain(self, database: str = "aged", **fields: object) -> RouteView:
        query = {"database": database, "team": TEAM, **fields}
        return explain_route(self.kernel, msgspec.convert(query, RouteQuery))

    def observe_primary(self, index: int) -> None:
        history = self.kernel.find(PrimaryService).history(SERVICE)
        history.record(Observation(now_s(), LogPosition(1, index)))


@pytest.fixture
def vm(monkeypatch) -> Explained:
    fleet = SimFleet(monkeypatch, per_domain=1)
    fleet.wait_until_serving()
    return Explained(fleet)


@pytest.mark.parametrize("kind", ["write", "begin"])
def test_what_may_write_goes_to_the_primary(vm, kind):
    vm.observe_primary(7)
    view = vm.explain(kind=kind)
    roles = {entry.target: entry.role for entry in view.candidates}
    assert roles[view.choice] == "primary"
    assert view.why == "the only one that can be used"
    reasons = {entry.reason for entry in view.candidates if not entry.is_chosen}
    assert reasons == {"the statement needs the primary"}


def test_a_read_goes_to_the_candidate_that_is_expected_to_be_fastest(vm):
    vm.observe_primary(7)
    view = vm.explain()
    by_target = {entry.target: entry for entry in view.candidates}
    chosen = by_target.pop(view.choice)
    assert chosen.domain == "east"
    assert all(entry.reason.endswith(view.choice) for entry in by_target.values())
    replica = next(e for e in view.candidates if e.role == "replica")
    assert replica.required_position == "1:7"
    later = vm.explain(position="1:9").candidates
    assert {e.required_position for e in later if e.role == "replica"} == {"1:9"}


def test_excluded_replicas_are_named_with_their_reason(vm):
    """An operator must see why reads crowd at the primary."""
    view = vm.explain()
    reasons = {e.reason for e in view.candidates if e.role == "replica"}
    assert reasons == {
        "no observation of the primary is young enough to judge freshness"
    }
    vm.observe_primary(7)
    first, second = (e for e in view.candidates if e.role == "replica")
    vm.chooser.mark_behind(first.target)
    vm.fleet.orders.evacuated = frozenset({second.domain})
    by_target = {entry.target: entry for entry in vm.explain().candidates}
    assert "excluded for 80 ms more" in by_target[first.target].reason
    assert by_target[second.target].reason == "its domain is evacuated"
    assert vm.explain().evacuated == [second.domain]


def test_without_a_usable_primary_a_write_has_no_choice(vm, monkeypatch):
    primaries = vm.kernel.find(PrimaryService)
    monkeypatch.setattr(primaries, "primary", lambda service: None)
    view = vm.explain(kind="write")
    assert (view.choice, view.why) == ("", "no candidate can be used")
    primary = next(e for e in view.candidates if e.role == "primary")
    assert primary.reason.startswith("the primary may not be used")


def test_an_explanation_takes_no_token_and_opens_nothing(vm):
    """Explaining a team's failures must not add to them."""
    directory = vm.kernel.find(DirectoryService)
    pools = dict(directory.pool_by_id)
    tokens = [vm.explain(kind="write").admission.tokens for _ in range(20)]
    assert len(set(tokens)) == 1
    assert directory.pool_by_id == pools
    for _ in range(50):
        vm.rates.local.admit(TEAM, now_s())
    admission = vm.explain().admission
    assert (admission.decision, admission.tokens) == (
        "refused",
        pytest.approx(0, abs=1),
    )
    assert admission.wait_s > 0


def test_a_caller_without_a_key_may_use_an_open_route_without_limit(vm):
    view = vm.explain("strict", team="")
    assert (view.team, view.admission.tokens) == ("-", None)


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"database": "nothing"}, "unknown_database"),
        ({"team": "nobody"}, "unknown_team"),
        ({"team": "", "key": "k2"}, "unknown_key"),
        ({"key": "k1"}, "malformed"),
        ({"kind": "sing"}, "malformed"),
        ({"position": "1.9"}, "malformed"),
        ({"age_s": -1.0}, "malformed"),
        ({"age_s": float("nan")}, "malformed"),
    ],
)
def test_bad_queries_get_a_typed_error(vm, fields, code):
    with pytest.raises(RouteQueryError) as raised:
        vm.explain(**fields)
    assert (raised.value.code, raised.value.status) == (code, 400)


def test_a_vm_without_configuration_says_so(vm):
    vm.fleet.orders.configuration = None
    with pytest.raises(RouteQueryError) as raised:
        vm.explain()
    assert (raised.value.code, raised.value.status) == ("no_configuration", 503)
