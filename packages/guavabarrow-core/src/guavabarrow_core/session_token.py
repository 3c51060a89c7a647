"""Session tokens: log positions that a session has observed, kept by the caller.

A token lists the highest log position observed per database group. Any VM can verify
it, so sessions move between VMs without shared state.
"""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec
from returns.result import Failure, Result, Success

from guavabarrow_core.exceptions import TokenError
from guavabarrow_core.log_position import LogPosition

MAX_GROUPS = 32
MAC_BYTES = 16
MAX_TOKEN_CHARS = 4096


@dataclass(frozen=True, slots=True)
class SessionToken:
    """Log positions that a session has observed.

    Parameters
    ----------
    by_group : dict of str to LogPosition
        Highest position observed, keyed by group.
    overflowed : bool
        True once groups were dropped to bound the size. Groups that are not
        listed must then be read at their primary.
    """

    by_group: dict[str, LogPosition] = field(default_factory=dict)
    overflowed: bool = False

    def advanced(self, group: str, position: LogPosition) -> SessionToken:
        """Return the token after the session has observed ``position``.

        Parameters
        ----------
        group : str
            Database group.
        position : LogPosition
            Observed position; one older than recorded is ignored.

        Returns
        -------
        SessionToken
            The most recently used groups are kept, at most ``MAX_GROUPS``.
        """
        recorded = self.by_group.get(group)
        highest = position if recorded is None else max(recorded, position)
        by_group = {name: at for name, at in self.by_group.items() if name != group}
        by_group[group] = highest
        overflowed = self.overflowed
        while len(by_group) > MAX_GROUPS:
            del by_group[next(iter(by_group))]
            overflowed = True
        return SessionToken(by_group, overflowed)

    def position_of(self, group: str) -> LogPosition:
        """Return the position observed in ``group``, the empty log if none."""
        return self.by_group.get(group, LogPosition(0, 0))

    def requires_primary(self, group: str) -> bool:
        """Return whether only the primary can satisfy this token for ``group``."""
        return self.overflowed and group not in self.by_group


class TokenSigner:
    """Encodes and verifies session tokens with a keyed hash.

    Parameters
    ----------
    secret : bytes
        Secret shared by all VMs, 16 to 64 bytes.

    Examples
    --------
    >>> signer = TokenSigner(b"0123456789abcdef")
    >>> token = SessionToken().advanced("orders", LogPosition(1, 4))
    >>> signer.decode(signer.encode(token, team="kilima"), team="kilima").unwrap() == token
    True
    >>> signer.decode("x", team="kilima").failure()
    TokenError('The session token is malformed. Send the last token unchanged.')
    """  # noqa: E501

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def encode(self, token: SessionToken, *, team: str) -> str:
        """Return the header value for ``token``.

        Parameters
        ----------
        token : SessionToken
            Token to encode.
        team : str
            Team that may present it.

        Returns
        -------
        str
            URL-safe base64 text.
        """
        entries = [(name, at.term, at.index) for name, at in token.by_group.items()]
        body = msgspec.msgpack.encode((token.overflowed, entries))
        return urlsafe_b64encode(self._mac(body, team) + body).decode("ascii")

    def decode(self, text: str, *, team: str) -> Result[SessionToken, TokenError]:
        """Verify and decode a header value.

        Parameters
        ----------
        text : str
            Header value as received.
        team : str
            Team that presents it.

        Returns
        -------
        Result of SessionToken or TokenError
            The failure is the same for forged tokens and tokens of other teams.
        """
        if len(text) > MAX_TOKEN_CHARS:
            return Failure(TokenError("The session token is too long."))
        try:
            raw = urlsafe_b64decode(text.encode("ascii"))
            body = raw[MAC_BYTES:]
            authentic = hmac.compare_digest(raw[:MAC_BYTES], self._mac(body, team))
            if not authentic:
                return Failure(TokenError("The session token is not authentic."))
            overflowed, entries = msgspec.msgpack.decode(
                body, type=tuple[bool, list[tuple[str, int, int]]]
            )
        except (ValueError, msgspec.MsgspecError):
            message = "The session token is malformed. Send the last token unchanged."
            return Failure(TokenError(message))
        by_group = {name: LogPosition(term, at) for name, term, at in entries}
        return Success(SessionToken(by_group, overflowed))

    def _mac(self, body: bytes, team: str) -> bytes:
        person = blake2b(team.encode(), digest_size=16).digest()
        return blake2b(
            body, key=self._secret, person=person, digest_size=MAC_BYTES
        ).digest()
