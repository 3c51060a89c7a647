"""Conclusions about a group's primary from the reports of its databases."""

from __future__ import annotations

from guavabarrow_core.group_view import DatabaseReport, GroupView, Role
from guavabarrow_core.log_position import Lineage, TermStart

MEMBERS = ("a", "b", "c")
LOG = Lineage((TermStart(1, 1),), 5)


def report(
    database: str,
    *,
    role: Role = Role.REPLICA,
    promised_term: int = 1,
    sent_at: float = 1.0,
) -> DatabaseReport:
    return DatabaseReport(
        database, role, promised_term, LOG, 0.0, 0, sent_at, sent_at + 0.01
    )


def test_a_primary_is_superseded_once_a_majority_is_fenced():
    view = GroupView(MEMBERS)
    view.record(report("a", role=Role.PRIMARY))
    view.record(report("b", promised_term=2))
    assert view.primary is not None
    view.record(report("c", promised_term=2))
    assert view.primary is None


def test_a_primary_is_confirmed_as_of_the_answers_of_a_majority():
    view = GroupView(MEMBERS)
    view.record(report("b", sent_at=3.0))
    view.record(report("a", role=Role.PRIMARY, sent_at=5.0))
    assert view.confirmed_at == 3.0


def test_a_primary_is_not_confirmed_by_its_own_answer_alone():
    view = GroupView(MEMBERS)
    view.record(report("a", role=Role.PRIMARY, sent_at=5.0))
    assert view.confirmed_at == float("-inf")
