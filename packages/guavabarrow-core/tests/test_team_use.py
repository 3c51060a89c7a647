"""Recent use of teams."""

from __future__ import annotations

from guavabarrow_core.team_use import FORGET_S, TeamUse


def test_a_team_that_stopped_is_worth_less_than_one_that_goes_on():
    """Load: a team sends fifty statements and stops, another sends one per 2 s."""
    use = TeamUse()
    for number in range(50):
        use.record("stopped", 0.02 * number)
    use.record("steady", 1.0)
    assert use.recent("stopped", 2.0) > use.recent("steady", 2.0)
    for number in range(20):
        use.record("steady", 2.0 + 2.0 * number)
    assert use.recent("stopped", 40.0) < use.recent("steady", 40.0)


def test_teams_that_stopped_are_forgotten():
    """Load: teams that send a single statement each."""
    use = TeamUse()
    for number in range(1000):
        use.record(f"team-{number}", float(number))
    assert len(use) <= FORGET_S + 1
