"""Asynchronous replication of a primary's log to one peer."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import Deferred, TimeoutError

from guavabarrow_core.log_position import Lineage, TermStart
from guavabarrow_daemon.http.client_connection import (
    ConnectionBroken,
    HttpClientConnection,
    open_connection,
)
from guavabarrow_daemon.targets.http_messages import Replicate, ReplicateAnswer

if TYPE_CHECKING:
    from guavabarrow_cli.standins.database_engine import DatabaseEngine

HEARTBEAT_S = 0.05
TIMEOUT_S = 0.3
MAX_BATCH_ENTRIES = 200


class LogShipper:
    """Replicates the log of one database to one peer while it is primary.

    Parameters
    ----------
    engine : DatabaseEngine
        Engine whose log is replicated.
    reactor : object
        Reactor that owns the socket.
    name : str
        Name of the replicating database.
    host, port : str, int
        Address of the peer.
    faults : Faults
        Replication lag, and whether replication is enabled.
    """

    def __init__(
        self,
        engine: DatabaseEngine,
        reactor: Any,
        *,
        name: str,
        host: str,
        port: int,
        faults: Any,
    ) -> None:
        self._engine = engine
        self._reactor = reactor
        self._name = name
        self._address = (host, port)
        self._faults = faults
        self._connection: HttpClientConnection | None = None
        self._next_index = 0
        self._term = 0
        self._pending_commits: deque[tuple[float, int]] = deque()
        self._released_index = 0
        self._wakeup: Deferred[None] | None = None
        self._running = False

    def start(self) -> None:
        """Start the replication task."""
        self._running = True
        Deferred.fromCoroutine(self._run()).addErrback(lambda _: None)

    def stop(self) -> None:
        """Stop the replication task and abort the connection."""
        self._running = False
        if self._connection is not None:
            self._connection.abort()
        self._wake_up()

    def notify_commit(self) -> None:
        """Schedule the last entry for replication after the configured lag."""
        due_at = self._reactor.seconds() + self._faults.lag_ms / 1000
        self._pending_commits.append((due_at, self._engine.last.index))
        if self._faults.lag_ms:
            self._reactor.callLater(self._faults.lag_ms / 1000, self._wake_up)
        else:
            self._wake_up()

    def _wake_up(self) -> None:
        wakeup, self._wakeup = self._wakeup, None
        if wakeup is not None:
            wakeup.callback(None)

    async def _run(self) -> None:
        while self._running:
            shipped = False
            if self._engine.is_primary and self._faults.replication:
                shipped = await self._ship_batch()
            elif self._connection is not None:
                self._connection.abort()
                self._connection = None
            if not shipped and self._running:
                await self._wait_for_commit()

    async def _wait_for_commit(self) -> None:
        wakeup: Deferred[None] = Deferred()
        self._wakeup = wakeup
        timer = self._reactor.callLater(HEARTBEAT_S, self._wake_up)
        await wakeup
        if timer.active():
            timer.cancel()

    async def _ship_batch(self) -> bool:
        """Send one batch; return whether the next can be sent immediately."""
        term = self._engine.last.term
        if term != self._term:
            self._term = term
            self._next_index = self._engine.last.index
            self._released_index = self._engine.last.index
            self._pending_commits.clear()
        self._release_due_entries()
        entries = [
            entry
            for entry in self._engine.entries_after(
                self._next_index - 1, MAX_BATCH_ENTRIES
            )
            if entry.index <= self._released_index
        ]
        previous = self._next_index - 1
        message = Replicate(
            term, self._name, self._engine.term_at(previous), previous, entries
        )
        try:
            reply = await self._send(message)
        except (ConnectionBroken, TimeoutError, msgspec.MsgspecError):
            if self._connection is not None:
                self._connection.abort()
            self._connection = None
            return False
        if reply.accepted:
            self._next_index = previous + len(entries) + 1
            return self._next_index <= self._released_index
        if reply.promised_term > term:
            return False
        self._next_index = self._common_prefix(reply) + 1
        return True

    def _release_due_entries(self) -> None:
        now = self._reactor.seconds()
        while self._pending_commits and self._pending_commits[0][0] <= now:
            self._released_index = max(
                self._released_index, self._pending_commits.popleft()[1]
            )

    async def _send(self, message: Replicate) -> ReplicateAnswer:
        connection = self._connection
        if connection is None or not connection.is_open:
            host, port = self._address
            connection = await open_connection(
                self._reactor, host, port, timeout_s=TIMEOUT_S
            )
            self._connection = connection
        pending = connection.request("POST", "/replicate", msgspec.json.encode(message))
        response = await pending.addTimeout(TIMEOUT_S, self._reactor)
        return msgspec.json.decode(response.body, type=ReplicateAnswer)

    def _common_prefix(self, reply: ReplicateAnswer) -> int:
        starts = tuple(TermStart(term, index) for term, index in reply.starts)
        peer_lineage = Lineage(starts, reply.last_index)
        index = min(peer_lineage.last_index, self._engine.last.index)
        for start in reversed(peer_lineage.starts):
            if start.index > index:
                continue
            if self._engine.term_at(index) == start.term:
                return index
            index = start.index - 1
        return max(0, index)
