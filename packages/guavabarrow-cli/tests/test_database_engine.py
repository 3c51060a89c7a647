import pytest

from guavabarrow_cli.standins.database_engine import DatabaseEngine, EngineError
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

SELECT_ROWS = Execute("SELECT n FROM t ORDER BY n", read=True)


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


def replicate(source, target, after=0):
    entries = source.entries_after(after, 100)
    previous = source.term_at(after)
    return target.append_entries(
        Replicate(source.last.term, "p", previous, after, entries)
    )


def rows(engine):
    return [row[0] for row in engine.read(SELECT_ROWS).rows]


def test_write_flagged_as_read_in_a_transaction_is_replicated(primary, replica):
    transaction = primary.begin(1)
    statement = Execute("INSERT INTO t VALUES (7)", read=True)
    primary.execute(transaction, statement)
    primary.commit(transaction, Commit(), 1)
    assert replicate(primary, replica)
    assert rows(primary) == rows(replica) == [7]


def test_repeated_request_id_returns_the_recorded_result(primary):
    first = primary.write(insert(1, request_id="i"))
    repeated = primary.write(insert(1, request_id="i"))
    assert (first.replayed, repeated.replayed) == (False, True)
    assert rows(primary) == [1]
    with pytest.raises(EngineError) as error:
        primary.write(insert(1, request_id="i", fingerprint="other"))
    assert error.value.code == CODE_ID_REUSED


def test_recorded_result_survives_failover(primary, replica):
    primary.write(insert(1, request_id="i"))
    assert replicate(primary, replica)
    assert replica.fence(2, "vm")
    assert replica.promote(2, "vm")
    assert replica.write(insert(1, term=2, request_id="i")).replayed
    assert rows(replica) == [1]


def test_request_resolved_without_result_cannot_run(primary):
    assert primary.resolve(Resolve(1, "a", "i")).result is None
    with pytest.raises(EngineError) as error:
        primary.write(insert(1, request_id="i"))
    assert error.value.code == CODE_MUST_NOT_RUN


def test_fenced_primary_rejects_writes_and_discards_unreplicated_entries(
    primary, replica
):
    primary.write(insert(1))
    assert replicate(primary, replica)
    primary.write(insert(2))
    assert primary.fence(2, "vm")
    with pytest.raises(EngineError) as error:
        primary.write(insert(3))
    assert error.value.code == CODE_NOT_PRIMARY
    common_index = replica.last.index
    assert replica.fence(2, "vm")
    assert replica.promote(2, "vm")
    replica.write(insert(4, term=2))
    assert replicate(replica, primary, after=common_index)
    assert rows(primary) == rows(replica) == [1, 4]


def test_promised_term_and_log_survive_a_restart(primary, tmp_path):
    primary.write(insert(1))
    primary.close()
    engine = DatabaseEngine(tmp_path / "primary.sqlite")
    assert engine.promised_term == 1
    assert engine.last == LogPosition(1, 3)
    assert not engine.is_primary
    assert not engine.fence(1, "other")


def test_read_beyond_the_log_is_rejected(replica):
    with pytest.raises(EngineError) as error:
        replica.read(Execute("SELECT 1", read=True, min_term=1, min_index=5))
    assert error.value.code == CODE_BEHIND


def test_entries_of_a_lower_term_are_rejected(primary, replica):
    assert replica.fence(5, "vm")
    assert not replicate(primary, replica)
    assert replica.last == LogPosition(0, 0)
