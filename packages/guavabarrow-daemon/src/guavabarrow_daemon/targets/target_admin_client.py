"""Status queries and demotion requests to targets, each on a new connection."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, DeferredList, TimeoutError

from guavabarrow_core.session_messages import (
    FailureCode,
    OpenSession,
    Reply,
    TargetStatus,
)
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.targets.interface import (
    TargetConnectionBroken,
    TargetRefused,
    TargetUnreachable,
)
from guavabarrow_daemon.targets.session_driver import SessionDriver

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.session_codec import TargetCodec
    from guavabarrow_daemon.targets.session_connection import SessionConnection

OPEN_TIMEOUT_S = 0.35
"""A handshake takes 12 ms and a few one-way delays between failure domains."""

ANSWER_TIMEOUT_S = 0.3
"""A status query takes under 1 ms and a few one-way delays, but may wait for a slot of
the target."""


@dataclass(frozen=True, slots=True)
class StatusRound:
    """Result of asking several targets for their status at the same time.

    Parameters
    ----------
    asked_at : float
        Local time of the queries, in s.
    asked : list of TargetEntry
        Targets that were asked.
    status_by_id : dict of str to TargetStatus
        Statuses of the targets that answered.
    ended_ids : set of str
        Targets at whose address no process listens, or another target.
    replaced_ids : set of str
        Those of them at whose address another target answered.
    """

    asked_at: float
    asked: list[TargetEntry]
    status_by_id: dict[str, TargetStatus] = field(default_factory=dict)
    ended_ids: set[str] = field(default_factory=set)
    replaced_ids: set[str] = field(default_factory=set)


class TargetAdminClient:
    """Sends administrative requests on connections that belong to no team.

    Parameters
    ----------
    create_codec : callable
        Creates the codec of a connection.
    reactor : object
        Reactor that owns the sockets.
    """

    def __init__(self, create_codec: Callable[[], TargetCodec], reactor: Any) -> None:
        self._driver = SessionDriver(
            create_codec, reactor, open_timeout_s=OPEN_TIMEOUT_S
        )
        self._codec = create_codec()
        self._reactor = reactor

    async def open_connection(self, entry: TargetEntry) -> SessionConnection:
        """Open a connection to a target.

        Raises
        ------
        TargetUnreachable
            If the target cannot be reached or refuses the session.
        """
        open_message = OpenSession(entry.service, "", entry.target_id)
        try:
            return await self._driver.connect(entry.host, entry.port, open_message)
        except TargetRefused as error:
            is_replaced = error.code == FailureCode.WRONG_TARGET.value
            raise TargetUnreachable(str(error), is_replaced=is_replaced) from error
        except TargetConnectionBroken as error:
            raise TargetUnreachable(str(error)) from error

    async def status(self, entry: TargetEntry) -> TargetStatus | None:
        """Return a target's status, None without a valid answer."""
        return (await self.ask([entry])).status_by_id.get(entry.target_id)

    async def statuses(self, entries: list[TargetEntry]) -> dict[str, TargetStatus]:
        """Return the status of each target that answers, by target id."""
        return (await self.ask(entries)).status_by_id

    async def ask(self, entries: list[TargetEntry]) -> StatusRound:
        """Ask targets for their status; those without an answer are told apart."""
        answers = StatusRound(now_s(), entries)
        replies = [
            Deferred.fromCoroutine(self._ask(entry, answers)) for entry in entries
        ]
        results = await DeferredList(replies, consumeErrors=True)
        for entry, (is_success, result) in zip(entries, results, strict=True):
            if not is_success:
                log_decision(
                    "status_query_failed",
                    target=entry.target_id,
                    error=result.getTraceback(),
                )
        return answers

    async def _ask(self, entry: TargetEntry, answers: StatusRound) -> None:
        try:
            reply = await self._exchange(entry, self._codec.encode_status())
        except TargetUnreachable as error:
            log_decision("target_unanswered", target=entry.target_id, detail=str(error))
            if error.is_refused or error.is_replaced:
                answers.ended_ids.add(entry.target_id)
            if error.is_replaced:
                answers.replaced_ids.add(entry.target_id)
            return
        if reply is None or reply.failure is not None:
            return
        try:
            status = self._codec.decode_status(reply.rows)
        except ValueError as error:
            log_decision("status_unreadable", target=entry.target_id, detail=str(error))
        else:
            answers.status_by_id[entry.target_id] = status

    async def demote(self, entry: TargetEntry, term: int) -> None:
        """Demote a target because a new term begins."""
        reply = await self._request(entry, self._codec.encode_demote(term))
        log_decision(
            "primary_demoted" if reply else "demotion_unanswered",
            target=entry.target_id,
            term=term,
            answer=list(reply.rows) if reply else [],
        )

    async def _request(self, entry: TargetEntry, data: bytes) -> Reply | None:
        try:
            return await self._exchange(entry, data)
        except TargetUnreachable as error:
            log_decision("target_unanswered", target=entry.target_id, detail=str(error))
            return None

    async def _exchange(self, entry: TargetEntry, data: bytes) -> Reply | None:
        """Send a request on a new connection; return None without a reply in time."""
        connection = await self.open_connection(entry)
        reply = connection.send(data, 0, now_s())
        reply.addTimeout(ANSWER_TIMEOUT_S, self._reactor)
        try:
            return await reply
        except (TargetConnectionBroken, TimeoutError) as error:
            log_decision("target_unanswered", target=entry.target_id, detail=str(error))
            return None
        finally:
            connection.close()
