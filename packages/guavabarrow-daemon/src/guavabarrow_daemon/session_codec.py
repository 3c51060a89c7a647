"""Abstract base classes of codecs that convert bytes to session messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_messages import (
        CloseSession,
        Completed,
        MalformedMessage,
        OpenSession,
        Row,
        SessionReady,
        Statement,
        StatementFailed,
        StatementRequest,
        TargetStatus,
    )
    from guavabarrow_core.session_values import RestorePlan

    CallerMessage = OpenSession | StatementRequest | CloseSession | MalformedMessage
    Answer = Row | Completed | StatementFailed | SessionReady
    TargetMessage = Answer | MalformedMessage


class FrontCodec(ABC):
    """Server side of a caller's connection."""

    @abstractmethod
    def feed(self, data: bytes) -> list[CallerMessage]:
        """Add received bytes and return the messages that are now complete."""

    @property
    @abstractmethod
    def buffered_bytes(self) -> int:
        """Length of the message that is not complete yet."""

    @abstractmethod
    def encode(self, answers: Iterable[Answer]) -> bytes:
        """Encode answers in order."""


class TargetCodec(ABC):
    """Client side of a connection to a target."""

    @abstractmethod
    def feed(self, data: bytes) -> list[TargetMessage]:
        """Add received bytes and return the messages that are now complete."""

    @abstractmethod
    def encode_open(self, message: OpenSession) -> bytes:
        """Encode the message that opens a session."""

    @abstractmethod
    def encode_statement(
        self,
        request_id: str,
        statement: Statement,
        *,
        prepared_name: str = "",
        after: LogPosition | None = None,
    ) -> bytes:
        """Encode a statement; only the name of a prepared statement may change.

        Parameters
        ----------
        request_id : str
            The caller's request id, empty for statements that the proxy issues.
        statement : Statement
            Statement to run.
        prepared_name : str
            Name of the prepared statement on this connection.
        after : LogPosition or None
            Position that the target's log must have reached.
        """

    @abstractmethod
    def encode_restore(self, plan: RestorePlan) -> tuple[bytes, int]:
        """Encode the statements of a plan; also return their number of answers."""

    @abstractmethod
    def encode_status(self) -> bytes:
        """Encode the query for a target's status."""

    @abstractmethod
    def decode_status(self, rows: tuple[str, ...]) -> TargetStatus:
        """Decode the row that answers the status query.

        Raises
        ------
        ValueError
            If the row cannot be decoded.
        """

    @abstractmethod
    def encode_demote(self, term: int) -> bytes:
        """Encode the command that demotes a primary because ``term`` begins."""

    @abstractmethod
    def encode_close(self) -> bytes:
        """Encode the message that closes the session."""
