"""HTTP/1.1 and JSON API for callers."""

from __future__ import annotations

import math
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import msgspec

from guavabarrow_core.exceptions import (
    BadRequest,
    BadToken,
    BodyTooLarge,
    DeadlineExceeded,
    ExecutionStatus,
    KeyInStatement,
    Overloaded,
    RequestError,
    RequestIdRequired,
    ServiceNotAllowed,
    Unauthenticated,
    UnknownRoute,
)
from guavabarrow_core.fleet import OPEN_TEAM
from guavabarrow_core.read_router import ReadRequirement
from guavabarrow_core.request_id import check_request_id
from guavabarrow_core.session_token import SessionToken, TokenSigner
from guavabarrow_core.statement import check_statement
from guavabarrow_daemon.caller_context import (
    CallerContext,
    StatementAnswer,
    StatementBody,
)
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.drain_service import DrainService
from guavabarrow_daemon.front.interface import CallerFront
from guavabarrow_daemon.http.site import Routes, TrackedSite, answer
from guavabarrow_daemon.key_service import OPEN_OWNER, KeyService
from guavabarrow_daemon.ledger_service import OPEN_LIMITS, LedgerService
from guavabarrow_daemon.metrics import Metrics
from guavabarrow_daemon.statement_service import StatementService
from guavabarrow_daemon.targets.http_messages import Execute, Result
from guavabarrow_daemon.transaction_service import TransactionService

if TYPE_CHECKING:
    from guavabarrow_core.key_ring import KeyOwner
    from guavabarrow_daemon.http.site import MemoryRequest as Request
    from guavabarrow_daemon.kernel import Kernel
    from guavabarrow_daemon.settings import Settings

UNKNOWN_TEAM = "unknown"
PROBLEM_TYPE = b"application/problem+json"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem document (RFC 9457) of a failed request."""

    type: str
    title: str
    status: int
    code: str
    ran: str
    detail: str
    retry_after_ms: int | None = None


@dataclass(slots=True)
class RequestRecord:
    """Values of one request that label its metrics."""

    team: str = UNKNOWN_TEAM
    code: str = "ok"
    ran: ExecutionStatus = ExecutionStatus.RAN


class CallerApi(CallerFront):
    """HTTP server for callers.

    Parameters
    ----------
    kernel : Kernel
        Service registry.
    settings : Settings
        Listening address and limits.
    reactor : object
        Twisted reactor.
    wall_clock : callable
        Returns the Unix time in s, to check the age of request ids.
    """

    name = "callers"

    def __init__(
        self, kernel: Kernel, settings: Settings, reactor: Any, wall_clock: Any
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._reactor = reactor
        self._wall_clock = wall_clock
        self._configuration = kernel.find(ConfigurationService)
        self._keys = kernel.find(KeyService)
        self._ledger = kernel.find(LedgerService)
        self._statements = kernel.find(StatementService)
        self._transactions = kernel.find(TransactionService)
        self._drain = kernel.find(DrainService)
        self._metrics = kernel.find(Metrics)
        self._signer = TokenSigner(settings.secrets.token.get_secret_value().encode())
        self._body_decoder = msgspec.json.Decoder(StatementBody)
        self._site = TrackedSite(
            self._routes(), max_body_bytes=settings.limits.max_body_bytes
        )
        self._port: Any = None
        self.address = str(settings.callers)

    async def start(self) -> None:
        """Start listening for callers."""
        address = self._settings.callers
        self._port = self._reactor.listenTCP(
            address.port, self._site, interface=address.host, backlog=1024
        )
        self.address = f"{address.host}:{self._port.getHost().port}"

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self._port is not None:
            await self._port.stopListening()
        for channel in list(self._site.channels):
            channel.loseConnection()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new callers here."""
        return self._drain.is_ready

    @property
    def open_work(self) -> int:
        """Number of requests and transactions in progress."""
        return self._drain.in_progress + len(self._transactions)

    async def drain(self) -> None:
        """Reject new work and wait up to the grace period for running work."""
        await self._drain.drain()

    def _routes(self) -> Routes:
        routes = Routes(self._handle)
        routes.add("GET", "/healthz", self._health)
        routes.add("GET", "/readyz", self._ready)
        return routes

    async def _health(self, request: Request) -> None:
        answer(request, 200, b'{"status": "ok"}')

    async def _ready(self, request: Request) -> None:
        status = 200 if self._drain.is_ready else 503
        body = msgspec.json.encode({"readiness": self._drain.readiness.value})
        answer(request, status, body)

    async def _handle(self, request: Request) -> None:
        started_at = self._reactor.seconds()
        self._drain.begin_request()
        record = RequestRecord()
        try:
            await self._dispatch(request, started_at, record)
        except RequestError as request_error:
            record.code, record.ran = request_error.code, request_error.ran
            self._reply_error(request, request_error)
        finally:
            self._drain.end_request()
            self._record_metrics(record, self._reactor.seconds() - started_at)

    def _record_metrics(self, record: RequestRecord, elapsed_s: float) -> None:
        labels = (record.team, record.code, record.ran.value)
        self._metrics.requests.labels(*labels).inc()
        self._metrics.latency.labels(record.team, record.code).observe(elapsed_s)

    async def _dispatch(
        self, request: Request, started_at: float, record: RequestRecord
    ) -> None:
        if not self._drain.is_ready:
            request.responseHeaders.setRawHeaders(b"connection", [b"close"])
        match request.path.decode("utf-8", "replace").split("/")[1:]:
            case ["v1", "services", service, "statements"]:
                handler, name = self._run_statement, service
            case ["v1", "services", service, "transactions"]:
                handler, name = self._begin_transaction, service
            case ["v1", "transactions", transaction_id, action]:
                handler, name = self._transaction_handler(action), transaction_id
            case ["v1", "open", route]:
                record.team = OPEN_TEAM
                await self._open_route(request, route, started_at)
                return
            case _:
                raise UnknownRoute("No such path; see docs/api.md.")
        if request.method != b"POST":
            raise UnknownRoute("This path accepts only POST.")
        context = self._create_context(request, self._read_key(request), started_at)
        record.team = context.team
        await handler(request, context, name)

    def _transaction_handler(self, action: str) -> Any:
        handlers = {
            "statements": self._run_transaction_statement,
            "commit": self._commit_transaction,
            "rollback": self._roll_back_transaction,
        }
        if action not in handlers:
            raise UnknownRoute("No such path; see docs/api.md.")
        return handlers[action]

    def _read_key(self, request: Request) -> str:
        scheme, _, key = (request.getHeader("authorization") or "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise Unauthenticated(
                "The team's key is missing: send Authorization: Bearer KEY."
            )
        return key

    def _create_context(
        self, request: Request, key: str, started_at: float
    ) -> CallerContext:
        body = request.content.getvalue()
        if request.is_too_large:
            raise BodyTooLarge(
                f"The body exceeds {self._settings.limits.max_body_bytes} bytes."
            )
        owner = self._authenticate(key)
        fleet = self._configuration.fleet
        request_id = request.getHeader("request-id") or ""
        if request_id:
            request_id = check_request_id(request_id, unix_s=self._wall_clock())
        return CallerContext(
            owner=owner,
            limits=fleet.limits_of(owner.team),
            token=self._read_token(request, owner.team),
            arrived_at=started_at,
            deadline=started_at + self._read_timeout_s(request),
            request_id=request_id,
            fingerprint=blake2b(
                request.path + b"\0" + body, digest_size=16
            ).hexdigest(),
            key=key,
        )

    def _authenticate(self, key: str) -> KeyOwner:
        if self._configuration.chain.version == 0:
            self._drain.check_new_work()
        owner = self._keys.find(key)
        if owner is None:
            raise Unauthenticated("The key is unknown or was withdrawn.")
        return owner

    def _read_token(self, request: Request, team: str) -> SessionToken:
        text = request.getHeader("session-token")
        if not text:
            return SessionToken()
        decoded = self._signer.decode(text, team=team)
        failure = decoded.swap().value_or(None)
        if failure is not None:
            raise BadToken(str(failure))
        return decoded.unwrap()

    def _read_timeout_s(self, request: Request) -> float:
        limits = self._settings.limits
        text = request.getHeader("deadline-ms")
        if text is None:
            return self._drain.limit_timeout_s(limits.default_deadline_ms / 1000)
        try:
            deadline_ms = float(text)
        except ValueError:
            raise BadRequest("Deadline-Ms must be a number of milliseconds.") from None
        if not math.isfinite(deadline_ms) or deadline_ms <= 0:
            raise DeadlineExceeded(
                "Deadline-Ms must be positive and finite; the request was not run."
            )
        timeout_s = min(deadline_ms, limits.max_deadline_ms) / 1000
        return self._drain.limit_timeout_s(timeout_s)

    def _read_statement(
        self, request: Request, context: CallerContext
    ) -> StatementBody:
        try:
            body = decode_value(self._body_decoder, request.content.getvalue())
        except UndecodableValue as error:
            raise BadRequest(f"The body is not a valid statement: {error}") from error
        # Re-encodes the decoded body, because JSON escapes could hide the key.
        if context.key.encode() in msgspec.json.encode((body.sql, body.params)):
            raise KeyInStatement(
                "The statement contains the key and was not run; remove the key."
            )
        check_statement(body.sql)
        if body.max_age_ms is not None and not body.max_age_ms >= 0:
            raise BadRequest("max_age_ms must not be negative.")
        return body

    async def _admit(self, context: CallerContext, service: str | None) -> None:
        if service is not None:
            team = self._configuration.fleet.teams[context.team]
            if service not in team.services:
                raise ServiceNotAllowed(
                    f"Team {context.team!r} has no access to service {service!r}."
                )
        if self._drain.in_progress > self._settings.limits.max_requests:
            raise Overloaded(
                "Too many requests in progress at this VM.", retry_after_s=0.5
            )
        await self._ledger.admit(context.team, cost=1.0, deadline=context.deadline)
        if not self._keys.is_valid(context.owner):
            raise Unauthenticated("The key was withdrawn; the request was not run.")

    async def _run_statement(
        self, request: Request, context: CallerContext, service: str
    ) -> None:
        self._drain.check_new_work()
        body = self._read_statement(request, context)
        if not body.read and not body.idempotent and not context.request_id:
            raise RequestIdRequired(
                "A write needs a Request-Id header (UUID version 7), so that it "
                "cannot run twice, or idempotent: true in its body. It was not run."
            )
        await self._admit(context, service)
        message = Execute(
            sql=body.sql,
            params=body.params,
            read=body.read,
            team=context.team,
            request_id="" if body.read else context.request_id,
            fingerprint=context.fingerprint,
        )
        if not body.read:
            result = await self._statements.write(context, service, message)
            self._reply(request, context, result)
            return
        requirement = self._create_read_requirement(context, service, body.max_age_ms)
        read = await self._statements.read(context, service, message, requirement)
        source = "replica" if read.is_replica else "primary"
        self._metrics.reads.labels(source).inc()
        self._reply(request, context, read.result, source=source)

    def _create_read_requirement(
        self, context: CallerContext, service: str, max_age_ms: float | None
    ) -> ReadRequirement:
        max_age_s = context.limits.read_max_age_s
        if max_age_ms is not None:
            max_age_s = max_age_ms / 1000
        return ReadRequirement(
            position=context.token.position_of(service),
            arrived_at=context.arrived_at,
            max_age_s=max_age_s,
            primary_only=context.token.requires_primary(service),
        )

    async def _open_route(self, request: Request, name: str, started_at: float) -> None:
        self._drain.check_new_work()
        route = self._configuration.fleet.open_routes.get(name)
        if route is None or request.method != b"GET":
            raise UnknownRoute("No open route has this path and method.")
        deadline = started_at + self._read_timeout_s(request)
        context = CallerContext(
            OPEN_OWNER, OPEN_LIMITS, SessionToken(), started_at, deadline
        )
        await self._ledger.admit(OPEN_TEAM, cost=1.0, deadline=deadline)
        requirement = self._create_read_requirement(context, route.service, None)
        message = Execute(sql=route.sql, read=True)
        read = await self._statements.read(context, route.service, message, requirement)
        source = "replica" if read.is_replica else "primary"
        self._reply(request, context, read.result, source=source)

    async def _begin_transaction(
        self, request: Request, context: CallerContext, service: str
    ) -> None:
        self._drain.check_new_work()
        await self._admit(context, service)
        transaction_id = await self._transactions.begin(context, service)
        answer(request, 201, msgspec.json.encode({"transaction_id": transaction_id}))

    async def _run_transaction_statement(
        self, request: Request, context: CallerContext, transaction_id: str
    ) -> None:
        body = self._read_statement(request, context)
        await self._admit(context, None)
        message = Execute(sql=body.sql, params=body.params, read=body.read)
        result = await self._transactions.execute(context, transaction_id, message)
        self._reply(request, context, result)

    async def _commit_transaction(
        self, request: Request, context: CallerContext, transaction_id: str
    ) -> None:
        result = await self._transactions.commit(context, transaction_id)
        self._reply(request, context, result)

    async def _roll_back_transaction(
        self, request: Request, context: CallerContext, transaction_id: str
    ) -> None:
        await self._transactions.rollback(context, transaction_id)
        self._reply(request, context, Result())

    def _reply(
        self,
        request: Request,
        context: CallerContext,
        result: Result,
        *,
        source: str = "primary",
    ) -> None:
        token = self._signer.encode(context.token, team=context.team)
        request.responseHeaders.setRawHeaders(b"session-token", [token.encode()])
        body = StatementAnswer(
            columns=result.columns,
            rows=result.rows,
            row_count=result.row_count,
            replayed=result.replayed,
            source=source,
        )
        answer(request, 200, msgspec.json.encode(body))

    def _reply_error(self, request: Request, request_error: RequestError) -> None:
        retry_after_ms = None
        if request_error.retry_after_s is not None:
            retry_after_ms = math.ceil(request_error.retry_after_s * 1000)
            seconds = b"%d" % math.ceil(request_error.retry_after_s)
            request.responseHeaders.setRawHeaders(b"retry-after", [seconds])
        problem = Problem(
            type=f"urn:guavabarrow:problem:{request_error.code}",
            title=request_error.code.replace("_", " "),
            status=request_error.status,
            code=request_error.code,
            ran=request_error.ran.value,
            detail=request_error.detail,
            retry_after_ms=retry_after_ms,
        )
        answer(
            request, request_error.status, msgspec.json.encode(problem), PROBLEM_TYPE
        )
