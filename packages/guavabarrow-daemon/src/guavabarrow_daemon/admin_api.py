"""HTTP/1.1 and JSON API for operators, and the metrics endpoint."""

from __future__ import annotations

from hmac import compare_digest
from typing import TYPE_CHECKING, Any

import msgspec

from guavabarrow_core.exceptions import ConfigurationConflict, ConfigurationError
from guavabarrow_core.fleet_change import Change
from guavabarrow_core.membership import MemberState
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.drain_service import DrainService
from guavabarrow_daemon.group_service import GroupService
from guavabarrow_daemon.http.site import Routes, TrackedSite, answer, answer_json
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.ledger_service import LedgerService
from guavabarrow_daemon.membership_service import MembershipService
from guavabarrow_daemon.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from twisted.web.server import Request

    from guavabarrow_daemon.group import Group
    from guavabarrow_daemon.settings import Settings


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to change the configuration.

    Parameters
    ----------
    changes : list of Change
        Applied atomically.
    operation_id : str
        Unique id; a repeat returns the version of the first run.
    author : str
        Who makes the change.
    base_version : int or None
        Version that the change is based on; None takes the newest.
    """

    changes: list[Change]
    operation_id: str
    author: str
    base_version: int | None = None


CHANGE_DECODER = msgspec.json.Decoder(ChangeRequest)


class ChangeAnswer(msgspec.Struct, frozen=True):
    """Configuration version that contains the change."""

    version: int


class AdminProblem(msgspec.Struct, frozen=True):
    """Error answer to an operator's request."""

    code: str
    detail: str


class MemberStatus(msgspec.Struct, frozen=True):
    """Status of a VM in this VM's membership table."""

    vm: str
    domain: str
    state: str
    version: int
    leaving: bool
    ledger_holder: bool
    admin_address: str


class TargetStatus(msgspec.Struct, frozen=True):
    """Status of a database according to this VM's probes."""

    target: str
    role: str
    term: int
    index: int
    age_s: float | None
    connections: int
    permits: int
    queued: int
    leaving: bool


class GroupStatus(msgspec.Struct, frozen=True):
    """Status of a database group according to this VM."""

    service: str
    primary: str | None
    phase: str
    targets: list[TargetStatus]


class VmStatus(msgspec.Struct, frozen=True):
    """Status of this VM and its view of the fleet."""

    vm: str
    domain: str
    readiness: str
    version: int
    is_ledger_holder: bool
    requests_in_progress: int
    members: list[MemberStatus]
    groups: list[GroupStatus]


class AdminApi(Service):
    """HTTP server for operators.

    Parameters
    ----------
    kernel : Kernel
        Service registry.
    settings : Settings
        Listening address and operators' secret.
    reactor : object
        Twisted reactor.
    on_drain : callable
        Starts the graceful shutdown of the process.
    """

    name = "admin"

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        reactor: Any,
        on_drain: Callable[[], None],
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._reactor = reactor
        self._on_drain = on_drain
        self._configuration = kernel.find(ConfigurationService)
        self._membership = kernel.find(MembershipService)
        self._groups = kernel.find(GroupService)
        self._ledger = kernel.find(LedgerService)
        self._drain = kernel.find(DrainService)
        self._metrics = kernel.find(Metrics)
        secret = settings.secrets.admin.get_secret_value()
        self._authorization = f"Bearer {secret}"
        routes = Routes()
        routes.add("GET", "/metrics", self._render_metrics)
        routes.add(
            "GET", "/admin/v1/fleet", self._require_authorization(self._get_fleet)
        )
        routes.add(
            "GET", "/admin/v1/status", self._require_authorization(self._get_status)
        )
        routes.add(
            "POST", "/admin/v1/changes", self._require_authorization(self._apply_change)
        )
        routes.add(
            "POST", "/admin/v1/drain", self._require_authorization(self._start_drain)
        )
        self._site = TrackedSite(routes)
        self._port: Any = None
        self.address = str(settings.admin)

    async def start(self) -> None:
        """Start listening for operators and announce the address to peers."""
        address = self._settings.admin
        self._port = self._reactor.listenTCP(
            address.port, self._site, interface=address.host
        )
        self.address = f"{address.host}:{self._port.getHost().port}"
        self._membership.announce(admin_address=self.address)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._port is not None:
            await self._port.stopListening()
        for channel in list(self._site.channels):
            channel.loseConnection()

    def status(self) -> VmStatus:
        """Return the status of this VM for operators."""
        return VmStatus(
            vm=self._settings.vm,
            domain=self._settings.domain,
            readiness=self._drain.readiness.value,
            version=self._configuration.chain.version,
            is_ledger_holder=self._ledger.is_holder,
            requests_in_progress=self._drain.in_progress,
            members=self._member_statuses(),
            groups=[
                self._group_status(group) for group in self._groups.by_name.values()
            ],
        )

    def _member_statuses(self) -> list[MemberStatus]:
        table = self._membership.table
        return [
            MemberStatus(
                heartbeat.vm,
                heartbeat.domain,
                table.state_of(heartbeat.vm).value,
                heartbeat.version,
                heartbeat.leaving,
                heartbeat.ledger_holder
                and table.state_of(heartbeat.vm) is MemberState.ALIVE,
                heartbeat.admin_address,
            )
            for heartbeat in sorted(table.by_vm.values(), key=lambda item: item.vm)
        ]

    def _group_status(self, group: Group) -> GroupStatus:
        primary = group.view.primary
        now = self._reactor.seconds()
        targets = []
        for name, pool in group.targets.pool_by_target.items():
            report = group.view.by_database.get(name)
            as_of = group.view.safe_time(report) if report else float("-inf")
            targets.append(
                TargetStatus(
                    target=name,
                    role=report.role.value if report else "unknown",
                    term=report.lineage.last.term if report else 0,
                    index=report.lineage.last_index if report else 0,
                    age_s=round(now - as_of, 3) if as_of > float("-inf") else None,
                    connections=pool.state.open,
                    permits=pool.account.total,
                    queued=pool.queued,
                    leaving=name in group.monitor.leaving,
                )
            )
        return GroupStatus(
            group.name,
            primary.database if primary else None,
            group.monitor.phase.value,
            targets,
        )

    def _require_authorization(
        self, handler: Callable[[Request], Awaitable[None]]
    ) -> Callable[[Request], Awaitable[None]]:
        async def handle(request: Request) -> None:
            sent = (request.getHeader("authorization") or "").encode()
            if not compare_digest(sent, self._authorization.encode()):
                problem = AdminProblem(
                    "unauthenticated", "Send the operators' secret as a bearer token."
                )
                answer_json(request, 401, problem)
                return
            await handler(request)

        return handle

    async def _render_metrics(self, request: Request) -> None:
        self._sample_gauges()
        answer(request, 200, self._metrics.render(), b"text/plain; version=0.0.4")

    def _sample_gauges(self) -> None:
        for group in self._groups.by_name.values():
            for name, pool in group.targets.pool_by_target.items():
                self._metrics.connections.labels(name).set(pool.state.open)
                self._metrics.queued.labels(name).set(pool.queued)

    async def _get_fleet(self, request: Request) -> None:
        answer_json(request, 200, self._configuration.fleet)

    async def _get_status(self, request: Request) -> None:
        answer_json(request, 200, self.status())

    async def _apply_change(self, request: Request) -> None:
        try:
            body = decode_value(CHANGE_DECODER, request.content.read())
            version = await self._configuration.change(
                tuple(body.changes),
                base_version=body.base_version,
                operation_id=body.operation_id,
                author=body.author,
            )
        except UndecodableValue as error:
            answer_json(request, 400, AdminProblem("bad_request", str(error)))
        except ConfigurationConflict as error:
            answer_json(request, 409, AdminProblem("conflict", str(error)))
        except ConfigurationError as error:
            answer_json(request, 422, AdminProblem("not_accepted", str(error)))
        else:
            answer_json(request, 200, ChangeAnswer(version))

    async def _start_drain(self, request: Request) -> None:
        answer_json(request, 202, {})
        self._reactor.callLater(
            0, lambda: self.kernel.tasks.start("drain_request", self._run_drain())
        )

    async def _run_drain(self) -> None:
        self._on_drain()
