"""Storage engine of the stand-in database: SQLite, replicated log, terms, outcomes."""

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
PRUNE_INTERVAL = 1000


class EngineError(GuavabarrowError):
    """A request that the database rejects without effect.

    Parameters
    ----------
    code : str
        Code of the target protocol.
    detail : str
        Human-readable message.
    """

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of a request id; without a result the request must never run."""

    team: str
    request_id: str
    fingerprint: str
    result: bytes | None
    created_ms: int


class Payload(msgspec.Struct, frozen=True, array_like=True):
    """Statements and outcome of one committed transaction."""

    statements: list[tuple[str, list[Any]]] = []
    outcome: Outcome | None = None


@dataclass
class OpenTransaction:
    """Statements of the open write transaction."""

    statements: list[tuple[str, list[Any]]] = field(default_factory=list)
    last_result: Result | None = None


class DatabaseEngine:
    """One database; every call is synchronous and short.

    Parameters
    ----------
    path : Path
        SQLite file, which persists across restarts of the process.
    """

    def __init__(self, path: Path) -> None:
        self._writer = self._connect(path)
        self._writer.executescript(SCHEMA)
        self._reader = self._connect(path)
        self._reader.execute("PRAGMA query_only=ON")
        self.promised_term = int(self._read_meta("promised_term", "0"))
        self.promised_owner = self._read_meta("promised_owner", "")
        self.is_primary = False
        self._term_starts: list[TermStart] = []
        self._last_index = 0
        self._outcome_count = 0
        self._load_lineage()

    @property
    def lineage(self) -> Lineage:
        """Terms and last index of the log."""
        return Lineage(tuple(self._term_starts), self._last_index)

    @property
    def last(self) -> LogPosition:
        """Position of the last entry."""
        return self.lineage.last

    def read(self, message: Execute) -> Result:
        """Run a read against the committed data.

        Raises
        ------
        EngineError
            If the log does not satisfy the required position or the statement fails.
        """
        required = LogPosition(message.min_term, message.min_index)
        if not self.lineage.satisfies(required):
            raise EngineError(
                CODE_BEHIND, "The log has not reached the required position."
            )
        try:
            cursor = self._reader.execute(message.sql, message.params)
            return self._build_result(cursor, cursor.fetchall())
        except sqlite3.OperationalError as error:
            code = CODE_STATEMENT_FAILED
            if "readonly" in str(error):
                code = CODE_WRITE_IN_READ
            raise EngineError(code, str(error)) from error
        except sqlite3.Error as error:
            raise EngineError(CODE_STATEMENT_FAILED, str(error)) from error

    def check_writable(self, term: int) -> None:
        """Raise unless this database is the unfenced primary of ``term``."""
        if not self.is_primary or term != self.last.term or term != self.promised_term:
            raise EngineError(
                CODE_NOT_PRIMARY, f"This database is not the primary of term {term}."
            )

    def recorded_result(self, message: Execute | Commit) -> Result | None:
        """Return the recorded result of a request id, or None.

        Raises
        ------
        EngineError
            If the id was used with a different body or the request must not run.
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
            raise EngineError(
                CODE_MUST_NOT_RUN, "The request is recorded as one that must not run."
            )
        if fingerprint != message.fingerprint:
            raise EngineError(
                CODE_ID_REUSED, "The request id was used with a different body."
            )
        decoded = msgspec.json.decode(result, type=Result)
        return msgspec.structs.replace(
            decoded, term=self.last.term, index=self.last.index, replayed=True
        )

    def write(self, message: Execute) -> Result:
        """Run one write in its own transaction."""
        self.check_writable(message.term)
        previous_result = self.recorded_result(message)
        if previous_result is not None:
            return previous_result
        transaction = self.begin(message.term)
        try:
            self.execute(transaction, message)
        except EngineError:
            self.rollback()
            raise
        commit = Commit(message.team, message.request_id, message.fingerprint)
        return self.commit(transaction, commit, message.term)

    def begin(self, term: int) -> OpenTransaction:
        """Open a write transaction; only one may be open at a time."""
        self.check_writable(term)
        self._writer.execute("BEGIN IMMEDIATE")
        return OpenTransaction()

    def execute(self, transaction: OpenTransaction, message: Execute) -> Result:
        """Run a statement in the open transaction."""
        try:
            cursor = self._writer.execute(message.sql, message.params)
            rows = cursor.fetchall()
        except sqlite3.Error as error:
            raise EngineError(CODE_STATEMENT_FAILED, str(error)) from error
        transaction.statements.append((message.sql, message.params))
        transaction.last_result = self._build_result(cursor, rows)
        return transaction.last_result

    def commit(
        self, transaction: OpenTransaction, message: Commit, term: int
    ) -> Result:
        """Commit a transaction; log it together with its outcome."""
        try:
            self.check_writable(term)
            previous_result = self.recorded_result(message)
        except EngineError:
            self.rollback()
            raise
        if previous_result is not None:
            self.rollback()
            return previous_result
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
        self._insert_entry(
            LogEntry(term, result.index, msgspec.msgpack.encode(payload))
        )
        self._record_outcome(outcome, result.index)
        self._writer.execute("COMMIT")
        self._advance_lineage(term, result.index)
        return result

    def rollback(self) -> None:
        """Roll back the open transaction, if any."""
        if self._writer.in_transaction:
            self._writer.execute("ROLLBACK")

    def resolve(self, message: Resolve) -> Resolved:
        """Return the recorded outcome, or record that the request must never run."""
        self.check_writable(message.term)
        row = self._writer.execute(
            "SELECT result FROM _gb_outcome WHERE team = ? AND request_id = ?",
            (message.team, message.request_id),
        ).fetchone()
        if row is None:
            self._record_must_not_run(message)
        result = None
        if row is not None and row[0] is not None:
            decoded = msgspec.json.decode(row[0], type=Result)
            result = msgspec.structs.replace(decoded, replayed=True)
        return Resolved(result, self.last.term, self.last.index)

    def fence(self, term: int, owner: str) -> bool:
        """Promise a higher term, or confirm the same term to the same owner."""
        if term < self.promised_term:
            return False
        if term == self.promised_term:
            return owner == self.promised_owner and not self.is_primary
        self._store_promise(term, owner)
        self.is_primary = False
        return True

    def promote(self, term: int, owner: str) -> bool:
        """Become primary of a promised term and append its first entry."""
        if (term, owner) != (self.promised_term, self.promised_owner):
            return False
        if self.is_primary:
            return True
        index = self._last_index + 1
        payload = msgspec.msgpack.encode(Payload())
        self._writer.execute("BEGIN IMMEDIATE")
        self._insert_entry(LogEntry(term, index, payload))
        self._writer.execute("COMMIT")
        self._advance_lineage(term, index)
        self.is_primary = True
        return True

    def append_entries(self, message: Replicate) -> bool:
        """Append entries of a primary; reject terms lower than the promised one.

        Returns
        -------
        bool
            False if the term is too low or the log diverges before the entries.
        """
        if message.term < self.promised_term:
            return False
        if message.term > self.promised_term:
            self._store_promise(message.term, message.primary)
        self.is_primary = False
        previous = LogPosition(message.previous_term, message.previous_index)
        if not self.lineage.contains(previous):
            return False
        entries = [entry for entry in message.entries if not self._contains(entry)]
        if not entries:
            return True
        if entries[0].index <= self._last_index:
            self._truncate(entries[0].index - 1)
        self._append_and_replay(entries)
        return True

    def entries_after(self, index: int, limit: int) -> list[LogEntry]:
        """Return up to ``limit`` entries after ``index``."""
        rows = self._writer.execute(
            "SELECT term, idx, payload FROM _gb_log WHERE idx > ? ORDER BY idx LIMIT ?",
            (index, limit),
        ).fetchall()
        return [LogEntry(term, idx, payload) for term, idx, payload in rows]

    def term_at(self, index: int) -> int:
        """Return the term of the entry at ``index``, 0 for the empty log."""
        term = 0
        for start in self._term_starts:
            if start.index > index:
                break
            term = start.term
        return term

    def close(self) -> None:
        """Close the database file."""
        self._reader.close()
        self._writer.close()

    def _contains(self, entry: LogEntry) -> bool:
        return self.lineage.contains(LogPosition(entry.term, entry.index))

    def _append_and_replay(self, entries: list[LogEntry]) -> None:
        self._writer.execute("BEGIN IMMEDIATE")
        for entry in entries:
            self._insert_entry(entry)
            self._replay_entry(entry)
        self._writer.execute("COMMIT")
        for entry in entries:
            self._advance_lineage(entry.term, entry.index)

    def _replay_entry(self, entry: LogEntry) -> None:
        payload = msgspec.msgpack.decode(entry.payload, type=Payload)
        for sql, params in payload.statements:
            self._writer.execute(sql, params)
        self._record_outcome(payload.outcome, entry.index)

    def _truncate(self, last_index: int) -> None:
        """Discard later entries, which were never acknowledged; rebuild the data."""
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
            self._replay_entry(entry)
        self._writer.execute("COMMIT")
        self._load_lineage()

    def _record_must_not_run(self, message: Resolve) -> None:
        created_ms = int(time.time() * 1000)
        outcome = Outcome(message.team, message.request_id, "", None, created_ms)
        index = self._last_index + 1
        payload = msgspec.msgpack.encode(Payload([], outcome))
        self._writer.execute("BEGIN IMMEDIATE")
        self._insert_entry(LogEntry(message.term, index, payload))
        self._record_outcome(outcome, index)
        self._writer.execute("COMMIT")
        self._advance_lineage(message.term, index)

    def _insert_entry(self, entry: LogEntry) -> None:
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
        self._outcome_count += 1
        if self._outcome_count % PRUNE_INTERVAL == 0:
            retained_ms = (RETENTION_S + RETENTION_MARGIN_S) * 1000
            self._writer.execute(
                "DELETE FROM _gb_outcome WHERE created_ms < ?",
                (int(time.time() * 1000 - retained_ms),),
            )

    def _advance_lineage(self, term: int, index: int) -> None:
        if not self._term_starts or self._term_starts[-1].term != term:
            self._term_starts.append(TermStart(term, index))
        self._last_index = index

    def _load_lineage(self) -> None:
        rows = self._writer.execute(
            "SELECT term, MIN(idx) FROM _gb_log GROUP BY term ORDER BY term"
        ).fetchall()
        self._term_starts = [TermStart(term, index) for term, index in rows]
        last = self._writer.execute("SELECT MAX(idx) FROM _gb_log").fetchone()[0]
        self._last_index = last or 0

    def _store_promise(self, term: int, owner: str) -> None:
        self.promised_term = term
        self.promised_owner = owner
        self.rollback()
        self._writer.execute("BEGIN IMMEDIATE")
        for name, value in (("promised_term", str(term)), ("promised_owner", owner)):
            self._writer.execute(
                "INSERT OR REPLACE INTO _gb_meta VALUES (?, ?)", (name, value)
            )
        self._writer.execute("COMMIT")

    def _read_meta(self, name: str, default: str) -> str:
        row = self._writer.execute(
            "SELECT value FROM _gb_meta WHERE name = ?", (name,)
        ).fetchone()
        return row[0] if row else default

    def _build_result(self, cursor: sqlite3.Cursor, rows: list[tuple]) -> Result:
        columns = [column[0] for column in cursor.description or ()]
        return Result(
            columns=columns,
            rows=[list(row) for row in rows],
            row_count=max(0, cursor.rowcount),
            term=self.last.term,
            index=self.last.index,
        )

    @staticmethod
    def _connect(path: Path) -> sqlite3.Connection:
        connection = sqlite3.connect(path, isolation_level=None)
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=OFF")
        return connection
