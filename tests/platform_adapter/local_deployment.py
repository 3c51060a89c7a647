"""Deployment on loopback addresses: platform stand-ins, VM processes and callers."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from typing import TYPE_CHECKING

from standin_platform import StandInGroup, StandInStore, free_port

if TYPE_CHECKING:
    from pathlib import Path

WAIT_S = 15.0
SERVICE = "orders"
KEY = "key-of-north"
TEAM = "north-team"
OTHER_TEAM = "south-team"
USAGE_WINDOW_S = 1
USAGE_LATE_S = 6


def wait_for(condition, description: str, timeout_s: float = WAIT_S):
    """Poll a condition until its result is true and return the result."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.02)
    raise AssertionError(f"{description}: did not happen within {timeout_s} s")


class Caller:
    """Session of a caller; each statement gets a unique request ID."""

    def __init__(self, address: str, database: str, key: str = KEY) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=WAIT_S)
        self._file = self._socket.makefile("rb")
        self._number = 0
        self._name = os.urandom(4).hex()
        self.last_id = ""
        self.send_line(f"STARTUP {database} {key}")
        self.greeting = self.read_line()

    def send_line(self, line: str) -> None:
        """Send one raw line."""
        self._socket.sendall(f"{line}\r\n".encode())

    def read_line(self) -> str:
        """Return the next line, an empty string after the end of the stream."""
        return self._file.readline().decode().rstrip("\r\n")

    def execute(self, text: str) -> tuple[list[str], str, str]:
        """Execute a statement; return its rows, the outcome and the ready line.

        The ready line is empty if the session ended.
        """
        self._number += 1
        self.last_id = f"{self._name}-{self._number}"
        self.send_line(f"QUERY {self.last_id} {text}")
        rows = []
        while True:
            line = self.read_line()
            if line.startswith("DATAROW "):
                rows.append(line.removeprefix("DATAROW "))
                continue
            if not line or not line.startswith(("COMPLETE", "ERROR")):
                return rows, line, ""
            if line.startswith(("ERROR NOAUTH", "ERROR NODB", "ERROR TOOBIG")):
                return rows, line, ""
            return rows, line, self.read_line()

    def close(self) -> None:
        """Close the connection."""
        self._file.close()
        self._socket.close()


class Vm:
    """Process of one entry VM."""

    def __init__(self, deployment: LocalDeployment, name: str) -> None:
        self.name = name
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.metrics_port = free_port()
        peer_port = free_port()
        settings = {
            "NodeName": name,
            "Zone": "north",
            "Ip": "127.0.0.1",
            "Listen": {"Front": self.front, "Ready": self.ready},
            "InternalPorts": [peer_port, self.metrics_port],
            "Limits": {"MaxFds": 1000},
            "Bounds": {
                "GraceS": 6,
                "QuotaWindowS": 5,
                "QuotaSlack": 20,
                "UsageWindowS": USAGE_WINDOW_S,
                "UsageLateS": USAGE_LATE_S,
                "LeaseMs": 500,
            },
            "platform": {"Address": deployment.store.address},
            "CloudApi": {
                "Address": deployment.store.address,
                "Duties": deployment.duties,
            },
        }
        path = deployment.folder / f"{name}.yaml"
        # The settings file is YAML, of which JSON is a subset.
        path.write_text(json.dumps(settings))
        self.log = deployment.folder / f"{name}.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "guavabarrow_platform"],
                env={**os.environ, "GUAVABARROW_SETTINGS": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def readiness(self) -> int:
        """Return the status of the readiness check, 0 if there is no response."""
        url = f"http://{self.ready}/guavabarrow/ready"
        try:
            with urllib.request.urlopen(url, timeout=2) as response:
                return response.status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    def metrics(self) -> str:
        """Return the metrics as text."""
        url = f"http://127.0.0.1:{self.metrics_port}/metrics"
        with urllib.request.urlopen(url, timeout=2) as response:
            return response.read().decode()

    def events(self, name: str) -> list[dict]:
        """Return the logged records of an event."""
        lines = self.log.read_text().splitlines()
        records = [json.loads(line) for line in lines if line.startswith("{")]
        return [record for record in records if record["event"] == name]

    def stop(self) -> None:
        """Kill the process if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class LocalDeployment:
    """Platform stand-ins and VMs of one test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = StandInStore()
        self.group = StandInGroup(self.store, SERVICE)
        self.vms: list[Vm] = []
        self.duties = ["failover"]
        self.version = 0
        self.configure()

    def configure(
        self,
        keys: tuple[str, ...] = (KEY,),
        other_keys: tuple[str, ...] = (),
        rate: float = 500,
        max_connections: int = 20,
        timeout_ms: int = 3000,
        **limits: float,
    ) -> None:
        """Write the next version of the configuration, with the keys of two teams."""
        self.version += 1
        kinds = ("primary", "bounded_staleness", "read_your_writes")
        routes = [
            {
                "Name": f"r-{kind}",
                "Host": kind.replace("_", "-"),
                "Service": SERVICE,
                "Kind": kind,
                "TimeoutMs": timeout_ms,
                "TargetLatencyMs": 400,
                "MaxStalenessMs": 1500,
                "Priority": 1,
                "NoAuth": False,
            }
            for kind in kinds
        ]
        tenants = [
            {"Name": name, "ApiKeys": list(held), "RatePerS": rate, "Burst": rate}
            for name, held in ((TEAM, keys), (OTHER_TEAM, other_keys))
        ]
        service = {"Name": SERVICE, "MaxConns": max_connections, "SyncReplicas": 0}
        configuration = {
            "Version": self.version,
            "Routes": routes,
            "Services": [service],
            "Limits": {"MaxBodyBytes": 262144, "IdleTxMs": 3000, **limits},
            "Tenants": tenants,
        }
        self.configuration = configuration
        self.store.put("op", "config", configuration)

    def start_vm(self, name: str) -> Vm:
        """Start a VM and wait until it serves writes."""
        vm = Vm(self, name)
        self.vms.append(vm)
        wait_for(lambda: vm.readiness() == 200, f"{name} is ready")
        wait_for(lambda: self.can_write(vm), f"{name} serves writes")
        return vm

    def can_write(self, vm: Vm) -> bool:
        """Return whether a write through the VM succeeds."""
        caller = Caller(vm.front, "primary")
        try:
            return caller.execute("WRITE probe x")[1].startswith("COMPLETE")
        finally:
            caller.close()

    def stop(self) -> None:
        """Stop the VMs and the stand-ins."""
        for vm in self.vms:
            vm.stop()
        self.group.close()
        self.store.close()
