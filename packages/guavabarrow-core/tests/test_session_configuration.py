"""Which operations a newer version of the configuration may concern."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavabarrow_core.session_configuration import (
    Consistency,
    Route,
    SessionConfiguration,
)

ROUTE = Route("db", "orders", Consistency.READ_YOUR_WRITES, max_age_s=1.5)
EARLIER = SessionConfiguration(
    1,
    route_by_database={
        "db": ROUTE,
        "other": Route("other", "stock", ROUTE.consistency),
    },
    team_by_key={"key": "team", "spare": "team", "key-2": "team-2"},
)
KEYS = EARLIER.team_by_key


def with_route(route: Route | None) -> SessionConfiguration:
    routes = {"db": route, "other": EARLIER.route_by_database["other"]}
    return replace(
        EARLIER, route_by_database={name: r for name, r in routes.items() if r}
    )


@pytest.mark.parametrize(
    "later",
    [
        with_route(None),
        with_route(replace(ROUTE, service="stock")),
        with_route(replace(ROUTE, consistency=Consistency.PRIMARY)),
        with_route(replace(ROUTE, max_age_s=0.5)),
        replace(EARLIER, team_by_key={"key": "team", "key-2": "team-2"}),
        replace(EARLIER, team_by_key=KEYS | {"spare": "team-2"}),
    ],
    ids=["route", "service", "consistency", "age", "key", "team"],
)
def test_withdrawn_and_changed_routes_and_keys_concern_an_operation(later):
    """Failure: statements that wait for others run by what was withdrawn."""
    assert later.may_concern(EARLIER, "orders", "team")


@pytest.mark.parametrize(
    "later",
    [
        EARLIER,
        with_route(replace(ROUTE, timeout_s=0.2, objective_s=0.1, priority=2)),
        replace(EARLIER, route_by_database={"db": ROUTE}),
        replace(EARLIER, team_by_key={"key": "team", "spare": "team"}),
        replace(EARLIER, team_by_key=KEYS | {"new": "team-2"}),
    ],
    ids=["same", "timeouts", "other route", "other key", "added key"],
)
def test_other_changes_do_not_concern_it(later):
    """Load: each change of a time-out sent all waiting statements back."""
    assert not later.may_concern(EARLIER, "orders", "team")


def test_an_added_key_concerns_callers_of_no_team():
    """Failure: a caller of an open route ran for no team after its key was added."""
    later = replace(EARLIER, team_by_key=KEYS | {"new": "team-2"})
    assert later.may_concern(EARLIER, "orders", "-")
    assert not EARLIER.may_concern(EARLIER, "orders", "-")
