"""A fleet of real processes on the loopback address, with fault injection."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from guavabarrow_cli.admin_client import AdminClient, AdminRequestFailed
from guavabarrow_cli.embedded_fleet import (
    LOOPBACK,
    PLATFORM_CREDENTIAL,
    SECRET_BY_USE,
    Layout,
    PortAllocator,
    database_name,
    team_changes,
    vm_settings,
)
from guavabarrow_core.fleet import FailureDomain, Service, Target, Template
from guavabarrow_core.fleet_change import (
    Change,
    PutDomain,
    PutOpenRoute,
    PutService,
    PutTemplate,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.fleet import OpenRoute
    from guavabarrow_daemon.admin_api import GroupStatus, VmStatus

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class ConditionTimeout(AssertionError):
    """A condition did not become true within its timeout."""


def wait_until(
    condition: Callable[[], Any], description: str, timeout_s: float = READY_TIMEOUT_S
) -> Any:
    """Poll a condition until it is true and return its value.

    The timeout (seconds) is no expected duration: it only ends a wait that would
    never succeed.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise ConditionTimeout(description)


def post(port: int, path: str, body: Any) -> Any:
    connection = HTTPConnection(LOOPBACK, port, timeout=5)
    try:
        connection.request("POST", path, json.dumps(body))
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


@dataclass
class ProcessFleet:
    """Runs the platform, relay, databases and entry VMs as separate processes."""

    layout: Layout
    directory: Path
    open_routes: tuple[OpenRoute, ...] = ()
    extra_vm_settings: dict[str, Any] = field(default_factory=dict)
    has_vm_relays: bool = True
    fault: str = ""
    process_by_name: dict[str, subprocess.Popen] = field(default_factory=dict)
    port_by_name: dict[str, int] = field(default_factory=dict)
    admin_port_by_vm: dict[str, int] = field(default_factory=dict)
    peer_port_by_vm: dict[str, int] = field(default_factory=dict)
    links: dict[str, tuple[int, int]] = field(default_factory=dict)
    domain_by_node: dict[str, str] = field(default_factory=dict)

    def start(self) -> None:
        allocator = PortAllocator()
        self._assign_ports(allocator)
        allocator.release()
        self._start_platform()
        self._start_relay()
        for service in self.layout.services:
            for number in range(len(service.domains)):
                self.start_database(database_name(service, number))
        for vm in self.vms:
            self.start_vm(vm)
        for name in self.process_by_name:
            self._wait_listening(name)
        self._configure()

    def stop(self) -> None:
        for name in list(self.process_by_name):
            self.kill(name)

    @property
    def vms(self) -> list[str]:
        return [f"vm-{number + 1}" for number in range(len(self.layout.vm_domains))]

    @property
    def databases(self) -> list[str]:
        return [
            database_name(service, number)
            for service in self.layout.services
            for number in range(len(service.domains))
        ]

    # Faults -----------------------------------------------------------------

    def kill(self, name: str) -> None:
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        os.kill(self.process_by_name[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        os.kill(self.process_by_name[name].pid, signal.SIGCONT)

    def terminate(self, name: str) -> int:
        process = self.process_by_name.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=READY_TIMEOUT_S)

    def set_link_faults(self, source: str, target: str, **faults: Any) -> None:
        body = {"prefix": f"{source}>{target}#", **faults}
        assert post(self.port_by_name["relay"], "/faults", body)["links"]

    def isolate(self, *nodes: str, isolated: bool = True) -> None:
        """Block (or unblock) all links between these nodes and all others."""
        for link in self.links:
            source, target = link.rstrip("#").split(">")
            if (source in nodes) != (target in nodes):
                self.set_link_faults(source, target, cut=isolated)

    def set_database_faults(self, database: str, **faults: Any) -> None:
        post(self.port_by_name[database], "/faults", faults)

    def set_platform_faults(self, **faults: Any) -> None:
        post(self.port_by_name["platform"], "/faults", faults)

    # Status -----------------------------------------------------------------

    def admin(self, vm: str) -> AdminClient:
        address = f"{LOOPBACK}:{self.admin_port_by_vm[vm]}"
        return AdminClient(address, SECRET_BY_USE["admin"])

    def status(self, vm: str) -> VmStatus | None:
        try:
            return self.admin(vm).status()
        except AdminRequestFailed:
            return None

    def group(self, vm: str, service: str) -> GroupStatus:
        status = self.status(vm)
        assert status is not None
        return next(group for group in status.groups if group.service == service)

    def primary(self, service: str, vm: str | None = None) -> str:
        """Return the primary in the status of a VM, waiting until there is one."""
        observer = vm or next(name for name in self.vms if name in self.process_by_name)
        return wait_until(
            lambda: self.group(observer, service).primary, f"{service} has a primary"
        )

    def metric(self, vm: str, name: str) -> float:
        text = self.admin(vm).metrics()
        return sum(
            float(line.rsplit(" ", 1)[1])
            for line in text.splitlines()
            if line.startswith(name)
        )

    def holder(self, domain: str, vm: str | None = None) -> str:
        """Return the ledger holder of a domain, waiting until there is one."""
        observer = vm or next(name for name in self.vms if name in self.process_by_name)

        def find_holder() -> str | None:
            status = self.status(observer)
            members = status.members if status else []
            return next(
                (m.vm for m in members if m.domain == domain and m.ledger_holder),
                None,
            )

        return wait_until(find_holder, f"{domain} has a ledger holder")

    # Processes --------------------------------------------------------------

    def restart(self, name: str) -> None:
        """Start a VM or database again at its previous address."""
        if name in self.vms:
            self.start_vm(name)
        else:
            self.start_database(name)
        self._wait_listening(name)

    def start_vm(self, vm: str) -> None:
        domain = self.domain_by_node[vm]
        seeds = [f"{LOOPBACK}:{port}" for port in self.peer_port_by_vm.values()]
        settings = vm_settings(
            vm=vm,
            domain=domain,
            ports=(
                self.port_by_name[vm],
                self.admin_port_by_vm[vm],
                self.peer_port_by_vm[vm],
            ),
            platform_port=self.port_by_name["platform"],
            seed_peers=seeds,
            address_overrides=self._address_overrides(vm),
            policies=self.layout.policies,
            **self.extra_vm_settings,
        )
        path = self.directory / f"{vm}.json"
        path.write_text(json.dumps(settings))
        command = ["run", "--config", str(path)]
        if self.fault:
            self._spawn(vm, "harness.broken_vm", self.fault, *command)
        else:
            self._spawn(vm, "guavabarrow_daemon.main", *command)

    def start_database(self, name: str) -> None:
        service = next(
            entry for entry in self.layout.services if name.startswith(entry.name + "-")
        )
        peers = [
            database_name(service, number) for number in range(len(service.domains))
        ]
        peer_ports = ",".join(
            f"{peer}={self.links[f'{name}>{peer}#'][0]}"
            for peer in peers
            if peer != name
        )
        self._spawn(
            name,
            "guavabarrow_cli.main",
            "standin",
            "database",
            name,
            str(self.port_by_name[name]),
            str(self.directory),
            SECRET_BY_USE["target"],
            f"--peers={peer_ports}",
            f"--max_connections={service.connections}",
            f"--slots={service.slots}",
            f"--lag_ms={self.layout.lag_ms}",
            f"--statement_ms={self.layout.statement_ms}",
        )

    def _start_platform(self) -> None:
        port = str(self.port_by_name["platform"])
        self._spawn(
            "platform",
            "guavabarrow_cli.main",
            "standin",
            "platform",
            port,
            PLATFORM_CREDENTIAL,
        )

    def _start_relay(self) -> None:
        links = ",".join(
            f"{name}={port}:{target}" for name, (port, target) in self.links.items()
        )
        control = str(self.port_by_name["relay"])
        self._spawn("relay", "guavabarrow_cli.main", "standin", "relay", control, links)

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = (self.directory / f"{name}.log").open("ab")
        tests = str(Path(__file__).resolve().parent.parent)
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONPATH": tests},
        )
        self.process_by_name[name] = process

    def _wait_listening(self, name: str) -> None:
        port = self.port_by_name[name]
        wait_until(lambda: self._accepts_connections(port), f"{name} listens on {port}")

    def _accepts_connections(self, port: int) -> bool:
        connection = HTTPConnection(LOOPBACK, port, timeout=1)
        try:
            connection.connect()
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()
        return True

    # Set-up -----------------------------------------------------------------

    def _assign_ports(self, allocator: PortAllocator) -> None:
        for name in ("platform", "relay", *self.databases, *self.vms):
            self.port_by_name[name] = allocator.allocate()
        for vm, domain in zip(self.vms, self.layout.vm_domains, strict=True):
            self.admin_port_by_vm[vm] = allocator.allocate()
            self.peer_port_by_vm[vm] = allocator.allocate()
            self.domain_by_node[vm] = domain
        for service in self.layout.services:
            names = [database_name(service, number) for number in range(3)]
            for name, domain in zip(names, service.domains, strict=True):
                self.domain_by_node[name] = domain
                for peer in names:
                    if peer != name:
                        self._add_link(allocator, name, peer, self.port_by_name[peer])
        for vm in self.vms if self.has_vm_relays else ():
            self._add_link(allocator, vm, "platform", self.port_by_name["platform"])
            for database in self.databases:
                self._add_link(allocator, vm, database, self.port_by_name[database])
            for peer in self.vms:
                if peer != vm:
                    self._add_link(allocator, vm, peer, self.peer_port_by_vm[peer])

    def _add_link(
        self, allocator: PortAllocator, source: str, target: str, target_port: int
    ) -> None:
        self.links[f"{source}>{target}#"] = (allocator.allocate(), target_port)

    def _address_overrides(self, vm: str) -> dict[str, str]:
        return {
            f"{LOOPBACK}:{target_port}": f"{LOOPBACK}:{port}"
            for link, (port, target_port) in self.links.items()
            if link.startswith(f"{vm}>")
        }

    def _configure(self) -> None:
        changes: list[Change] = [
            PutDomain(FailureDomain(name, "test")) for name in self.layout.domains
        ]
        changes.append(PutTemplate(Template("standard")))
        for service in self.layout.services:
            targets = tuple(
                Target(name, domain, LOOPBACK, self.port_by_name[name])
                for name, domain in (
                    (database_name(service, number), domain)
                    for number, domain in enumerate(service.domains)
                )
            )
            entry = Service(service.name, targets, service.connections, service.slots)
            changes.append(PutService(entry))
        for team in self.layout.teams:
            changes += team_changes(team)
        changes += [PutOpenRoute(route) for route in self.open_routes]
        self.admin(self.vms[0]).change(changes, author="test", operation_id="set-up")
        for vm in self.vms:
            wait_until(lambda vm=vm: self._is_ready(vm), f"{vm} is ready")
        for service in self.layout.services:
            for vm in self.vms:
                self.primary(service.name, vm)
        for domain in sorted(set(self.layout.vm_domains)):
            self.holder(domain)

    def _is_ready(self, vm: str) -> bool:
        status = self.status(vm)
        if status is None or status.readiness != "ready":
            return False
        alive = [member for member in status.members if member.state == "alive"]
        return len(alive) == len(self.vms)


def request(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, Any], dict[str, str]]:
    """Send one request on a new connection; return status, body and headers."""
    connection = HTTPConnection(LOOPBACK, port, timeout=30)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        with suppress(msgspec.DecodeError):
            return (
                response.status,
                msgspec.json.decode(content),
                dict(response.headers),
            )
        return response.status, {"text": content.decode()}, dict(response.headers)
    finally:
        connection.close()
