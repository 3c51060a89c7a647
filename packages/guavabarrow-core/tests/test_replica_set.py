"""Which replicas a replacement of the primary must take into account."""

from __future__ import annotations

import pytest

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.replica_set import (
    CHECK_INTERVAL_S,
    FOLLOW_UP_INTERVAL_S,
    GONE_AFTER_S,
    ReplicaSet,
)
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
        self.replicas.restore("p", 1, [entry("a"), entry("b")], self.now)
        self.replicas.update(self.listed, self.now)

    def unlist(self, target_id: str) -> None:
        self.listed = [e for e in self.listed if e.target_id != target_id]
        self.replicas.update(self.listed, self.now)

    def ask(
        self, *, ended=(), replaced=(), unasked=(), primary_id="p", **end_by_id
    ) -> None:
        self.now += ROUND_S
        self.replicas.update(self.listed, self.now)
        statuses = {
            target_id: TargetStatus(
                is_primary=target_id == primary_id,
                term=self.replicas.term,
                received=None if index is None else LogPosition(1, index),
            )
            for target_id, index in end_by_id.items()
        }
        self.replicas.record(
            statuses,
            ended,
            replaced,
            asked=[
                replica.entry
                for target_id, replica in self.replicas.replica_by_id.items()
                if target_id not in unasked
            ],
            asked_at=self.now,
            now=self.now + 0.01,
        )

    @property
    def ids(self) -> tuple[str, ...]:
        return self.replicas.replica_ids(self.now)

    @property
    def gone(self) -> list[str]:
        gone = self.replicas.remove_gone(self.now)
        return [replica.entry.target_id for replica, _ in gone]

    @property
    def ended(self) -> list[str]:
        self.replicas.remove_gone(self.now)
        return [replica.entry.target_id for replica in self.replicas.ended]

    def restart(self, target_id: str, born_ms: int = 2) -> None:
        changed = entry(target_id, born_ms=born_ms)
        self.listed = [e if e.target_id != target_id else changed for e in self.listed]
        self.replicas.update(self.listed, self.now)


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


@pytest.mark.parametrize("end", [None, 4, 8, 9])
def test_a_target_at_its_address_does_not_have_the_log_yet(end):
    """The end that was known before a drained target ended counted as its last one."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.unlist("a")
    rounds.listed.append(entry("n", host=entry("a").host))
    for _ in range(6):
        rounds.ask(ended=["a"], replaced=["a"], p=12, b=5, n=end)
    assert set(rounds.ids) == {"b", "n"}
    assert rounds.ended == ["a"]
    for _ in range(6):
        rounds.ask(ended=["a"], replaced=["a"], p=12, b=5, n=12)
    assert rounds.ended == []


def test_an_end_that_was_read_before_a_target_was_replaced_releases_nothing():
    """It commits until it ends, and the primary crashes before it is asked again."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.unlist("a")
    rounds.listed.append(entry("n", host=entry("a").host))
    for _ in range(6):
        rounds.ask(replaced=["a"], b=5, n=9)
    assert rounds.ended == ["a"]


@pytest.mark.parametrize("end", [None, 8, 9, 11])
def test_a_replica_that_started_again_does_not_stand_for_its_former_process(end):
    """It was whole once its log reached what its former process had minutes ago."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.restart("a")
    for _ in range(6):
        rounds.ask(p=12, a=end, b=5)
    assert rounds.ended == ["a"]
    assert rounds.ids == ("b", "a")
    rounds.ask(p=12, a=12, b=5)
    assert rounds.ended == []


def test_a_shorter_log_is_that_of_another_process():
    """It started again, and the list doesn't show it yet."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.ask(a=3, b=5)
    rounds.ask(a=9, b=5)
    assert rounds.ended == ["a"]
    assert [r.entry.target_id for r in rounds.replicas.take_ended()] == ["a"]
    assert rounds.replicas.take_ended() == []


def test_a_process_that_answered_before_its_entry_was_read_counts_once():
    """The primary is lost, so its entry names the process that answered."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.ask(a=3, b=5)
    rounds.restart("a")
    rounds.ask(a=3, b=5)
    assert rounds.ended == ["a"]


def test_an_answer_to_a_former_process_is_not_taken_for_its_successor():
    """The list showed the new process while the question was under way."""
    rounds = Rounds()
    asked = [entry("a"), entry("b")]
    rounds.restart("a")
    rounds.replicas.record(
        {"a": TargetStatus(False, 1, LogPosition(1, 9))},
        (),
        (),
        asked=asked,
        asked_at=rounds.now,
        now=rounds.now + 0.1,
    )
    assert rounds.replicas.replica_by_id["a"].end is None


@pytest.mark.parametrize("is_new_term", [True, False])
def test_a_round_that_was_overtaken_shows_no_shorter_log(is_new_term):
    """One target answers late, while another round or a replacement goes on."""
    rounds = Rounds()
    rounds.ask(p=12, a=12, b=12)
    if is_new_term:
        rounds.replicas.follow_primary("b", 2, rounds.now)
    rounds.replicas.record(
        {"a": TargetStatus(False, 1, LogPosition(1, 9))},
        (),
        (),
        asked=[entry("a")],
        asked_at=rounds.now - 0.1,
        now=rounds.now,
    )
    assert rounds.replicas.take_ended() == []
    assert rounds.replicas.replica_by_id["a"].end != LogPosition(1, 9)


def test_a_process_without_a_successor_is_given_up_after_the_limit():
    """The primary's return is waited for, as only it may have the commits."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.restart("a")
    rounds.ask(p=12, a=3, b=5)
    lost_at = rounds.now
    while rounds.now < lost_at + GONE_AFTER_S - ROUND_S:
        rounds.ask(a=3, b=5)
        assert rounds.replicas.ended_count(rounds.now) == 1
    for _ in range(2):
        rounds.ask(a=3, b=5)
    assert rounds.replicas.ended_count(rounds.now) == 0
    # The next primary may be lost too, before the others have its log.
    rounds.replicas.follow_primary("a", 2, rounds.now)
    assert rounds.replicas.ended_count(rounds.now) == 2


@pytest.mark.parametrize("is_restarted", [True, False])
def test_each_process_that_is_given_up_leaves_a_commit_in_one_log_less(is_restarted):
    """Of four logs of which two have each commit, two may then lack one."""
    rounds = Rounds(sync_replicas=2)
    rounds.listed += [entry("c"), entry("d")]
    rounds.ask(p=9, a=9, b=9, c=5, d=5)
    if is_restarted:
        rounds.restart("a")
    else:
        rounds.unlist("a")
    rounds.ask(p=12, b=12, c=5, d=5)
    assert rounds.replicas.copies(rounds.now) == 2
    for _ in range(int(GONE_AFTER_S / ROUND_S) + 1):
        rounds.ask(b=12, c=5, d=5)
    assert rounds.replicas.copies(rounds.now) == 1


def test_a_process_counts_as_long_as_the_primary_commits_without_the_others():
    rounds = Rounds()
    rounds.restart("a")
    for index in range(100):
        rounds.ask(p=9 + index, a=3, b=5)
    assert rounds.ended == ["a"]


def test_two_processes_of_one_target_count_until_both_are_released():
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.restart("a")
    rounds.ask(p=12, a=10, b=5)
    rounds.restart("a", born_ms=3)
    rounds.ask(p=12, a=None, b=5)
    assert rounds.ended == ["a", "a"]
    for _ in range(2):
        rounds.ask(p=12, a=None, b=12)
    assert rounds.ended == []


def test_fewer_than_the_synchronous_replicas_release_nothing():
    """The one that is left isn't enough if each commit was in two logs."""
    rounds = Rounds(sync_replicas=2)
    rounds.ask(p=9, a=9, b=9)
    rounds.restart("a")
    for _ in range(4):
        rounds.ask(p=9, a=3, b=9)
    assert rounds.ended == ["a"]
    rounds.ask(p=9, a=9, b=9)
    assert rounds.ended == []


def test_the_entry_of_a_process_that_was_released_does_not_bring_it_back():
    """It stays listed for three check-ins after its target has ended."""
    rounds = Rounds()
    rounds.listed.append(entry("n", host=entry("a").host))
    for _ in range(4):
        rounds.ask(ended=["a"], replaced=["a"], p=9, b=9, n=9)
    assert rounds.ended == []
    rounds.ask(p=9, b=9, n=9)
    assert rounds.ids == ("b", "n")


def test_another_vm_knows_of_a_process_that_ended():
    """The row had its target's present entry alone, so its log was forgotten."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=5)
    rounds.restart("a")
    other = ReplicaSet(1)
    other.restore("p", 1, rounds.replicas.counted_entries, rounds.now)
    other.update(rounds.listed, rounds.now)
    assert [replica.entry.born_ms for replica in other.ended] == [1]
    assert set(other.replica_ids(rounds.now)) == {"a", "b"}


def test_the_log_that_a_primary_was_promoted_with_counts_until_others_have_it():
    """It may be in no other log, and two that answer may both lack it."""
    rounds = Rounds(sync_replicas=2)
    rounds.listed.append(entry("c"))
    rounds.ask(p=9, a=9, b=9, c=5)
    rounds.replicas.follow_primary("a", 2, rounds.now)
    assert rounds.ended == ["a"]
    other = ReplicaSet(2)
    other.restore("a", 2, rounds.replicas.counted_entries, rounds.now)
    assert [replica.entry.target_id for replica in other.ended] == ["a"]
    for end in (5, 9, 9):
        rounds.ask(primary_id="a", p=9, a=9, b=9 if end == 9 else 5, c=end)
    assert rounds.ended == []
    assert "a" not in [e.target_id for e in rounds.replicas.counted_entries]


def test_the_primary_is_asked_once_more_at_once_when_a_process_has_ended():
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=9)
    assert rounds.replicas.check_interval_s == CHECK_INTERVAL_S
    rounds.unlist("a")
    rounds.ask(ended=["a"], p=9, b=9)
    assert rounds.replicas.check_interval_s == FOLLOW_UP_INTERVAL_S
    rounds.ask(ended=["a"], p=9, b=9)
    assert rounds.replicas.check_interval_s == CHECK_INTERVAL_S


def test_a_replica_that_never_held_anything_counts_for_itself_alone():
    rounds = Rounds()
    rounds.listed.append(entry("n"))
    rounds.ask(p=9, a=9, b=9, n=None)
    assert rounds.ended == []


def test_a_new_primary_begins_anew():
    """Replicas that were ahead of it are rolled back, and have lost nothing."""
    rounds = Rounds()
    rounds.ask(p=9, a=12, b=9)
    rounds.replicas.follow_primary("b", 2, rounds.now)
    rounds.ask(a=9, b=9)
    assert rounds.ended == ["b"]


def test_a_check_is_due_only_if_something_has_changed():
    rounds = Rounds()
    assert rounds.replicas.is_check_due()
    rounds.ask(p=9, a=9, b=9)
    assert not rounds.replicas.is_check_due()
    rounds.restart("a")
    assert rounds.replicas.is_check_due()


def test_a_check_is_due_while_the_primary_does_not_answer():
    """Else its last answer would be taken for the time at which it was lost."""
    rounds = Rounds()
    rounds.ask(p=9, a=9, b=9)
    rounds.ask(a=9, b=9)
    assert rounds.replicas.is_check_due()
    rounds.ask(p=9, a=9, b=9)
    assert not rounds.replicas.is_check_due()


def test_no_check_is_due_while_the_service_has_no_commit():
    rounds = Rounds()
    rounds.ask(p=None, a=None, b=None)
    assert not rounds.replicas.is_check_due()


def test_entries_that_this_vm_remembers_count():
    rounds = Rounds()
    rounds.replicas.add_unlisted([entry("a", born_ms=7), entry("r")], rounds.now)
    assert rounds.ids == ("a", "b", "r")
    assert rounds.replicas.replica_by_id["a"].entry.born_ms == 1
