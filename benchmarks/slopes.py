"""Measures how the idle cost of VMs grows with VMs, databases, teams and connections.

Starts fleets of real processes without callers, waits for them to settle, and measures
CPU time, memory, bytes between VMs and store operations. Prints one JSON document per
line.

Usage: python benchmarks/slopes.py [INDEX OF CASE ...]
"""

from __future__ import annotations

import json
import resource
import socket
import sys
import time
from http.client import HTTPConnection
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from harness.process_fleet import ProcessFleet
from path import cpu_seconds

from guavabarrow_cli.embedded_fleet import (
    LOOPBACK,
    Layout,
    LayoutService,
    LayoutTeam,
)
from guavabarrow_core.fleet import Template
from guavabarrow_core.fleet_change import PutTemplate

DOMAINS = ("tanta-hall", "mahalla-depot", "kafr-station")
SETTLE_S = 3.0
MEASURE_S = 8.0
ALL_CASES = (
    # VMs, services of three databases, teams
    (3, 1, 8),
    (9, 1, 8),
    (27, 1, 8),
    (45, 1, 8),
    (9, 3, 8),
    (9, 9, 8),
    (9, 1, 200),
    (9, 1, 1000),
)
CONNECTIONS = (0, 2000, 6000)
CHANGES = 5


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process, MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def store_operations(fleet: ProcessFleet) -> int:
    """Return the number of store operations that the platform has served."""
    connection = HTTPConnection(LOOPBACK, fleet.port_by_name["platform"], timeout=5)
    connection.request("GET", "/operations")
    return sum(json.loads(connection.getresponse().read()).values())


def create_fleet(directory: str, vms: int, services: int, teams: int) -> ProcessFleet:
    """Return a fleet that is not started yet."""
    names = [f"core-{number}" for number in range(services)]
    layout = Layout(
        vm_domains=DOMAINS * (vms // len(DOMAINS)),
        services=tuple(LayoutService(name, DOMAINS, 90, 2) for name in names),
        teams=tuple(LayoutTeam(f"t{number}", (names[0],)) for number in range(teams)),
    )
    return ProcessFleet(layout, Path(directory), has_vm_relays=False)


def measure_idle(fleet: ProcessFleet) -> dict[str, Any]:
    """Return the resource use of the idle fleet, per VM and second."""
    pids = [fleet.process_by_name[vm].pid for vm in fleet.vms]
    sample = fleet.vms[:3]
    time.sleep(SETTLE_S)
    cpu_before = [cpu_seconds(pid) for pid in pids]
    sent_before = [
        fleet.metric(vm, 'guavabarrow_peer_bytes_total{direction="sent"}')
        for vm in sample
    ]
    store_before = store_operations(fleet)
    started_at = time.monotonic()
    time.sleep(MEASURE_S)
    elapsed_s = time.monotonic() - started_at
    cpu = [
        cpu_seconds(pid) - before for pid, before in zip(pids, cpu_before, strict=True)
    ]
    sent = [
        fleet.metric(vm, 'guavabarrow_peer_bytes_total{direction="sent"}') - before
        for vm, before in zip(sample, sent_before, strict=True)
    ]
    store = store_operations(fleet) - store_before
    return {
        "core_percent": round(100 * sum(cpu) / len(cpu) / elapsed_s, 2),
        "memory_mb": round(sum(memory_mb(pid) for pid in pids) / len(pids), 1),
        "peer_bytes_per_s": round(sum(sent) / len(sent) / elapsed_s),
        "store_operations_per_s": round(store / elapsed_s, 1),
    }


def measure_propagation(fleet: ProcessFleet) -> dict[str, Any]:
    """Return median and worst time until all VMs have applied a change, seconds."""
    times = [
        fleet.admin(fleet.vms[number % 3])
        .change([PutTemplate(Template(f"probe-{number}"))], author="bench")
        .seconds
        for number in range(CHANGES)
    ]
    return {"force_median_s": sorted(times)[CHANGES // 2], "force_worst_s": max(times)}


def measure_connections(fleet: ProcessFleet) -> dict[str, Any]:
    """Return the memory of a VM by the number of idle caller connections."""
    vm = fleet.vms[0]
    pid = fleet.process_by_name[vm].pid
    sockets: list[socket.socket] = []
    memory = {}
    for count in CONNECTIONS:
        while len(sockets) < count:
            sockets.append(socket.create_connection((LOOPBACK, fleet.port_by_name[vm])))
        time.sleep(1.0)
        memory[count] = round(memory_mb(pid), 1)
    for connection in sockets:
        connection.close()
    kb = 1024 * (memory[CONNECTIONS[-1]] - memory[0]) / CONNECTIONS[-1]
    return {"memory_mb_by_connections": memory, "kb_per_connection": round(kb, 2)}


def main() -> None:
    """Run all cases."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 20_000)), hard))
    cases = [ALL_CASES[int(index)] for index in sys.argv[1:]] or ALL_CASES
    for vms, services, teams in cases:
        with TemporaryDirectory(prefix="guavabarrow-") as directory:
            fleet = create_fleet(directory, vms, services, teams)
            try:
                fleet.start()
                result = measure_idle(fleet) | measure_propagation(fleet)
                if (vms, services, teams) == ALL_CASES[0]:
                    result |= measure_connections(fleet)
            finally:
                fleet.stop()
        case = {"vms": vms, "databases": 3 * services, "teams": teams}
        sys.stdout.write(json.dumps(case | result) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
