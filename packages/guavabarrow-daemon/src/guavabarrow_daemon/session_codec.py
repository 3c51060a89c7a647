"""Abstract base classes of the codecs between bytes and session messages."""

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
        """Take bytes and return the complete messages in them."""

    @abstractmethod
    def encode(self, answers: Iterable[Answer]) -> bytes:
        """Return the bytes of answers in order."""


class TargetCodec(ABC):
    """Client side of a connection to a target."""

    @abstractmethod
    def feed(self, data: bytes) -> list[TargetMessage]:
        """Take bytes and return the complete messages in them."""

    @abstractmethod
    def encode_open(self, message: OpenSession) -> bytes:
        """Return the first message of a session."""

    @abstractmethod
    def encode_statement(
        self,
        request_id: str,
        statement: Statement,
        *,
        prepared_name: str = "",
        after: LogPosition | None = None,
    ) -> bytes:
        """Return a caller's statement, unchanged but for a prepared name.

        Parameters
        ----------
        request_id : str
            The caller's id, empty for a statement of the proxy's own.
        statement : Statement
            Statement to run.
        prepared_name : str
            Name under which this connection knows the prepared statement.
        after : LogPosition or None
            Position that the target's log must hold.
        """

    @abstractmethod
    def encode_restore(self, plan: RestorePlan) -> tuple[bytes, int]:
        """Return the statements of a plan and how many answers they bring."""

    @abstractmethod
    def encode_status(self) -> bytes:
        """Return the question for a target's status."""

    @abstractmethod
    def decode_status(self, rows: tuple[str, ...]) -> TargetStatus:
        """Translate the row that answers the question.

        Raises
        ------
        ValueError
            If it can't be read.
        """

    @abstractmethod
    def encode_demote(self, term: int) -> bytes:
        """Return the order to stop leading because ``term`` begins."""

    @abstractmethod
    def encode_close(self) -> bytes:
        """Return the end of the session."""
