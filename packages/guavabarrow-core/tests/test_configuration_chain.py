from random import Random

import pytest

from guavabarrow_core.configuration_chain import (
    Accepted,
    AnswerLost,
    ChainRead,
    ChangeOperation,
    ConfigurationChain,
    ReadChain,
    WriteAnswered,
)
from guavabarrow_core.exceptions import ConfigurationConflict, ConfigurationError
from guavabarrow_core.fleet import Fleet, Template
from guavabarrow_core.fleet_change import PutTemplate, Revision


def revision(version, name="t"):
    return Revision(version, f"op-{version}", "a", (PutTemplate(Template(name)),))


class FakeStore:
    """Fake of the table service; loses responses at random."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.revisions = []

    def perform(self, action):
        lost = self.random.random() < 0.3
        if isinstance(action, ReadChain):
            found = tuple(r for r in self.revisions if r.version > action.after_version)
            return AnswerLost() if lost else ChainRead(found)
        written = action.revision.version == len(self.revisions) + 1
        if written and self.random.random() < 0.9:
            self.revisions.append(action.revision)
        elif written:
            return AnswerLost()
        return AnswerLost() if lost else WriteAnswered(written)


@pytest.mark.parametrize("seed", range(50))
def test_concurrent_changes_are_committed_exactly_once_or_rejected(seed):
    """Each accepted change is in the chain exactly once, a rejected one never."""
    store = FakeStore(seed)
    running = {
        name: (operation, operation.start())
        for name in ("amina", "baraka", "chausiku")
        for operation in [
            ChangeOperation(
                Fleet(),
                (PutTemplate(Template(name)),),
                operation_id=name,
                author=name,
            )
        ]
    }
    outcomes = {}
    while running:
        name = store.random.choice(sorted(running))
        operation, action = running.pop(name)
        try:
            action = operation.step(store.perform(action))
        except (ConfigurationConflict, ConfigurationError) as error:
            outcomes[name] = error
            continue
        if isinstance(action, Accepted):
            outcomes[name] = action
        else:
            running[name] = (operation, action)
    ids = [item.operation_id for item in store.revisions]
    assert len(ids) == len(set(ids)) <= 1
    for name, outcome in outcomes.items():
        if isinstance(outcome, Accepted):
            assert ids == [name]
        if isinstance(outcome, ConfigurationConflict):
            assert name not in ids


def test_revisions_apply_in_order_and_the_version_never_decreases():
    chain = ConfigurationChain()
    assert chain.extend([revision(2), revision(1)]) == 2
    assert chain.extend([revision(4)]) == 0
    assert chain.extend([revision(1, "older")]) == 0
    assert not chain.install_snapshot(Fleet(version=1))
    assert chain.version == 2


def test_peer_that_is_too_far_behind_needs_a_snapshot():
    chain = ConfigurationChain()
    chain.install_snapshot(Fleet(version=7))
    chain.extend([revision(8)])
    assert [item.version for item in chain.revisions_after(7)] == [8]
    assert chain.revisions_after(6) is None
    assert chain.revisions_after(8) == []


def test_invalid_change_is_rejected_before_it_is_written():
    with pytest.raises(ConfigurationError):
        ChangeOperation(Fleet(), (object(),), operation_id="o", author="a")  # type: ignore[arg-type]
