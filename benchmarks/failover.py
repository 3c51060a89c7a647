"""Measures the failover gap over repeated kills of the primary, on real processes.

Callers write continuously; the gap is the time from SIGKILL of the primary to the
first write that was sent after it and acknowledged. Prints one JSON document.

Usage: python benchmarks/failover.py [KILLS] [POLICY]
"""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from harness.caller import Caller, Workload
from harness.process_fleet import ProcessFleet, wait_until

from guavabarrow_cli.embedded_fleet import Layout, LayoutService, LayoutTeam
from guavabarrow_core.exceptions import ExecutionStatus

SERVICE = "orders-db"
DOMAINS = ("tanta-hall", "mahalla-depot", "kafr-station")
TEAM = LayoutTeam("kiosks", (SERVICE,), rate_per_s=1e6, burst=1e6)
PHASES = ("detection", "fencing", "promotion")


def phase_means(fleet: ProcessFleet) -> dict[str, float]:
    """Return the mean duration of each phase over all VMs, seconds."""
    means = {}
    for phase in PHASES:
        name = "guavabarrow_promotion_seconds"
        label = f'{{phase="{phase}"}}'
        total = sum(fleet.metric(vm, f"{name}_sum{label}") for vm in fleet.vms)
        count = sum(fleet.metric(vm, f"{name}_count{label}") for vm in fleet.vms)
        means[phase] = round(total / count, 4) if count else 0.0
    return means


def main() -> None:
    """Run the benchmark."""
    kills = int(sys.argv[1]) if len(sys.argv) > 1 else 30
    detection = sys.argv[2] if len(sys.argv) > 2 else "corroborated"
    layout = Layout(
        vm_domains=DOMAINS,
        services=(LayoutService(SERVICE, DOMAINS, 30, 2),),
        teams=(TEAM,),
        lag_ms=20.0,
        policies={"detection": detection},
    )
    gaps = []
    with TemporaryDirectory(prefix="guavabarrow-") as directory:
        fleet = ProcessFleet(layout, Path(directory))
        fleet.start()
        try:
            ports = [fleet.port_by_name[vm] for vm in fleet.vms]
            setup = Caller(ports, TEAM.key)
            assert setup.write("CREATE TABLE entry (row TEXT)").ok
            with Workload(ports, TEAM.key, session_count=4, pause_s=0.02) as workload:
                for _ in range(kills):
                    gaps.append(measure_gap(fleet, workload))
            violations = workload.history.check(workload.final_rows(setup))
            unknown = sum(
                write.ran is ExecutionStatus.OUTCOME_UNKNOWN
                for write in workload.history.writes
            )
            document = {
                "detection": detection,
                "kills": kills,
                "median_s": round(median(gaps), 4),
                "p90_s": round(sorted(gaps)[int(0.9 * (len(gaps) - 1))], 4),
                "worst_s": round(max(gaps), 4),
                "phase_mean_s": phase_means(fleet),
                "writes": len(workload.history.writes),
                "refused_answers": len(workload.failures),
                "unknown_outcomes": unknown,
                "violations": [str(violation) for violation in violations],
            }
        finally:
            fleet.stop()
    sys.stdout.write(json.dumps(document) + "\n")


def measure_gap(fleet: ProcessFleet, workload: Workload) -> float:
    """Kill the primary, wait for an acknowledged write, and restart it.

    Returns the failover gap, seconds.
    """
    primary = fleet.primary(SERVICE)
    killed_at = time.monotonic()
    fleet.kill(primary)

    def first_acknowledgement() -> float | None:
        times = [
            write.answered_at
            for write in workload.history.writes[-50:]
            if write.ran is ExecutionStatus.RAN and write.sent_at >= killed_at
        ]
        return min(times, default=None)

    acknowledged_at = wait_until(first_acknowledgement, "a write is acknowledged")
    fleet.restart(primary)
    wait_until(
        lambda: all(
            target.age_s is not None and target.age_s < 1.0
            for target in fleet.group(fleet.vms[0], SERVICE).targets
        ),
        "all databases are up to date",
    )
    return acknowledged_at - killed_at


if __name__ == "__main__":
    main()
