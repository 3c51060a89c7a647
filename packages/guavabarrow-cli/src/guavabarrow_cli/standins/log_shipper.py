"""Ships the log of a primary to one peer, asynchronously."""

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
BATCH = 200


class LogShipper:
    """Link from one database to one peer; idle while not primary.

    Parameters
    ----------
    engine : DatabaseEngine
        Source of the log.
    reactor : object
        Reactor that owns the socket.
    name : str
        Name of the source.
    host, port : str, int
        Address of the peer.
    faults : Faults
        Lag and switch of the replication.
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
        self._committed: deque[tuple[float, int]] = deque()
        self._released_index = 0
        self._wake: Deferred[None] | None = None
        self._running = False

    def start(self) -> None:
        """Start the shipping task."""
        self._running = True
        Deferred.fromCoroutine(self._run()).addErrback(lambda _: None)

    def stop(self) -> None:
        """Stop the task and close the link."""
        self._running = False
        if self._connection is not None:
            self._connection.abort()
        self._notify()

    def committed(self) -> None:
        """Note a commit; it is shipped after the lag."""
        due = self._reactor.seconds() + self._faults.lag_ms / 1000
        self._committed.append((due, self._engine.last.index))
        if self._faults.lag_ms:
            self._reactor.callLater(self._faults.lag_ms / 1000, self._notify)
        else:
            self._notify()

    def _notify(self) -> None:
        wake, self._wake = self._wake, None
        if wake is not None:
            wake.callback(None)

    async def _run(self) -> None:
        while self._running:
            shipped = False
            if self._engine.is_primary and self._faults.replication:
                shipped = await self._ship()
            elif self._connection is not None:
                self._connection.abort()
                self._connection = None
            if not shipped and self._running:
                await self._pause()

    async def _pause(self) -> None:
        wake: Deferred[None] = Deferred()
        self._wake = wake
        timer = self._reactor.callLater(HEARTBEAT_S, self._notify)
        await wake
        if timer.active():
            timer.cancel()

    async def _ship(self) -> bool:
        """Send one batch; True if more may follow at once."""
        term = self._engine.last.term
        if term != self._term:
            self._term = term
            self._next_index = self._engine.last.index
            self._released_index = self._engine.last.index
            self._committed.clear()
        self._release()
        entries = [
            entry
            for entry in self._engine.entries_after(self._next_index - 1, BATCH)
            if entry.index <= self._released_index
        ]
        previous = self._next_index - 1
        message = Replicate(
            term, self._name, self._engine.term_of(previous), previous, entries
        )
        try:
            answer = await self._send(message)
        except (ConnectionBroken, TimeoutError, msgspec.MsgspecError):
            if self._connection is not None:
                self._connection.abort()
            self._connection = None
            return False
        if answer.accepted:
            self._next_index = previous + len(entries) + 1
            return self._next_index <= self._released_index
        if answer.promised_term > term:
            return False
        self._next_index = self._common_prefix(answer) + 1
        return True

    def _release(self) -> None:
        now = self._reactor.seconds()
        while self._committed and self._committed[0][0] <= now:
            self._released_index = max(
                self._released_index, self._committed.popleft()[1]
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

    def _common_prefix(self, answer: ReplicateAnswer) -> int:
        starts = tuple(TermStart(term, index) for term, index in answer.starts)
        theirs = Lineage(starts, answer.last_index)
        index = min(theirs.last_index, self._engine.last.index)
        for start in reversed(theirs.starts):
            if start.index > index:
                continue
            if self._engine.term_of(index) == start.term:
                return index
            index = start.index - 1
        return max(0, index)
