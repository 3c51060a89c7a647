from hypothesis import given
from hypothesis import strategies as st

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.session_token import (
    MAX_GROUPS,
    MAX_TOKEN_CHARS,
    SessionToken,
    TokenSigner,
)

SIGNER = TokenSigner(b"0123456789abcdef")
POSITIONS = st.builds(
    LogPosition, st.integers(0, 2**40), st.integers(min_value=0, max_value=2**50)
)


@given(st.dictionaries(st.text(max_size=20), POSITIONS, max_size=MAX_GROUPS))
def test_round_trip(by_group):
    token = SessionToken(by_group)
    assert SIGNER.decode(SIGNER.encode(token, team="a"), team="a").unwrap() == token


@given(st.integers(min_value=0), st.integers(min_value=1, max_value=255))
def test_changed_byte_is_rejected(position, change):
    text = SIGNER.encode(SessionToken({"g": LogPosition(1, 2)}), team="a")
    index = position % len(text)
    changed = text[:index] + chr((ord(text[index]) + change) % 128) + text[index + 1 :]
    decoded = SIGNER.decode(changed, team="a")
    assert changed == text or decoded.value_or(None) != SessionToken()
    if changed != text and decoded.value_or(None) is not None:
        # Base64 ignores unused bits of its last character; the content is unchanged.
        assert decoded.unwrap() == SessionToken({"g": LogPosition(1, 2)})


def test_token_of_another_team_is_rejected():
    text = SIGNER.encode(SessionToken({"g": LogPosition(1, 2)}), team="a")
    assert SIGNER.decode(text, team="b").failure()


def test_size_is_bounded_and_dropped_groups_require_the_primary():
    token = SessionToken()
    for number in range(100):
        token = token.advanced(f"service-with-a-long-name-{number}", LogPosition(9, 9))
    assert len(token.by_group) == MAX_GROUPS
    assert len(SIGNER.encode(token, team="a")) <= MAX_TOKEN_CHARS
    assert token.requires_primary("service-with-a-long-name-0")
    assert not token.requires_primary("service-with-a-long-name-99")


def test_older_position_is_ignored():
    token = SessionToken().advanced("g", LogPosition(2, 5))
    assert token.advanced("g", LogPosition(1, 9)).position_of("g") == LogPosition(2, 5)
