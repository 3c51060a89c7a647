"""Tests of the line codecs, which must accept arbitrary bytes from the network."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.session_messages import (
    Completed,
    FailureCode,
    MalformedMessage,
    OpenSession,
    Row,
    SessionReady,
    StatementFailed,
    StatementKind,
    StatementRequest,
    TransactionState,
)
from guavabarrow_core.session_values import PreparedShape, RestorePlan
from guavabarrow_platform.wire import (
    MAX_MESSAGE_BYTES,
    LineFrontCodec,
    LineTargetCodec,
    encode_answer,
    parse_statement,
)


def test_front_messages_split_over_reads():
    codec = LineFrontCodec()
    data = b"STARTUP base key one\r\nQUERY 5c READ 1a4\r\nTERMINATE\r\n"
    messages = [m for byte in data for m in codec.feed(bytes([byte]))]
    assert messages[0] == OpenSession("base", "key one")
    assert messages[1] == StatementRequest("5c", parse_statement("READ 1a4"))
    assert len(messages) == 3


@given(st.binary(max_size=300))
def test_front_codec_accepts_any_bytes(data):
    for message in LineFrontCodec().feed(data + b"\r\n"):
        assert message is not None


@given(st.binary(max_size=300))
def test_target_codec_accepts_any_bytes(data):
    for message in LineTargetCodec().feed(data + b"\r\n"):
        assert message is not None


def test_a_message_beyond_the_limit_ends_the_stream():
    codec = LineFrontCodec()
    assert codec.feed(b"x" * (MAX_MESSAGE_BYTES + 1)) == [
        MalformedMessage("message too large")
    ]


def test_statements_keep_their_text():
    text = "EXECUTE s1 1a4 data with  blanks "
    statement = parse_statement(text)
    assert statement.kind is StatementKind.EXECUTE
    sent = LineTargetCodec().encode_statement("id", statement, prepared_name="gw_q")
    assert sent == b"QUERY id EXECUTE gw_q 1a4 data with  blanks \r\n"
    write = parse_statement("WRITE 1a4 data  x")
    position = LogPosition(3, 1207)
    sent = LineTargetCodec().encode_statement("id", write, after=position)
    assert sent == b"QUERY id AFTER 3.1207 WRITE 1a4 data  x\r\n"


def test_answers_round_trip():
    answers = [
        Row("some content"),
        Completed("7.1f3.c"),
        StatementFailed(FailureCode.READ_ONLY, "i-1"),
        SessionReady(TransactionState.FAILED, LogPosition(3, 9)),
    ]
    data = b"".join(encode_answer(answer) for answer in answers)
    assert LineTargetCodec().feed(data) == answers


def test_restore_plan():
    plan = RestorePlan(True, (("a", "b"),), (PreparedShape("q2c", writes=True),))
    data, count = LineTargetCodec().encode_restore(plan)
    assert count == 3
    assert data == (
        b"QUERY - RESET\r\nQUERY - SET a b\r\nQUERY - PREPARE gw_q2c WRITE q2c\r\n"
    )


def test_status():
    status = LineTargetCodec().decode_status(("replica 4 3.1209 0 12 2 17",))
    assert not status.is_primary
    assert (status.term, status.received) == (4, LogPosition(3, 1209))
    assert (status.lag_ms, status.busy, status.connections) == (12.0, 2, 17)
