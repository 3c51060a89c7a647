"""Measures throughput and added latency of a VM, compared with direct calls.

Runs the platform, three databases and one entry VM as separate processes, and a
closed loop of callers in this process. Prints one JSON document.
"""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram
from loguru import logger
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from harness.process_fleet import ProcessFleet

from guavabarrow_cli.embedded_fleet import (
    LOOPBACK,
    SECRET_BY_USE,
    Layout,
    LayoutService,
    LayoutTeam,
)
from guavabarrow_cli.run_in_reactor import run_in_reactor
from guavabarrow_core.request_id import create_request_id
from guavabarrow_daemon.http.client_connection import open_connection
from guavabarrow_daemon.targets.http_messages import Connect, Execute

CALLERS = (1, 16, 64)
DURATION_S = 4.0
SERVICE = "orders-db"
TEAM = LayoutTeam("kilima", (SERVICE,), rate_per_s=1e6, burst=1e6)
LAYOUT = Layout(
    vm_domains=("dar-kariakoo",),
    services=(LayoutService(SERVICE, ("dar-kariakoo",) * 3, 80, 3),),
    teams=(TEAM,),
    lag_ms=0.0,
)
READ_SQL = "SELECT 1"
WRITE_SQL = "INSERT INTO bench VALUES (1)"


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process, seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def run_closed_loop(
    port: int, callers: int, build_request: Any, *, connect: bool
) -> dict[str, float]:
    """Run callers that send the next request after the last response."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    end_at = time.monotonic() + DURATION_S
    failed = 0

    async def run() -> None:
        nonlocal failed
        connection = await open_connection(reactor, LOOPBACK, port)
        if connect:
            body = msgspec.json.encode(Connect(SECRET_BY_USE["target"]))
            await connection.request("POST", "/connect", body)
        while time.monotonic() < end_at:
            path, body, headers = build_request()
            started_at = time.monotonic()
            response = await connection.request("POST", path, body, headers)
            histogram.record_value(max(1, int((time.monotonic() - started_at) * 1e6)))
            failed += response.status != 200
        connection.abort()

    started_at = time.monotonic()
    await DeferredList([Deferred.fromCoroutine(run()) for _ in range(callers)])
    elapsed_s = time.monotonic() - started_at
    return {
        "per_s": round(histogram.get_total_count() / elapsed_s, 1),
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "failed": failed,
    }


def build_database_request() -> tuple[str, bytes, None]:
    """Return a read request to a database, as an entry VM sends it."""
    return "/execute", msgspec.json.encode(Execute(READ_SQL, read=True)), None


def vm_request_builder(sql: str, *, read: bool) -> Any:
    """Return a builder of requests to the entry VM."""
    body = msgspec.json.encode({"sql": sql, "read": read})
    path = f"/v1/services/{SERVICE}/statements"

    def build_request() -> tuple[str, bytes, dict[str, str]]:
        headers = {"Authorization": f"Bearer {TEAM.key}"}
        if not read:
            headers["Request-Id"] = create_request_id(time.time())
        return path, body, headers

    return build_request


async def measure(fleet: ProcessFleet) -> list[dict[str, Any]]:
    """Run all cases for each number of callers and return their results."""
    vm = "vm-1"
    vm_port = fleet.port_by_name[vm]
    database_port = fleet.port_by_name[f"{SERVICE}-a"]
    build_create = vm_request_builder("CREATE TABLE bench (n INTEGER)", read=False)
    connection = await open_connection(reactor, LOOPBACK, vm_port)
    path, body, headers = build_create()
    await connection.request("POST", path, body, headers)
    connection.abort()
    cases = []
    for callers in CALLERS:
        for name, port, build_request, connect in (
            ("direct read", database_port, build_database_request, True),
            ("read", vm_port, vm_request_builder(READ_SQL, read=True), False),
            ("write", vm_port, vm_request_builder(WRITE_SQL, read=False), False),
        ):
            cpu_before = cpu_seconds(fleet.process_by_name[vm].pid)
            result = await run_closed_loop(
                port, callers, build_request, connect=connect
            )
            cpu_s = cpu_seconds(fleet.process_by_name[vm].pid) - cpu_before
            count = result["per_s"] * DURATION_S
            result["vm_us_per_statement"] = round(cpu_s / count * 1e6, 1)
            result["vm_core_share"] = round(cpu_s / DURATION_S, 3)
            cases.append({"case": name, "callers": callers, **result})
    return cases


def main() -> None:
    """Run the benchmark."""
    logger.remove()
    with TemporaryDirectory(prefix="guavabarrow-") as directory:
        fleet = ProcessFleet(LAYOUT, Path(directory))
        try:
            fleet.start()
            cases = run_in_reactor(reactor, lambda: measure(fleet))
        finally:
            fleet.stop()
    for case in cases:
        sys.stdout.write(json.dumps(case) + "\n")


if __name__ == "__main__":
    main()
