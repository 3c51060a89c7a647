"""Messages of sessions that are connections: statements, answers and failures.

The types carry no wire format; a codec translates them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition


class StatementKind(Enum):
    """What a statement asks for."""

    BEGIN = auto()
    BEGIN_READ_ONLY = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    READ = auto()
    WRITE = auto()
    SET = auto()
    PREPARE = auto()
    EXECUTE = auto()
    DEALLOCATE = auto()
    INVALID = auto()


class FailureCode(Enum):
    """Why a statement or a session got no result."""

    OVERLOADED = "overloaded"
    ABORTED = "aborted"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    WRONG_TARGET = "wrong_target"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    FAILED = "failed"
    UNKNOWN_PREPARED = "unknown_prepared"
    TIMEOUT = "timeout"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_DATABASE = "unknown_database"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    OUTCOME_UNKNOWN = "outcome_unknown"


NOT_RUN_CODES = frozenset(
    {
        FailureCode.OVERLOADED,
        FailureCode.BEHIND,
        FailureCode.READ_ONLY,
        FailureCode.WRONG_TARGET,
        FailureCode.TOO_MANY_CONNECTIONS,
        FailureCode.UNKNOWN_PREPARED,
    }
)
"""Codes with which a target says that it did not run the statement."""


class TransactionState(Enum):
    """State of a session between statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement as its caller sent it.

    Parameters
    ----------
    kind : StatementKind
        What it asks for.
    text : str
        Unchanged text.
    name : str
        Item, value name or prepared name, depending on the kind.
    argument : str
        Value of a setting, shape of a prepared statement, or the rest of the text.
    writes : bool
        Whether a prepared statement or a plain statement writes.
    """

    kind: StatementKind
    text: str
    name: str = ""
    argument: str = ""
    writes: bool = False

    @property
    def opens_transaction(self) -> bool:
        """Whether the statement begins a transaction."""
        return self.kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY)


@dataclass(frozen=True, slots=True)
class OpenSession:
    """First message on a connection.

    Parameters
    ----------
    database : str
        Database at the front, service at a target.
    principal : str
        Key of a caller at the front, team at a target.
    target_id : str
        Target that the sender expects; empty at the front.
    """

    database: str
    principal: str = ""
    target_id: str = ""


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """A statement with the id under which its caller sent it."""

    request_id: str
    statement: Statement


@dataclass(frozen=True, slots=True)
class CloseSession:
    """The peer ends the session."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a result, unchanged."""

    content: str


@dataclass(frozen=True, slots=True)
class Completed:
    """The statement succeeded.

    Parameters
    ----------
    signature : str
        Signature of the target over the result, empty if the proxy answered.
    """

    signature: str = ""


@dataclass(frozen=True, slots=True)
class StatementFailed:
    """The statement or the session failed."""

    code: FailureCode
    detail: str = ""


@dataclass(frozen=True, slots=True)
class SessionReady:
    """The session takes the next statement.

    Parameters
    ----------
    state : TransactionState
        Transaction state.
    position : LogPosition or None
        Position of the target's log, None if unknown.
    """

    state: TransactionState
    position: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """Bytes that are no message of the protocol; the stream cannot go on."""

    detail: str


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """What a target says about itself.

    Parameters
    ----------
    is_primary : bool
        Whether it accepts writes.
    term : int
        Newest term that it knows; its log may still end in an older one.
    received : LogPosition
        End of the log that it holds.
    paused_term : int
        Term for which it receives no log, 0 if it receives.
    lag_ms : float
        How late it applies, in ms.
    busy, connections : int
        Statements that run and open connections.
    """

    is_primary: bool
    term: int
    received: LogPosition
    paused_term: int = 0
    lag_ms: float = 0.0
    busy: int = 0
    connections: int = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """Everything that a target answered to one statement."""

    rows: tuple[str, ...]
    outcome: Completed | StatementFailed
    ready: SessionReady

    @property
    def failure(self) -> StatementFailed | None:
        """The failure, None after a success."""
        return self.outcome if isinstance(self.outcome, StatementFailed) else None
