"""Questions and orders to a target on a fresh connection of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, DeferredList, TimeoutError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionRefusedError

from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_core.session_messages import OpenSession, Reply, TargetStatus
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.targets.target_connection import (
    TargetConnection,
    TargetConnectionLost,
    TargetRefused,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.session_codec import TargetCodec

CONNECT_TIMEOUT_S = 0.35
"""A handshake takes 12 ms and a few crossings between failure domains."""

ANSWER_TIMEOUT_S = 0.3
"""A status takes under 1 ms and a few crossings, but may wait for a slot."""


class TargetUnreachable(GuavabarrowError):
    """The target gave no answer.

    Parameters
    ----------
    target_id : str
        The target.
    is_refused : bool
        Whether its machine answered that nothing listens.
    """

    def __init__(self, target_id: str, detail: str, *, is_refused: bool) -> None:
        super().__init__(f"{target_id}: {detail}")
        self.is_refused = is_refused


class TargetQuestions:
    """Asks targets on connections that name no team.

    Parameters
    ----------
    create_codec : callable
        Creates the codec of a connection.
    reactor : object
        Reactor that owns the sockets.
    """

    def __init__(self, create_codec: Callable[[], TargetCodec], reactor: Any) -> None:
        self._create_codec = create_codec
        self._codec = create_codec()
        self._reactor = reactor

    async def dial(self, entry: TargetEntry) -> TargetConnection:
        """Open a connection.

        Raises
        ------
        TargetUnreachable
            If the target did not take it.
        """
        opening = OpenSession(entry.service, "", entry.target_id)
        connection = TargetConnection(self._create_codec(), opening)
        endpoint = TCP4ClientEndpoint(
            self._reactor, entry.host, entry.port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            await connectProtocol(endpoint, connection)
            connection.opened.addTimeout(CONNECT_TIMEOUT_S, self._reactor)
            await connection.opened
        except TargetRefused as error:
            raise TargetUnreachable(
                entry.target_id, str(error), is_refused=False
            ) from error
        except ConnectionRefusedError as error:
            raise TargetUnreachable(
                entry.target_id, "refused", is_refused=True
            ) from error
        except Exception as error:
            connection.abort()
            detail = f"{type(error).__name__} {error}"
            raise TargetUnreachable(
                entry.target_id, detail, is_refused=False
            ) from error
        return connection

    async def status(self, entry: TargetEntry) -> TargetStatus | None:
        """Return where a target's log ends, None if it does not say."""
        reply = await self._ask(entry, self._codec.encode_status())
        if reply is None or reply.failure is not None:
            return None
        try:
            return self._codec.decode_status(reply.rows)
        except ValueError as error:
            log_decision("status_unreadable", target=entry.target_id, detail=str(error))
            return None

    async def statuses(self, entries: list[TargetEntry]) -> dict[str, TargetStatus]:
        """Return where the logs end of those targets that say so."""
        asked = [Deferred.fromCoroutine(self.status(entry)) for entry in entries]
        results = await DeferredList(asked, consumeErrors=True)
        return {
            entry.target_id: status
            for entry, (_, status) in zip(entries, results, strict=True)
            if isinstance(status, TargetStatus)
        }

    async def demote(self, entry: TargetEntry, term: int) -> None:
        """Tell a target to stop leading because a term begins."""
        reply = await self._ask(entry, self._codec.encode_demote(term))
        log_decision(
            "primary_demoted" if reply else "demotion_unanswered",
            target=entry.target_id,
            term=term,
            answer=list(reply.rows) if reply else [],
        )

    async def _ask(self, entry: TargetEntry, data: bytes) -> Reply | None:
        try:
            connection = await self.dial(entry)
        except TargetUnreachable as error:
            log_decision("target_unanswered", target=entry.target_id, detail=str(error))
            return None
        asked = connection.send(data, 0, now_s())
        asked.addTimeout(ANSWER_TIMEOUT_S, self._reactor)
        try:
            return await asked
        except (TargetConnectionLost, TimeoutError) as error:
            log_decision("target_unanswered", target=entry.target_id, detail=str(error))
            return None
        finally:
            connection.close()
