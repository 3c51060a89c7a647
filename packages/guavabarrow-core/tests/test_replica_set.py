"""Which replicas a replacement of the primary must take into account."""

from __future__ import annotations

import pytest

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.replica_set import GONE_AFTER_S, LOG_SETTLED_S, ReplicaSet
from guavabarrow_core.session_messages import TargetStatus
from guavabarrow_core.target_directory import TargetEntry

ROUND_S = 0.5


def entry(target_id: str, **changes) -> TargetEntry:
    fields = {"host": f"10.0.0.{ord(target_id[0])}", "born_ms": 1, **changes}
    return TargetEntry(
        target_id=target_id,
        service="orders",
        domain="z",
        port=5432,
        is_draining=False,
        is_primary=target_id == "p",
        **fields,
    )


class Rounds:
    """A set of the primary ``p`` and the replicas ``a`` and ``b``, asked in rounds."""

    def __init__(self, sync_replicas: int = 1) -> None:
        self.replicas = ReplicaSet(sync_replicas)
        self.listed = [entry("p"), entry("a"), entry("b")]
        self.now = 0.0
        self.replicas.follow_primary("p", 1)
        self.replicas.update(self.listed, self.now)

    def unlist(self, target_id: str) -> None:
        self.listed = [e for e in self.listed if e.target_id != target_id]
        self.replicas.update(self.listed, self.now)

    def ask(
        self, *, ended=(), replaced=(), unasked=(), is_leading=True, **end_by_id
    ) -> None:
        self.now += ROUND_S
        self.replicas.update(self.listed, self.now)
        statuses = {
            target_id: TargetStatus(
                is_primary=target_id == "p" and is_leading,
                term=1,
                received=None if index is None else LogPosition(1, index),
            )
            for target_id, index in end_by_id.items()
        }
        self.replicas.record(
            statuses,
            ended,
            replaced,
            asked_ids=set(self.replicas.replica_by_id) - set(unasked),
            asked_at=self.now,
            now=self.now + 0.01,
        )

    @property
    def ids(self) -> tuple[str, ...]:
        return self.replicas.replica_ids(self.now)

    @property
    def gone(self) -> list[str]:
        return [target_id for target_id, _ in self.replicas.remove_gone(self.now)]


def test_a_replica_without_an_entry_counts_as_long_as_it_answers():
    rounds = Rounds()
    rounds.unlist("a")
    for _ in range(100):
        rounds.ask(p=9, a=9, b=5)
    assert rounds.ids == ("a", "b")
    assert rounds.gone == []


def test_a_silent_replica_is_gone_after_the_limit():
    rounds = Rounds()
    rounds.unlist("a")
    while rounds.now < GONE_AFTER_S - ROUND_S:
        rounds.ask(p=9, b=9)
        assert rounds.ids == ("a", "b")
    # The first round only reads the primary's position.
    for _ in range(3):
        rounds.ask(p=9, b=9)
    assert rounds.ids == ("b",)
    assert rounds.gone == ["a"]


def test_the_entry_of_a_target_that_has_ended_does_not_prolong_the_limit():
    """It stays for three check-ins; the limit is what a change of primary may take."""
    rounds = Rounds()
    while rounds.now < 5.0:
        rounds.ask(b=9)
    rounds.unlist("a")
    while rounds.now < GONE_AFTER_S + ROUND_S:
        rounds.ask(b=9)
    assert rounds.ids == ("b",)


def test_a_new_entry_is_a_sign_of_life():
    rounds = Rounds()
    rounds.ask(b=9)
    rounds.unlist("a")
    rounds.ask(b=9)
    rounds.listed.append(entry("a"))
    rounds.ask(b=9)
    rounds.unlist("a")
    rounds.now += GONE_AFTER_S - ROUND_S
    assert set(rounds.ids) == {"a", "b"}


def test_a_silent_replica_counts_while_the_primary_commits_without_the_others():
    """Somebody acknowledges the commits, and nobody else can."""
    rounds = Rounds()
    rounds.unlist("a")
    for index in range(100):
        rounds.ask(p=9 + index, b=5)
    assert rounds.ids == ("a", "b")


def test_the_limit_begins_again_when_another_vm_reaches_a_replica():
    rounds = Rounds()
    rounds.unlist("a")
    for _ in range(100):
        rounds.ask(b=5)
        rounds.replicas.record_life("a", rounds.now)
    assert rounds.ids == ("a", "b")


def test_a_replica_that_has_ended_is_ignored_once_another_has_all_commits():
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.unlist("a")
    rounds.ask(ended=["a"], p=9, b=5)
    rounds.ask(ended=["a"], p=9, b=8)
    assert rounds.ids == ("a", "b")
    rounds.ask(ended=["a"], p=9, b=9)
    assert rounds.ids == ("b",)
    # Its port may be closed to this VM alone, so it isn't forgotten.
    assert rounds.gone == []


def test_what_others_had_before_a_replica_ended_does_not_cover_it():
    """It acknowledged more, then ended, and the primary crashed before the next round.

    The replica was ignored, and one without its last commits was promoted.
    """
    rounds = Rounds()
    for _ in range(3):
        rounds.ask(p=9, a=9, b=9)
    rounds.unlist("a")
    for _ in range(4):
        rounds.ask(ended=["a"], b=9)
    assert rounds.ids == ("a", "b")


def test_a_replica_that_is_not_asked_stays_as_it_was():
    """A replacement doesn't ask one that it may ignore; that is no silence of it."""
    rounds = Rounds()
    rounds.unlist("a")
    for _ in range(4):
        rounds.ask(ended=["a"], p=9, b=9)
    for _ in range(3):
        rounds.ask(unasked=["a"], b=9)
    assert rounds.ids == ("b",)


def test_a_replica_that_has_ended_counts_again_if_the_other_falls_behind():
    """It may be cut off by resets, and acknowledge what the other doesn't receive."""
    rounds = Rounds()
    rounds.unlist("a")
    for _ in range(4):
        rounds.ask(ended=["a"], p=9, b=9)
    assert rounds.ids == ("b",)
    rounds.ask(ended=["a"], p=15, b=9)
    rounds.ask(ended=["a"], p=15, b=9)
    assert rounds.ids == ("a", "b")


def test_two_replicas_that_have_ended_do_not_vouch_for_each_other():
    rounds = Rounds()
    rounds.listed.append(entry("c"))
    rounds.ask(p=9, a=9, b=9, c=5)
    rounds.unlist("a")
    rounds.unlist("b")
    for _ in range(4):
        rounds.ask(ended=["a", "b"], p=9, c=5)
    assert rounds.ids == ("a", "b", "c")


def test_all_that_many_replicas_must_have_is_required_of_as_many():
    rounds = Rounds(sync_replicas=2)
    rounds.listed.append(entry("c"))
    rounds.ask(p=9, a=9, b=9, c=5)
    rounds.unlist("a")
    for _ in range(4):
        rounds.ask(ended=["a"], p=9, b=9, c=5)
    assert rounds.ids == ("a", "b", "c")
    for _ in range(2):
        rounds.ask(ended=["a"], p=9, b=9, c=9)
    assert rounds.ids == ("b", "c")


@pytest.mark.parametrize("end", [None, 4, 8])
def test_a_target_at_its_address_does_not_have_the_log_yet(end):
    """Its entry counted as the proof that the log was transferred."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.unlist("a")
    rounds.listed.append(entry("n", host=entry("a").host))
    for _ in range(6):
        rounds.ask(ended=["a"], replaced=["a"], b=5, n=end)
    assert set(rounds.ids) == {"a", "b", "n"}
    rounds.ask(ended=["a"], replaced=["a"], b=5, n=9)
    assert "a" in rounds.ids
    while rounds.now < 10.0 + LOG_SETTLED_S and "a" in rounds.ids:
        rounds.ask(ended=["a"], replaced=["a"], b=5, n=9)
    assert set(rounds.ids) == {"b", "n"}
    assert rounds.gone == ["a"]


def test_a_replica_that_started_without_its_log_is_incomplete_until_it_has_one():
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.ask(p=9, a=None, b=5)
    assert rounds.replicas.incomplete_ids(rounds.now) == {"a"}
    rounds.ask(p=9, a=8, b=5)
    assert rounds.replicas.incomplete_ids(rounds.now) == {"a"}
    rounds.ask(p=9, a=9, b=5)
    assert rounds.replicas.incomplete_ids(rounds.now) == set()


def test_a_replica_without_its_former_log_stays_incomplete_while_it_is_silent():
    """An answer that it gave before must not stand for its former log."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.ask(a=3, b=5)
    rounds.ask(b=5)
    assert rounds.replicas.incomplete_ids(rounds.now) == {"a"}


def test_a_replica_that_started_again_under_its_id_is_incomplete():
    """It was never asked before, so it isn't known what its former process had."""
    rounds = Rounds()
    rounds.listed[1] = entry("a", born_ms=2)
    rounds.ask(a=7, b=5, is_leading=False)
    assert rounds.replicas.incomplete_ids(rounds.now) == {"a"}
    rounds.now += GONE_AFTER_S
    assert rounds.replicas.incomplete_ids(rounds.now) == set()


def test_a_replica_that_started_again_is_complete_once_it_has_all_commits():
    rounds = Rounds()
    rounds.listed[1] = entry("a", born_ms=2)
    rounds.ask(p=9, a=9, b=5)
    rounds.ask(p=9, a=9, b=5)
    rounds.ask(p=9, a=9, b=5)
    assert rounds.replicas.incomplete_ids(rounds.now) == set()


def test_a_replica_that_never_held_anything_is_not_incomplete():
    rounds = Rounds()
    rounds.listed.append(entry("n"))
    rounds.ask(p=9, a=9, b=9, n=None)
    assert rounds.replicas.incomplete_ids(rounds.now) == set()


def test_a_new_primary_begins_anew():
    """Replicas that were ahead of it are rolled back, and have lost nothing."""
    rounds = Rounds()
    rounds.ask(p=9, a=12, b=9)
    rounds.replicas.follow_primary("b", 2)
    rounds.ask(a=9, b=9)
    assert rounds.replicas.incomplete_ids(rounds.now) == set()


def test_a_check_is_due_only_if_something_has_changed():
    rounds = Rounds()
    assert rounds.replicas.is_check_due()
    rounds.ask(p=9, a=9, b=9)
    assert not rounds.replicas.is_check_due()
    rounds.listed[1] = entry("a", born_ms=2)
    rounds.replicas.update(rounds.listed, rounds.now)
    assert rounds.replicas.is_check_due()


def test_no_check_is_due_while_the_service_has_no_commit():
    rounds = Rounds()
    rounds.ask(p=None, a=None, b=None)
    assert not rounds.replicas.is_check_due()


def test_entries_that_another_vm_remembers_count():
    rounds = Rounds()
    rounds.replicas.restore([entry("a", born_ms=7), entry("r")], rounds.now)
    assert rounds.ids == ("a", "b", "r")
    assert rounds.replicas.replica_by_id["a"].entry.born_ms == 1
