"""Storage of the stand-in database: SQLite, a replicated log, terms and outcomes."""

from __future__ import annotations

import sqlite3
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_core.log_position import Lineage, LogPosition, TermStart
from guavabarrow_core.request_id import RETENTION_S
from guavabarrow_daemon.targets.http_messages import (
    CODE_BEHIND,
    CODE_ID_REUSED,
    CODE_MUST_NOT_RUN,
    CODE_NOT_PRIMARY,
    CODE_STATEMENT_FAILED,
    CODE_WRITE_IN_READ,
    Commit,
    Execute,
    LogEntry,
    Replicate,
    Resolve,
    Resolved,
    Result,
)

if TYPE_CHECKING:
    from pathlib import Path

SCHEMA = """
CREATE TABLE IF NOT EXISTS _gb_meta (name TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS _gb_log (
    idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, payload BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS _gb_outcome (
    team TEXT NOT NULL, request_id TEXT NOT NULL, fingerprint TEXT NOT NULL,
    result BLOB, idx INTEGER NOT NULL, created_ms INTEGER NOT NULL,
    PRIMARY KEY (team, request_id));
"""
RETENTION_MARGIN_S = 3600.0
PRUNE_EVERY = 1000


class EngineProblem(GuavabarrowError):
    """A request that the database refuses without effect.

    Parameters
    ----------
    code : str
        Code of the target protocol.
    detail : str
        Text for people.
    """

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class Outcome(msgspec.Struct, frozen=True):
    """Outcome recorded with an effect; a missing result means: must never run."""

    team: str
    request_id: str
    fingerprint: str
    result: bytes | None
    created_ms: int


class Payload(msgspec.Struct, frozen=True, array_like=True):
    """Effect of one committed transaction."""

    statements: list[tuple[str, list[Any]]] = []
    outcome: Outcome | None = None


@dataclass
class OpenTransaction:
    """Statements of the transaction that holds the writer."""

    statements: list[tuple[str, list[Any]]] = field(default_factory=list)
    last_result: Result | None = None


class DatabaseEngine:
    """One database; all calls are synchronous and short.

    Parameters
    ----------
    path : Path
        SQLite file; it survives the end of the process.
    """

    def __init__(self, path: Path) -> None:
        self._writer = self._open(path)
        self._writer.executescript(SCHEMA)
        self._reader = self._open(path)
        self._reader.execute("PRAGMA query_only=ON")
        self.promised_term = int(self._meta("promised_term", "0"))
        self.promised_owner = self._meta("promised_owner", "")
        self.is_primary = False
        self._starts: list[TermStart] = []
        self._last_index = 0
        self._commits = 0
        self._load_lineage()

    @property
    def lineage(self) -> Lineage:
        """Content of the log."""
        return Lineage(tuple(self._starts), self._last_index)

    @property
    def last(self) -> LogPosition:
        """Position of the last entry."""
        return self.lineage.last

    def read(self, message: Execute) -> Result:
        """Run a read on the committed data.

        Raises
        ------
        EngineProblem
            If the log does not satisfy the required position or the SQL fails.
        """
        required = LogPosition(message.min_term, message.min_index)
        if not self.lineage.satisfies(required):
            raise EngineProblem(CODE_BEHIND, "The log has not reached the position.")
        try:
            cursor = self._reader.execute(message.sql, message.params)
            return self._result(cursor, cursor.fetchall())
        except sqlite3.OperationalError as error:
            code = CODE_STATEMENT_FAILED
            if "readonly" in str(error):
                code = CODE_WRITE_IN_READ
            raise EngineProblem(code, str(error)) from error
        except sqlite3.Error as error:
            raise EngineProblem(CODE_STATEMENT_FAILED, str(error)) from error

    def check_writable(self, term: int) -> None:
        """Refuse unless this is the unfenced primary of ``term``."""
        if not self.is_primary or term != self.last.term or term != self.promised_term:
            raise EngineProblem(
                CODE_NOT_PRIMARY, f"Not the primary of term {term} (any more)."
            )

    def recorded(self, message: Execute | Commit) -> Result | None:
        """Return the recorded result of a request id, None if there is none.

        Raises
        ------
        EngineProblem
            If the id was used with another body or must never run.
        """
        if not message.request_id:
            return None
        row = self._writer.execute(
            "SELECT fingerprint, result, idx FROM _gb_outcome"
            " WHERE team = ? AND request_id = ?",
            (message.team, message.request_id),
        ).fetchone()
        if row is None:
            return None
        fingerprint, result, _ = row
        if result is None:
            raise EngineProblem(CODE_MUST_NOT_RUN, "The request was ruled out.")
        if fingerprint != message.fingerprint:
            raise EngineProblem(CODE_ID_REUSED, "The id was used with another body.")
        decoded = msgspec.json.decode(result, type=Result)
        return msgspec.structs.replace(
            decoded, term=self.last.term, index=self.last.index, replayed=True
        )

    def write(self, message: Execute) -> Result:
        """Run one write in a transaction of its own."""
        self.check_writable(message.term)
        known = self.recorded(message)
        if known is not None:
            return known
        transaction = self.begin(message.term)
        try:
            self.execute(transaction, message)
        except EngineProblem:
            self.rollback()
            raise
        commit = Commit(message.team, message.request_id, message.fingerprint)
        return self.commit(transaction, commit, message.term)

    def begin(self, term: int) -> OpenTransaction:
        """Open the only write transaction."""
        self.check_writable(term)
        self._writer.execute("BEGIN IMMEDIATE")
        return OpenTransaction()

    def execute(self, transaction: OpenTransaction, message: Execute) -> Result:
        """Run a statement in the open transaction."""
        try:
            cursor = self._writer.execute(message.sql, message.params)
            rows = cursor.fetchall()
        except sqlite3.Error as error:
            raise EngineProblem(CODE_STATEMENT_FAILED, str(error)) from error
        transaction.statements.append((message.sql, message.params))
        transaction.last_result = self._result(cursor, rows)
        return transaction.last_result

    def commit(
        self, transaction: OpenTransaction, message: Commit, term: int
    ) -> Result:
        """Append the transaction and its outcome to the log and commit."""
        try:
            self.check_writable(term)
            known = self.recorded(message)
        except EngineProblem:
            self.rollback()
            raise
        if known is not None:
            self.rollback()
            return known
        last_result = transaction.last_result or Result()
        result = msgspec.structs.replace(
            last_result, term=term, index=self._last_index + 1
        )
        outcome = None
        if message.request_id:
            outcome = Outcome(
                message.team,
                message.request_id,
                message.fingerprint,
                msgspec.json.encode(result),
                int(time.time() * 1000),
            )
        payload = Payload(transaction.statements, outcome)
        self._append(LogEntry(term, result.index, msgspec.msgpack.encode(payload)))
        self._record_outcome(outcome, result.index)
        self._writer.execute("COMMIT")
        self._advance(term, result.index)
        return result

    def rollback(self) -> None:
        """End the open transaction without effect."""
        if self._writer.in_transaction:
            self._writer.execute("ROLLBACK")

    def resolve(self, message: Resolve) -> Resolved:
        """Return a recorded outcome, or record that the request must never run."""
        self.check_writable(message.term)
        row = self._writer.execute(
            "SELECT result FROM _gb_outcome WHERE team = ? AND request_id = ?",
            (message.team, message.request_id),
        ).fetchone()
        if row is None:
            self._rule_out(message)
        result = None
        if row is not None and row[0] is not None:
            decoded = msgspec.json.decode(row[0], type=Result)
            result = msgspec.structs.replace(decoded, replayed=True)
        return Resolved(result, self.last.term, self.last.index)

    def fence(self, term: int, owner: str) -> bool:
        """Promise a term; only a higher one, or the same one to the same owner."""
        if term < self.promised_term:
            return False
        if term == self.promised_term:
            return owner == self.promised_owner and not self.is_primary
        self._promise(term, owner)
        self.is_primary = False
        return True

    def promote(self, term: int, owner: str) -> bool:
        """Become primary of a promised term and write its first entry."""
        if (term, owner) != (self.promised_term, self.promised_owner):
            return False
        if self.is_primary:
            return True
        index = self._last_index + 1
        payload = msgspec.msgpack.encode(Payload())
        self._writer.execute("BEGIN IMMEDIATE")
        self._append(LogEntry(term, index, payload))
        self._writer.execute("COMMIT")
        self._advance(term, index)
        self.is_primary = True
        return True

    def accept_log(self, message: Replicate) -> bool:
        """Take log from a primary; refuse a lower term than promised.

        Returns
        -------
        bool
            False if the term is too low or the log before the entries differs.
        """
        if message.term < self.promised_term:
            return False
        if message.term > self.promised_term:
            self._promise(message.term, message.primary)
        self.is_primary = False
        previous = LogPosition(message.previous_term, message.previous_index)
        if not self.lineage.contains(previous):
            return False
        entries = [entry for entry in message.entries if not self._holds(entry)]
        if not entries:
            return True
        if entries[0].index <= self._last_index:
            self._truncate(entries[0].index - 1)
        self._apply(entries)
        return True

    def entries_after(self, index: int, limit: int) -> list[LogEntry]:
        """Return up to ``limit`` entries after ``index``."""
        rows = self._writer.execute(
            "SELECT term, idx, payload FROM _gb_log WHERE idx > ? ORDER BY idx LIMIT ?",
            (index, limit),
        ).fetchall()
        return [LogEntry(term, idx, payload) for term, idx, payload in rows]

    def term_of(self, index: int) -> int:
        """Return the term of the entry at ``index``, 0 for the empty log."""
        term = 0
        for start in self._starts:
            if start.index > index:
                break
            term = start.term
        return term

    def close(self) -> None:
        """Close the files."""
        self._reader.close()
        self._writer.close()

    def _holds(self, entry: LogEntry) -> bool:
        return self.lineage.contains(LogPosition(entry.term, entry.index))

    def _apply(self, entries: list[LogEntry]) -> None:
        self._writer.execute("BEGIN IMMEDIATE")
        for entry in entries:
            self._append(entry)
            self._run(entry)
        self._writer.execute("COMMIT")
        for entry in entries:
            self._advance(entry.term, entry.index)

    def _run(self, entry: LogEntry) -> None:
        payload = msgspec.msgpack.decode(entry.payload, type=Payload)
        for sql, params in payload.statements:
            self._writer.execute(sql, params)
        self._record_outcome(payload.outcome, entry.index)

    def _truncate(self, last_index: int) -> None:
        """Discard entries that were never acknowledged and rebuild the data."""
        self._writer.execute("BEGIN IMMEDIATE")
        self._writer.execute("DELETE FROM _gb_log WHERE idx > ?", (last_index,))
        names = self._writer.execute(
            "SELECT type, name FROM sqlite_master WHERE type IN ('table', 'view')"
            " AND name NOT LIKE '\\_gb\\_%' ESCAPE '\\' AND name NOT LIKE 'sqlite_%'"
        ).fetchall()
        for kind, name in names:
            self._writer.execute(f'DROP {kind} "{name}"')
        self._writer.execute("DELETE FROM _gb_outcome")
        for entry in self.entries_after(0, last_index):
            self._run(entry)
        self._writer.execute("COMMIT")
        self._load_lineage()

    def _rule_out(self, message: Resolve) -> None:
        created_ms = int(time.time() * 1000)
        outcome = Outcome(message.team, message.request_id, "", None, created_ms)
        index = self._last_index + 1
        payload = msgspec.msgpack.encode(Payload([], outcome))
        self._writer.execute("BEGIN IMMEDIATE")
        self._append(LogEntry(message.term, index, payload))
        self._record_outcome(outcome, index)
        self._writer.execute("COMMIT")
        self._advance(message.term, index)

    def _append(self, entry: LogEntry) -> None:
        self._writer.execute(
            "INSERT INTO _gb_log VALUES (?, ?, ?)",
            (entry.index, entry.term, entry.payload),
        )

    def _record_outcome(self, outcome: Outcome | None, index: int) -> None:
        if outcome is None:
            return
        self._writer.execute(
            "INSERT INTO _gb_outcome VALUES (?, ?, ?, ?, ?, ?)",
            (
                outcome.team,
                outcome.request_id,
                outcome.fingerprint,
                outcome.result,
                index,
                outcome.created_ms,
            ),
        )
        self._commits += 1
        if self._commits % PRUNE_EVERY == 0:
            retained_ms = (RETENTION_S + RETENTION_MARGIN_S) * 1000
            self._writer.execute(
                "DELETE FROM _gb_outcome WHERE created_ms < ?",
                (int(time.time() * 1000 - retained_ms),),
            )

    def _advance(self, term: int, index: int) -> None:
        if not self._starts or self._starts[-1].term != term:
            self._starts.append(TermStart(term, index))
        self._last_index = index

    def _load_lineage(self) -> None:
        rows = self._writer.execute(
            "SELECT term, MIN(idx) FROM _gb_log GROUP BY term ORDER BY term"
        ).fetchall()
        self._starts = [TermStart(term, index) for term, index in rows]
        last = self._writer.execute("SELECT MAX(idx) FROM _gb_log").fetchone()[0]
        self._last_index = last or 0

    def _promise(self, term: int, owner: str) -> None:
        self.promised_term = term
        self.promised_owner = owner
        self.rollback()
        self._writer.execute("BEGIN IMMEDIATE")
        for name, value in (("promised_term", str(term)), ("promised_owner", owner)):
            self._writer.execute(
                "INSERT OR REPLACE INTO _gb_meta VALUES (?, ?)", (name, value)
            )
        self._writer.execute("COMMIT")

    def _meta(self, name: str, default: str) -> str:
        row = self._writer.execute(
            "SELECT value FROM _gb_meta WHERE name = ?", (name,)
        ).fetchone()
        return row[0] if row else default

    def _result(self, cursor: sqlite3.Cursor, rows: list[tuple]) -> Result:
        columns = [column[0] for column in cursor.description or ()]
        return Result(
            columns=columns,
            rows=[list(row) for row in rows],
            row_count=max(0, cursor.rowcount),
            term=self.last.term,
            index=self.last.index,
        )

    @staticmethod
    def _open(path: Path) -> sqlite3.Connection:
        connection = sqlite3.connect(path, isolation_level=None)
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=OFF")
        return connection
