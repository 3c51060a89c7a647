"""Measures replica share and latency of reads by read policy, on real processes.

Sessions write, switch to another VM and read at once, at 50 ms replication lag. Prints
one JSON document for each policy.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from pathlib import Path
from tempfile import TemporaryDirectory

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from harness.caller import Caller
from harness.process_fleet import ProcessFleet

from guavabarrow_cli.embedded_fleet import Layout, LayoutService, LayoutTeam

SERVICE = "orders-db"
DOMAINS = ("dar-kariakoo", "dar-temeke", "dar-ubungo")
TEAM = LayoutTeam("kilima", (SERVICE,), rate_per_s=1e6, burst=1e6)
POLICIES = ("adaptive", "fixed_wait", "primary_only")
SESSIONS = 6
WRITES_PER_SESSION = 40
READS_PER_WRITE = 4


def run_session(ports: list[int], number: int, samples: list[tuple[str, float]]) -> int:
    """Write and read; return the number of reads that missed the session's write."""
    caller = Caller(ports, TEAM.key)
    caller.switch_vm(number)
    stale = 0
    for write_number in range(WRITES_PER_SESSION):
        row = f"{number}/{write_number}"
        assert caller.write("INSERT INTO entry VALUES (?)", row).ok
        for _ in range(READS_PER_WRITE):
            caller.switch_vm()
            started_at = time.monotonic()
            response = caller.read("SELECT row FROM entry WHERE row = ?", row)
            assert response.ok, response
            samples.append((response.body["source"], time.monotonic() - started_at))
            stale += response.body["rows"] != [[row]]
    return stale


def measure(policy: str) -> dict[str, object]:
    """Run all sessions under one read policy and return the results."""
    layout = Layout(
        vm_domains=DOMAINS,
        services=(LayoutService(SERVICE, DOMAINS, 20, 3),),
        teams=(TEAM,),
        lag_ms=50.0,
        policies={"reads": policy},
    )
    samples: list[tuple[str, float]] = []
    stale_counts: list[int] = []
    with TemporaryDirectory(prefix="guavabarrow-") as directory:
        fleet = ProcessFleet(layout, Path(directory), has_vm_relays=False)
        try:
            fleet.start()
            ports = [fleet.port_by_name[vm] for vm in fleet.vms]
            assert Caller(ports, TEAM.key).write("CREATE TABLE entry (row TEXT)").ok
            threads = [
                threading.Thread(
                    target=lambda n=number: stale_counts.append(
                        run_session(ports, n, samples)
                    )
                )
                for number in range(SESSIONS)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        finally:
            fleet.stop()
    times = sorted(duration for _, duration in samples)
    replica_count = sum(source == "replica" for source, _ in samples)
    return {
        "policy": policy,
        "reads": len(samples),
        "replica_share": round(replica_count / len(samples), 4),
        "stale": sum(stale_counts),
        "p50_ms": round(times[len(times) // 2] * 1000, 2),
        "p99_ms": round(times[int(len(times) * 0.99)] * 1000, 2),
    }


def main() -> None:
    """Run all policies."""
    for policy in POLICIES:
        sys.stdout.write(json.dumps(measure(policy)) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
