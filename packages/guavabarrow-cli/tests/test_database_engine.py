import pytest

from guavabarrow_cli.standins.database_engine import DatabaseEngine, EngineProblem
from guavabarrow_core.log_position import LogPosition
from guavabarrow_daemon.targets.http_messages import (
    CODE_BEHIND,
    CODE_ID_REUSED,
    CODE_MUST_NOT_RUN,
    CODE_NOT_PRIMARY,
    Commit,
    Execute,
    Replicate,
    Resolve,
)

ROWS = Execute("SELECT n FROM t ORDER BY n", read=True)


@pytest.fixture
def primary(tmp_path):
    engine = DatabaseEngine(tmp_path / "primary.sqlite")
    assert engine.fence(1, "vm")
    assert engine.promote(1, "vm")
    engine.write(Execute("CREATE TABLE t (n INTEGER)", term=1))
    return engine


@pytest.fixture
def replica(tmp_path):
    return DatabaseEngine(tmp_path / "replica.sqlite")


def insert(number, term=1, request_id="", fingerprint="f"):
    return Execute(
        "INSERT INTO t VALUES (?)",
        [number],
        term=term,
        team="a",
        request_id=request_id,
        fingerprint=fingerprint,
    )


def ship(source, target, after=0):
    entries = source.entries_after(after, 100)
    previous = source.term_of(after)
    return target.accept_log(Replicate(source.last.term, "p", previous, after, entries))


def rows(engine):
    return [row[0] for row in engine.read(ROWS).rows]


def test_write_that_is_called_a_read_in_a_transaction_reaches_replicas(
    primary, replica
):
    transaction = primary.begin(1)
    statement = Execute("INSERT INTO t VALUES (7)", read=True)
    primary.execute(transaction, statement)
    primary.commit(transaction, Commit(), 1)
    assert ship(primary, replica)
    assert rows(primary) == rows(replica) == [7]


def test_repeat_of_an_id_is_answered_from_the_record(primary):
    first = primary.write(insert(1, request_id="i"))
    again = primary.write(insert(1, request_id="i"))
    assert (first.replayed, again.replayed) == (False, True)
    assert rows(primary) == [1]
    with pytest.raises(EngineProblem) as refusal:
        primary.write(insert(1, request_id="i", fingerprint="other"))
    assert refusal.value.code == CODE_ID_REUSED


def test_record_fails_over_with_the_effect(primary, replica):
    primary.write(insert(1, request_id="i"))
    assert ship(primary, replica)
    assert replica.fence(2, "vm")
    assert replica.promote(2, "vm")
    assert replica.write(insert(1, term=2, request_id="i")).replayed
    assert rows(replica) == [1]


def test_request_that_was_ruled_out_never_runs(primary):
    assert primary.resolve(Resolve(1, "a", "i")).result is None
    with pytest.raises(EngineProblem) as refusal:
        primary.write(insert(1, request_id="i"))
    assert refusal.value.code == CODE_MUST_NOT_RUN


def test_fenced_primary_writes_nothing_and_drops_what_others_lack(primary, replica):
    primary.write(insert(1))
    assert ship(primary, replica)
    primary.write(insert(2))
    assert primary.fence(2, "vm")
    with pytest.raises(EngineProblem) as refusal:
        primary.write(insert(3))
    assert refusal.value.code == CODE_NOT_PRIMARY
    shared = replica.last.index
    assert replica.fence(2, "vm")
    assert replica.promote(2, "vm")
    replica.write(insert(4, term=2))
    assert ship(replica, primary, after=shared)
    assert rows(primary) == rows(replica) == [1, 4]


def test_promise_and_log_outlive_the_process(primary, tmp_path):
    primary.write(insert(1))
    primary.close()
    engine = DatabaseEngine(tmp_path / "primary.sqlite")
    assert engine.promised_term == 1
    assert engine.last == LogPosition(1, 3)
    assert not engine.is_primary
    assert not engine.fence(1, "other")


def test_read_beyond_the_log_is_refused(replica):
    with pytest.raises(EngineProblem) as refusal:
        replica.read(Execute("SELECT 1", read=True, min_term=1, min_index=5))
    assert refusal.value.code == CODE_BEHIND


def test_lower_term_is_refused(primary, replica):
    assert replica.fence(5, "vm")
    assert not ship(primary, replica)
    assert replica.last == LogPosition(0, 0)
