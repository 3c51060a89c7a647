"""A small deployment: VM processes as the deploy file starts them, and consumers."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path

from harness.store import Platform, free_port

ROOT = Path(__file__).resolve().parents[2]
TENANT = "tenant-a"
KEY = "ukey-a"
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 7000,
    "GraceS": 6,
    "LostMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 12000,
    "QuotaWindowS": 5,
    "QuotaOver": 0.1,
    "QuotaSlack": 20,
    "EvacMs": 5000,
    "RecoverS": 12,
    "RequireFence": False,
    "ThawMs": 300,
}
WAIT_S = 20.0


class CannotRun(Exception):
    """The case couldn't be run."""


def wait_for(condition, what: str, timeout_s: float = WAIT_S) -> None:
    """Wait until a condition holds."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun(f"{what}: not within {timeout_s} s")


class Record:
    """The record of a run, with times since its start."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line."""
        at_s = (time.monotonic() if at is None else at) - self._began_at
        with self._lock:
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.write(text)
        print(text, flush=True)


class Consumer:
    """One session; each request gets a new id."""

    def __init__(
        self, address: str, database: str, key: str = KEY, timeout_s: float = 8.0
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=timeout_s)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self._socket.makefile("rb")
        self._name = os.urandom(4).hex()
        self._number = 0
        self.last_id = ""
        self.sent_at = 0.0
        self._send(f"STARTUP {database} {key}")
        self.greeting = self._read()

    def execute(self, text: str) -> tuple[list[str], str, str]:
        """Send a statement; return rows, outcome and READY, empty where none came."""
        self._number += 1
        self.last_id = f"{self._name}-{self._number}"
        self.sent_at = time.monotonic()
        rows: list[str] = []
        try:
            self._send(f"QUERY {self.last_id} {text}")
            while True:
                line = self._read()
                if line.startswith("DATAROW"):
                    rows.append(line[8:])
                elif line.startswith(("COMPLETE", "ERROR")):
                    return rows, line, self._read()
                else:
                    return rows, "", ""
        except OSError:
            return rows, "", ""

    def close(self) -> None:
        """Close the connection."""
        self._file.close()
        self._socket.close()

    def _send(self, line: str) -> None:
        self._socket.sendall(f"{line}\r\n".encode())

    def _read(self) -> str:
        return self._file.readline().decode().rstrip("\r\n")


class Vm:
    """One entry VM: a process with the command and the variables of the deploy file."""

    def __init__(self, deployment: Deployment, name: str, zone: str) -> None:
        self.name = name
        self.front = f"127.0.0.1:{free_port()}"
        self._ready = f"127.0.0.1:{free_port()}"
        settings = {
            "NodeName": name,
            "Role": "entry",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": "127.0.0.1",
            "Zone": zone,
            "Region": "dar",
            "Zones": dict.fromkeys(deployment.zones, "dar"),
            "Listen": {"Front": self.front, "Ready": self._ready},
            "InternalPorts": [free_port(), free_port()],
            "Limits": {
                "CpuShare": 0.537,
                "CpuCores": 2,
                "MemoryMb": 300,
                "MaxFds": 4200,
            },
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS,
            "platform": {"Address": deployment.platform.address, "form": "table"},
            "CloudApi": {
                "Address": deployment.platform.address,
                "Duties": ["failover"],
            },
        }
        self._settings = deployment.folder / f"{name}.yaml"
        # JSON is a subset of YAML.
        self._settings.write_text(json.dumps(settings), encoding="utf-8")
        self._log = deployment.folder / f"{name}.log"
        self.start()

    def start(self) -> None:
        """Start the process, again after it ended."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["entry"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        variables = {name: os.environ[name] for name in kept if name in os.environ}
        variables["GUAVABARROW_SETTINGS"] = str(self._settings)
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    @property
    def is_ready(self) -> bool:
        """Whether the VM answers the platform's question with 200."""
        url = f"http://{self._ready}/guavabarrow/ready"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as response:
                return response.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def log(self) -> str:
        """Return what the process wrote."""
        return self._log.read_text("utf-8", errors="replace")

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """The platform, and VMs in some zones."""

    def __init__(self, zones: list[str]) -> None:
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("the build of the deploy file has not run")
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.platform = Platform()
        self.vms: list[Vm] = []
        self.version = 0

    def configure(
        self, service: str, *, sync_replicas: int = 0, max_conns: int = 21
    ) -> None:
        """Write a configuration with a route of each kind."""
        self.version += 1
        kinds = ("primary", "bounded_staleness", "read_your_writes")
        routes = [
            {
                "Host": kind.replace("_", "-"),
                "Service": service,
                "Kind": kind,
                "TimeoutMs": 2000 if kind == "bounded_staleness" else 1000,
                "TargetLatencyMs": 600 if kind == "bounded_staleness" else 400,
                "MaxStalenessMs": 1500,
                "Priority": 1,
                "NoAuth": False,
            }
            for kind in kinds
        ]
        configuration = {
            "Version": self.version,
            "Routes": routes,
            "Services": [
                {"Name": service, "MaxConns": max_conns, "SyncReplicas": sync_replicas}
            ],
            "Limits": {"MaxBodyBytes": 262144, "IdleTxMs": 3000},
            "Tenants": [
                {
                    "Name": TENANT,
                    "ApiKeys": [KEY],
                    "RatePerS": 2000,
                    "Burst": 2000,
                }
            ],
        }
        self.platform.put("op", "config", configuration)

    def start_vms(self) -> None:
        """Start a VM in each zone, and wait until all of them serve writes."""
        for zone in self.zones:
            self.vms.append(Vm(self, f"front-{zone}", zone))
        for vm in self.vms:
            wait_for(lambda vm=vm: vm.is_ready, f"{vm.name} is ready")
        for vm in self.vms:
            wait_for(lambda vm=vm: can_write(vm), f"{vm.name} serves writes")

    def stop(self) -> None:
        """End all processes, and remove their files."""
        for vm in self.vms:
            vm.kill()
        self.platform.close()
        kept = os.environ.get("REVIEW_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def can_write(vm: Vm) -> bool:
    """Return whether a write through a VM succeeds."""
    try:
        consumer = Consumer(vm.front, "primary")
        _, outcome, _ = consumer.execute("WRITE probe x")
        consumer.close()
    except OSError:
        return False
    return outcome.startswith("COMPLETE ")


def has_trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, folder: Path) -> int:
    """Run a case and return the exit code of its script."""
    # Ends the processes also if this script is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder / "record.txt")
    record.say(f"trouble: {'yes' if has_trouble() else 'no'}")
    try:
        is_kept = case(record)
    except (CannotRun, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        return 2
    record.say("the rule held" if is_kept else "THE RULE WAS BROKEN")
    return 0 if is_kept else 1
