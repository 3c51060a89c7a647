"""Messages between an entry VM and a database."""

from __future__ import annotations

from typing import Any

import msgspec

from guavabarrow_core.log_position import Lineage, LogPosition, TermStart


class Connect(msgspec.Struct, frozen=True):
    """Open a session on a connection with the credential of the VM, not of a caller."""

    credential: str
    client: str = ""


class Execute(msgspec.Struct, frozen=True, omit_defaults=True):
    """Run one statement, within the open transaction if there is one.

    Parameters
    ----------
    sql : str
        Statement text.
    params : list
        Positional parameters.
    read : bool
        Whether the statement only reads.
    term : int
        For writes, the term of the addressed primary.
    min_term, min_index : int
        For reads, the position that the log must satisfy.
    team : str
        Team that owns the request id.
    request_id : str
        Id under which the outcome is recorded; empty to record none.
    fingerprint : str
        Hash of the request, which detects reuse of an id for another request.
    """

    sql: str
    params: list[Any] = []
    read: bool = False
    term: int = 0
    min_term: int = 0
    min_index: int = 0
    team: str = ""
    request_id: str = ""
    fingerprint: str = ""


class Begin(msgspec.Struct, frozen=True):
    """Open a transaction on the primary of ``term``."""

    term: int


class Commit(msgspec.Struct, frozen=True, omit_defaults=True):
    """Commit the open transaction and record its outcome."""

    team: str = ""
    request_id: str = ""
    fingerprint: str = ""


class Resolve(msgspec.Struct, frozen=True):
    """Look up the outcome of a request; without one, record that it must never run."""

    term: int
    team: str
    request_id: str


class Resolved(msgspec.Struct, frozen=True):
    """Answer to :class:`Resolve`; ``result`` is None if the request did not run."""

    result: Result | None
    term: int
    index: int


class Result(msgspec.Struct, frozen=True):
    """Result of a statement or a commit.

    Parameters
    ----------
    columns : list of str
        Names of the columns.
    rows : list of list
        Rows of values.
    row_count : int
        Number of rows that a write changed.
    term, index : int
        Log position after the statement.
    replayed : bool
        Whether the recorded outcome of an earlier run was returned.
    """

    columns: list[str] = []
    rows: list[list[Any]] = []
    row_count: int = 0
    term: int = 0
    index: int = 0
    replayed: bool = False

    @property
    def position(self) -> LogPosition:
        """Log position after the statement."""
        return LogPosition(self.term, self.index)


class Watch(msgspec.Struct, frozen=True):
    """Request the status once it differs from ``known_*`` or ``hold_ms`` has passed."""

    known_term: int = 0
    known_index: int = 0
    known_promised: int = 0
    hold_ms: int = 0


class Status(msgspec.Struct, frozen=True):
    """State of a database.

    Parameters
    ----------
    database : str
        Name of the database.
    role : str
        ``primary`` or ``replica``.
    promised_term : int
        Highest term that the database has promised.
    starts : list of (int, int)
        Term and first index of each retained term.
    last_index : int
        Index of the last log entry.
    link_age_ms : float or None
        Time since the last message from a primary, in ms; None if the connection to it
        is broken.
    open_transactions : int
        Number of transactions open on client connections.
    """

    database: str
    role: str
    promised_term: int
    starts: list[tuple[int, int]]
    last_index: int
    link_age_ms: float | None
    open_transactions: int

    @property
    def lineage(self) -> Lineage:
        """Content of the log."""
        starts = tuple(TermStart(term, index) for term, index in self.starts)
        return Lineage(starts, self.last_index)


class Fence(msgspec.Struct, frozen=True):
    """Promise ``term`` to ``owner`` and refuse lower terms afterwards."""

    term: int
    owner: str


class FenceAnswer(msgspec.Struct, frozen=True):
    """Answer to :class:`Fence`."""

    granted: bool
    promised_term: int
    last_term: int
    last_index: int


class Promote(msgspec.Struct, frozen=True):
    """Become primary of ``term``, which was promised to ``owner``."""

    term: int
    owner: str


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log; the payload is opaque to proxies."""

    term: int
    index: int
    payload: bytes


class Replicate(msgspec.Struct, frozen=True):
    """Log entries that a primary sends to another database."""

    term: int
    primary: str
    previous_term: int
    previous_index: int
    entries: list[LogEntry]


class ReplicateAnswer(msgspec.Struct, frozen=True):
    """Answer to :class:`Replicate`."""

    accepted: bool
    promised_term: int
    starts: list[tuple[int, int]]
    last_index: int


class TargetProblem(msgspec.Struct, frozen=True):
    """Error answer of a database; the request had no effect.

    Parameters
    ----------
    code : str
        One of the ``CODE_`` constants.
    detail : str
        Human-readable explanation.
    """

    code: str
    detail: str = ""


CODE_BEHIND = "behind"
CODE_NOT_PRIMARY = "not_primary"
CODE_STATEMENT_FAILED = "statement_failed"
CODE_ID_REUSED = "request_id_reused"
CODE_MUST_NOT_RUN = "must_not_run"
CODE_TOO_MANY_CONNECTIONS = "too_many_connections"
CODE_UNAUTHENTICATED = "unauthenticated"
CODE_NO_TRANSACTION = "no_transaction"
CODE_WRITE_IN_READ = "write_in_read"
