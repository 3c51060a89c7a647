"""Messages of connection-based sessions: statements, replies and failures.

The types are independent of the wire format; a codec encodes and decodes them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition


class StatementKind(Enum):
    """Kind of a statement."""

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
    """Why a statement or a session failed."""

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
"""Failure codes of a target that guarantee that the statement was not run."""


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
        Kind of the statement.
    text : str
        Original text.
    name : str
        Name of the item, session value or prepared statement, depending on the kind.
    argument : str
        Session value, shape of a prepared statement, or the rest of the text; always
        the end of the text.
    writes : bool
        Whether the statement, prepared or not, writes.
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
        Database in a message to the front, service in one to a target.
    principal : str
        Key of the caller in a message to the front, team in one to a target.
    target_id : str
        Target that the sender expects; empty in a message to the front.
    """

    database: str
    principal: str = ""
    target_id: str = ""


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """A statement with the request id that its caller set."""

    request_id: str
    statement: Statement


@dataclass(frozen=True, slots=True)
class CloseSession:
    """The peer closes the session."""


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
    """The session is ready for the next statement.

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
    """Bytes that cannot be parsed; the rest of the stream is unusable."""

    detail: str


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Status that a target reports.

    Parameters
    ----------
    is_primary : bool
        Whether it accepts writes.
    term : int
        Newest term that it has seen; its last log entry may have an older one.
    received : LogPosition or None
        End of its log, None if it holds nothing.
    paused_term : int
        Term for which it has paused replication, 0 if it replicates.
    lag_ms : float
        Delay with which it applies the log, in ms.
    busy, connections : int
        Number of running statements and of open connections.
    """

    is_primary: bool
    term: int
    received: LogPosition | None
    paused_term: int = 0
    lag_ms: float = 0.0
    busy: int = 0
    connections: int = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """Complete reply of a target to one statement."""

    rows: tuple[str, ...]
    outcome: Completed | StatementFailed
    ready: SessionReady

    @property
    def failure(self) -> StatementFailed | None:
        """The failure, None after a success."""
        return self.outcome if isinstance(self.outcome, StatementFailed) else None
