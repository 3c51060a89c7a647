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
from guavabarrow_core.session_values import (
    ConnectionValues,
    PreparedShape,
    RestorePlan,
    SessionValues,
)
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
        b"QUERY - RESET\r\nQUERY - SET a b\r\nQUERY - PREPARE "
        + PreparedShape("q2c", writes=True).shared_name.encode()
        + b" WRITE q2c\r\n"
    )


def test_status():
    status = LineTargetCodec().decode_status(("replica 4 3.1209 0 12 2 17",))
    assert not status.is_primary
    assert (status.term, status.received) == (4, LogPosition(3, 1209))
    assert (status.lag_ms, status.busy, status.connections) == (12.0, 2, 17)


def test_a_target_that_holds_nothing_has_no_position():
    """A dash was decoded as the start of the newest term, above all older logs."""
    status = LineTargetCodec().decode_status(("replica 4 - 0 12 2 17",))
    assert (status.term, status.received) == (4, None)


SHAPES = st.text("ab 0-=/\t\u00b2", min_size=1, max_size=30).filter(str.strip)


class PreparingTarget:
    """What a target makes of PREPARE and EXECUTE, by the words of each line."""

    def __init__(self) -> None:
        self._shape_by_name: dict[str, tuple[str, str]] = {}

    def run(self, data: bytes) -> tuple[str, str, str] | None:
        """Run lines; return mode, shape and argument of the last EXECUTE."""
        ran = None
        for line in data.decode().split("\r\n")[:-1]:
            _, _, word, rest = line.split(" ", 3)
            name, _, rest = rest.partition(" ")
            if word == "PREPARE":
                mode, _, shape = rest.partition(" ")
                self._shape_by_name[name] = (mode, shape)
            else:
                ran = (*self._shape_by_name[name], rest)
        return ran


@given(
    st.lists(
        st.tuples(
            SHAPES
            | st.sampled_from(["orders by day", "q7 READ q9f", "q2c WRITE q7", "q7"]),
            st.booleans(),
        ),
        min_size=1,
        max_size=6,
    )
)
def test_a_target_runs_the_shape_that_was_prepared(prepared):
    """Names made of shapes with blanks were unknown there, or ran another shape."""
    codec, target, values = LineTargetCodec(), PreparingTarget(), ConnectionValues()
    for text, writes in prepared:
        mode = "WRITE" if writes else "READ"
        statement = parse_statement(f"PREPARE s1 {mode} {text}")
        shape = PreparedShape(statement.argument, writes=statement.writes)
        plan = values.plan(SessionValues(), shape)
        values.apply(plan)
        execute = parse_statement("EXECUTE s1 item-1 some data")
        lines = codec.encode_restore(plan)[0] + codec.encode_statement(
            "5c", execute, prepared_name=shape.shared_name
        )
        assert target.run(lines) == (mode, text, "item-1 some data")


def test_a_caller_cannot_use_the_id_of_the_proxy():
    """A target takes a statement with this id for one that no caller sent."""
    [request] = LineFrontCodec().feed(b"QUERY - READ 1a4\r\n")
    assert request.statement.kind is StatementKind.INVALID
