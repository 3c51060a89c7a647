"""Runs a fleet and the stand-ins of its platform and databases in one process."""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Any

from guavabarrow_cli.standins.database_server import (
    DatabaseServer,
    DatabaseSettings,
    Faults,
)
from guavabarrow_cli.standins.platform_server import PlatformServer
from guavabarrow_core.fleet import (
    FailureDomain,
    Service,
    Target,
    Team,
    Template,
    hash_key,
)
from guavabarrow_core.fleet_change import (
    Change,
    GiveKey,
    PutDomain,
    PutService,
    PutTeam,
    PutTemplate,
)
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.entry_vm import EntryVm
from guavabarrow_daemon.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Iterable

LOOPBACK = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 32_000
PORT_OFFSET_PER_PID = 601
SECRET_BY_USE = {
    "token": "embedded-token-secret",
    "peer": "embedded-peer-secret",
    "admin": "embedded-admin-secret",
    "target": "embedded-target-secret",
}
PLATFORM_CREDENTIAL = "embedded-platform-credential"


@dataclass(frozen=True)
class LayoutService:
    """A database group of a layout."""

    name: str
    domains: tuple[str, str, str]
    connections: int
    slots: int


@dataclass(frozen=True)
class LayoutTeam:
    """A team of a layout; its key is ``key-NAME`` with a fixed suffix."""

    name: str
    services: tuple[str, ...]
    rate_per_s: float = 1000.0
    burst: float = 1000.0
    weight: float = 1.0
    read_max_age_ms: float | None = None

    @property
    def key(self) -> str:
        """Fixed key for tests and demonstrations."""
        return f"key-{self.name}-0123456789abcdef"


@dataclass(frozen=True)
class Layout:
    """VMs, services and teams of an embedded fleet.

    Parameters
    ----------
    vm_domains : tuple of str
        Failure domain of each VM, in order.
    services : tuple of LayoutService
        Database groups.
    teams : tuple of LayoutTeam
        Teams.
    lag_ms : float
        Replication lag of the databases.
    statement_ms : float
        Time for which each statement occupies a slot.
    policies : dict of str to str
        Policies of the VMs.
    """

    vm_domains: tuple[str, ...]
    services: tuple[LayoutService, ...]
    teams: tuple[LayoutTeam, ...]
    lag_ms: float = 20.0
    statement_ms: float = 0.0
    policies: dict[str, str] = field(default_factory=dict)

    @property
    def domains(self) -> tuple[str, ...]:
        """All failure domains, sorted by name."""
        in_services = {name for service in self.services for name in service.domains}
        return tuple(sorted(in_services | set(self.vm_domains)))


class PortAllocator:
    """Allocates free TCP ports of the loopback address.

    The ports lie below the ephemeral range that the system uses for outgoing
    connections. They stay bound until :meth:`release`, so that none is allocated twice.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []
        span = LAST_PORT - FIRST_PORT
        self._next = FIRST_PORT + os.getpid() * PORT_OFFSET_PER_PID % span

    def allocate(self) -> int:
        """Reserve and return a free port."""
        while True:
            port = self._next
            self._next = FIRST_PORT if port + 1 >= LAST_PORT else port + 1
            reserved = socket.socket()
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                reserved.bind((LOOPBACK, port))
            except OSError:
                reserved.close()
                continue
            self._sockets.append(reserved)
            return port

    def release(self) -> None:
        """Unbind the reserved ports, so that servers can listen on them."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()


def vm_settings(
    *,
    vm: str,
    domain: str,
    ports: tuple[int, int, int],
    platform_port: int,
    seed_peers: list[str],
    **extra: Any,
) -> dict[str, Any]:
    """Return the settings document of a VM on the loopback address.

    Parameters
    ----------
    vm, domain : str
        Name and failure domain.
    ports : tuple of int
        Ports of the caller API, the admin API and the peer links.
    platform_port : int
        Port of the platform.
    seed_peers : list of str
        Addresses of other VMs.
    **extra : object
        Additional top-level settings.
    """
    callers, admin, peers = ports
    return {
        "vm": vm,
        "domain": domain,
        "callers": {"host": LOOPBACK, "port": callers},
        "admin": {"host": LOOPBACK, "port": admin},
        "peers": {"host": LOOPBACK, "port": peers},
        "seed_peers": seed_peers,
        "platform": {
            "host": LOOPBACK,
            "port": platform_port,
            "credential": PLATFORM_CREDENTIAL,
        },
        "secrets": SECRET_BY_USE,
        **extra,
    }


class EmbeddedFleet:
    """Stand-ins and entry VMs of a layout, all on one reactor.

    Parameters
    ----------
    layout : Layout
        VMs, services and teams to start.
    reactor : object
        Reactor on which all servers run.
    """

    def __init__(self, layout: Layout, reactor: Any) -> None:
        self.layout = layout
        self.platform = PlatformServer(reactor, credential=PLATFORM_CREDENTIAL)
        self.database_by_name: dict[str, DatabaseServer] = {}
        self.vm_by_name: dict[str, EntryVm] = {}
        self.port_by_database: dict[str, int] = {}
        self.settings_by_vm: dict[str, Settings] = {}
        self._reactor = reactor
        self._directory = TemporaryDirectory(prefix="guavabarrow-")
        self._allocator = PortAllocator()
        self._platform_port = self._allocator.allocate()
        for service in layout.services:
            for number in range(len(service.domains)):
                name = database_name(service, number)
                self.port_by_database[name] = self._allocator.allocate()
        self._prepare_vms()

    async def start(self) -> None:
        """Start platform, databases and VMs and apply the layout's configuration."""
        self._allocator.release()
        self.platform.listen(LOOPBACK, self._platform_port)
        for service in self.layout.services:
            for number in range(len(service.domains)):
                self.start_database(service, number)
        for name in self.settings_by_vm:
            await self.start_vm(name)
        first = next(iter(self.vm_by_name.values()))
        configuration = first.kernel.find(ConfigurationService)
        await configuration.change(
            self.changes(),
            base_version=0,
            operation_id="layout",
            author="embedded",
        )

    async def stop(self) -> None:
        """Stop the VMs, databases and platform and delete the database files."""
        for vm in self.vm_by_name.values():
            await vm.stop()
        for database in self.database_by_name.values():
            await database.stop()
        await self.platform.stop()
        self._directory.cleanup()

    def start_database(self, service: LayoutService, number: int) -> DatabaseServer:
        """Start one database, or restart a stopped one."""
        name = database_name(service, number)
        peers = {
            database_name(service, other): (
                LOOPBACK,
                self.port_by_database[database_name(service, other)],
            )
            for other in range(len(service.domains))
            if other != number
        }
        settings = DatabaseSettings(
            name=name,
            path=Path(self._directory.name) / f"{name}.sqlite",
            peer_by_name=peers,
            credential=SECRET_BY_USE["target"],
            max_connections=service.connections,
            slots=service.slots,
            faults=Faults(
                lag_ms=self.layout.lag_ms, statement_ms=self.layout.statement_ms
            ),
        )
        server = DatabaseServer(settings, self._reactor)
        server.listen(LOOPBACK, self.port_by_database[name])
        self.database_by_name[name] = server
        return server

    def restart_database(self, name: str) -> None:
        """Restart a stopped database with its existing file."""
        for service in self.layout.services:
            for number in range(len(service.domains)):
                if database_name(service, number) == name:
                    self.start_database(service, number)

    async def stop_database(self, name: str) -> None:
        """Stop one database as a process exit would."""
        await self.database_by_name.pop(name).stop()

    async def stop_vm(self, name: str) -> None:
        """Stop one VM without a drain."""
        await self.vm_by_name.pop(name).stop()

    async def start_vm(self, name: str) -> EntryVm:
        """Start one VM, or restart a stopped one."""
        vm = EntryVm(self.settings_by_vm[name], self._reactor)
        self.vm_by_name[name] = vm
        await vm.start()
        return vm

    def caller_address(self, vm: str) -> tuple[str, int]:
        """Return the address of a VM's caller API."""
        address = self.settings_by_vm[vm].callers
        return address.host, address.port

    def admin_address(self, vm: str) -> str:
        """Return the address of a VM's admin API."""
        return str(self.settings_by_vm[vm].admin)

    def changes(self) -> tuple[Change, ...]:
        """Return the changes that create the layout's configuration."""
        changes: list[Change] = [
            PutDomain(FailureDomain(name, "embedded")) for name in self.layout.domains
        ]
        changes.append(PutTemplate(Template("standard")))
        changes += [
            PutService(self._create_service(service))
            for service in self.layout.services
        ]
        for team in self.layout.teams:
            changes += team_changes(team)
        return tuple(changes)

    def _create_service(self, service: LayoutService) -> Service:
        targets = tuple(
            Target(
                database_name(service, number),
                domain,
                LOOPBACK,
                self.port_by_database[database_name(service, number)],
            )
            for number, domain in enumerate(service.domains)
        )
        return Service(service.name, targets, service.connections, service.slots)

    def _prepare_vms(self) -> None:
        ports_by_vm = {
            f"vm-{number + 1}": (
                self._allocator.allocate(),
                self._allocator.allocate(),
                self._allocator.allocate(),
            )
            for number in range(len(self.layout.vm_domains))
        }
        seeds = [f"{LOOPBACK}:{ports[2]}" for ports in ports_by_vm.values()]
        for (vm, ports), domain in zip(
            ports_by_vm.items(), self.layout.vm_domains, strict=True
        ):
            document = vm_settings(
                vm=vm,
                domain=domain,
                ports=ports,
                platform_port=self._platform_port,
                seed_peers=seeds,
                policies=self.layout.policies,
            )
            self.settings_by_vm[vm] = Settings.model_validate(document)


def team_changes(team: LayoutTeam) -> Iterable[Change]:
    """Return the changes that create a team with its key."""
    entry = Team(
        team.name,
        "standard",
        services=team.services,
        rate_per_s=team.rate_per_s,
        burst=team.burst,
        weight=team.weight,
        read_max_age_ms=team.read_max_age_ms,
    )
    return [PutTeam(entry), GiveKey(team.name, "first", hash_key(team.key))]


def database_name(service: LayoutService, number: int) -> str:
    """Return the name of a service's database, numbered from 0."""
    return f"{service.name}-{'abc'[number]}"
