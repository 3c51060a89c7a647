"""A deployment of real VM processes on loopback addresses, with relays between them."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.request
from typing import TYPE_CHECKING

from soak.network import Network, Relay
from soak.operators import Operator
from soak.record import Fault, Lifetime, Record
from soak.standins import SoakGroup, SoakStore, route_promotions

if TYPE_CHECKING:
    from pathlib import Path

FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 7001, 7002, 7003, 7004
GRACE_S = 6.0
DOMAINS = ["domain-a", "domain-b", "domain-c"]
SERVICES = ["orders", "stock"]
START_TIMEOUT_S = 5.0


def claim_subnet() -> tuple[str, socket.socket]:
    """Return the first two numbers of unused loopback addresses.

    They are claimed as long as the returned socket is open.
    """
    for number in range(20, 250):
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.0.1", FRONT_PORT))
        except OSError:
            claim.close()
            continue
        return f"127.{number}", claim
    raise OSError("all loopback subnets are in use")


class SoakVm:
    """One VM, whose process is stopped and started again.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment to which the VM belongs.
    number : int
        Number of the VM, from 1.
    """

    def __init__(self, deployment: SoakDeployment, number: int) -> None:
        self.name = f"vm-{number}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.lock = threading.RLock()
        self._deployment = deployment
        network, subnet = deployment.network, deployment.subnet
        host = f"{subnet}.1.{number}"
        self.front = (host, FRONT_PORT)
        self._ready_url = f"http://{host}:{READY_PORT}/guavabarrow/ready"
        store_host, _, store_port = deployment.store.listen_for(self.name).partition(
            ":"
        )
        store_relay = Relay(network, self.name, "store", (store_host, int(store_port)))
        peer_relay = Relay(
            network,
            "",
            self.name,
            (host, PEER_PORT),
            (deployment.listened.encode(), deployment.advertised.encode()),
        )
        network.listen(peer_relay, f"{subnet}.2.{number}", PEER_PORT)
        store_address = network.listen(store_relay, f"{subnet}.3.{number}", 0)
        settings = {
            "NodeName": self.name,
            "Zone": self.domain,
            "Ip": host,
            "Listen": {
                "Front": f"{host}:{FRONT_PORT}",
                "Ready": f"{host}:{READY_PORT}",
            },
            "InternalPorts": [PEER_PORT, METRICS_PORT],
            "Limits": {"MaxFds": 4200, "CpuShare": 0.537, "CpuCores": 2},
            "Bounds": {"GraceS": GRACE_S, "QuotaWindowS": 5, "QuotaSlack": 20},
            "platform": {"Address": store_address},
            "CloudApi": {"Address": store_address, "Duties": ["failover"]},
        }
        self._settings = deployment.folder / f"{self.name}.yaml"
        # The settings file is YAML, of which JSON is a subset.
        self._settings.write_text(json.dumps(settings))
        self.log = deployment.folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None
        self.lifetime = Lifetime(self.name, 0.0, 0.0)
        self.number_of_lifetime = -1
        self._stop: Fault | None = None

    def start(self) -> None:
        """Start the process, unless it runs."""
        record = self._deployment.record
        environment = {**os.environ, "GUAVABARROW_SETTINGS": str(self._settings)}
        environment.update(self._deployment.product_environment)
        with self.lock, self.log.open("ab") as log, record.lock:
            if self.process is not None and self.process.poll() is None:
                return
            self.lifetime = Lifetime(self.name, time.monotonic())
            self.process = subprocess.Popen(
                [sys.executable, "-m", "guavabarrow_platform"],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
            record.lifetimes.append(self.lifetime)
            self.number_of_lifetime = len(record.lifetimes) - 1
            if self._stop is not None:
                self._stop.end, self._stop = self.lifetime.started_at, None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            signals = self._deployment.record.signals
            signals.append((time.monotonic(), self.name, number))
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        with self.lock:
            if self.process is None:
                return
            self._record_stop("kill")
            self.send_signal(signal.SIGKILL)
            self.process.wait()
            self._record_end()

    def terminate(self) -> None:
        """Stop the process as planned; kill it after the grace period."""
        with self.lock:
            if self.process is None:
                return
            self._record_stop("terminate")
            self.send_signal(signal.SIGTERM)
            try:
                self.process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                self.kill()
            self._record_end()

    def note_own_end(self) -> None:
        """Record if the process ended although nobody stopped it."""
        if not self.lock.acquire(blocking=False):
            return
        try:
            lifetime = self.lifetime
            has_ended = self.process is not None and self.process.poll() is not None
            if has_ended and lifetime.ended_at == float("inf"):
                lifetime.has_failed = True
                lifetime.ended_at = time.monotonic()
        finally:
            self.lock.release()

    def _record_end(self) -> None:
        self.lifetime.ended_at = min(self.lifetime.ended_at, time.monotonic())

    def _record_stop(self, kind: str) -> None:
        self.lifetime.stopped_at = min(self.lifetime.stopped_at, time.monotonic())
        if self._stop is None:
            self._stop = self._deployment.record.begin_fault(kind, self.name)

    def wait_until_listening(self) -> None:
        """Wait until the process accepts sessions, for a few seconds at most."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                socket.create_connection(self.front).close()
            except OSError:
                time.sleep(0.02)
            else:
                return

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            with urllib.request.urlopen(self._ready_url, timeout=2) as response:
                return response.status == 200
        except OSError:
            return False


class SoakDeployment:
    """Stand-ins, VMs and the operator of one run.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    vm_count : int
        Number of VMs.
    random : Generator
        Source of the operator's changes.
    product : Path or None
        Checkout whose product code is run, None for the installed one.
    """

    def __init__(self, folder: Path, vm_count: int, random, product: Path | None):
        self.folder = folder
        self.record = Record()
        self.network = Network()
        self.subnet, self._claim = claim_subnet()
        self.listened = f"{self.subnet}.1."
        self.advertised = f"{self.subnet}.2."
        self.product_environment = product_environment(product)
        self.store = SoakStore(self.listened, self.advertised)
        self.groups = [
            SoakGroup(self.store, name, self.record, self.network, DOMAINS, "127.0.0.1")
            for name in SERVICES
        ]
        route_promotions(self.store, self.groups)
        self.operator = Operator(self.store, self.record, SERVICES, random)
        self.vms = [SoakVm(self, number) for number in range(1, vm_count + 1)]
        self.vm_by_name = {vm.name: vm for vm in self.vms}

    def start(self) -> None:
        """Start all VMs and wait until they are ready."""
        for vm in self.vms:
            vm.start()
        deadline = time.monotonic() + 20
        while not all(vm.is_ready() for vm in self.vms):
            if time.monotonic() > deadline:
                raise TimeoutError(f"the VMs did not become ready: {self.folder}")
            time.sleep(0.1)

    def note_own_ends(self) -> None:
        """Record processes that ended although nobody stopped them."""
        for vm in self.vms:
            vm.note_own_end()

    def close(self) -> None:
        """Stop everything."""
        for vm in self.vms:
            vm.send_signal(signal.SIGCONT)
            vm.kill()
        self.network.close()
        for group in self.groups:
            group.close()
        self.store.close()
        self._claim.close()


def product_environment(product: Path | None) -> dict[str, str]:
    """Return the environment in which a checkout's product code is imported."""
    if product is None:
        return {}
    folders = [*sorted(product.glob("packages/*/src")), product / "platform" / "src"]
    return {"PYTHONPATH": os.pathsep.join(str(folder) for folder in folders)}
