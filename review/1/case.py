"""SyncReplicas 1: one replica is released, the other one is deaf, the primary crashes.

The draining replica still receives each commit, and each acknowledged commit is in its
log. The deaf replica lacks them, and is the one that is promoted.
"""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

from harness.databases import Service
from harness.deployment import (
    Consumer,
    Deployment,
    Record,
    has_trouble,
    run_case,
    wait_for,
)

ZONES = ["dar-kariakoo", "dar-ubungo", "dar-temeke"]
WARM_UP_S = 3.0
DEAF_S = 5.0
CRASH_AFTER_S = 2.0
AFTER_S = 6.0


def write_regularly(
    address: str,
    acknowledged: dict[str, float],
    record: Record,
    is_over: threading.Event,
) -> None:
    """Write one item after the other, and keep what was acknowledged."""
    number = 0
    while not is_over.is_set():
        try:
            consumer = Consumer(address, "primary")
            while not is_over.is_set():
                number += 1
                _, outcome, ready = consumer.execute(f"WRITE item-{number} data")
                record.write(f"write {consumer.last_id} item-{number}: {outcome}")
                if outcome.startswith("COMPLETE "):
                    acknowledged[consumer.last_id] = time.monotonic()
                if not ready:
                    break
                time.sleep(0.1)
        except OSError:
            time.sleep(0.1)


def case(record: Record) -> bool:
    """Run the case and return whether the rule held."""
    deployment = Deployment(ZONES)
    service = Service(deployment.platform, "orders-db-1", ZONES, sync_replicas=1)
    primary, released, deaf = service.databases
    is_over = threading.Event()
    acknowledged: dict[str, float] = {}
    try:
        deployment.configure(service.name, sync_replicas=1)
        deployment.start_vms()
        for vm in deployment.vms:
            arguments = (vm.front, acknowledged, record, is_over)
            threading.Thread(
                target=write_regularly, args=arguments, daemon=True
            ).start()
        time.sleep(WARM_UP_S)
        record.say(f"acknowledged so far: {len(acknowledged)}")
        if has_trouble():
            record.say(f"{released.name} reports that it is draining")
            released.state = "draining"
            released.check_in()
            record.say(f"{deaf.name} receives nothing for {DEAF_S} s from now on")
            deaf.is_deaf = True
            threading.Timer(DEAF_S, setattr, (deaf, "is_deaf", False)).start()
        time.sleep(CRASH_AFTER_S)
        logs = [f"{d.name} ends at {d.position}" for d in service.databases]
        record.say(f"logs: {', '.join(logs)}")
        if has_trouble():
            record.say(f"the primary {primary.name} crashes")
            primary.crash()
            wait_for(lambda: service.promoted, "a database is promoted")
        time.sleep(AFTER_S)
        is_over.set()
        service.write_ran(record)
        return judge(service, acknowledged, record)
    finally:
        is_over.set()
        deployment.stop()
        service.close()


def judge(service: Service, acknowledged: dict[str, float], record: Record) -> bool:
    """Return whether each promoted log had what was acknowledged before."""
    lost_count = 0
    for promoted_at, name, log in service.promoted:
        kept = {entry.request for entry in log}
        lost = [
            request
            for request, at in acknowledged.items()
            if at < promoted_at and request not in kept
        ]
        record.write(f"{name} was promoted with {len(log)} commits", promoted_at)
        record.say(f"{name}: {len(lost)} acknowledged commits are not in its log")
        for request in lost:
            record.write(f"lost: {request}", acknowledged[request])
        lost_count += len(lost)
    record.say(
        f"promotions: {len(service.promoted)}, acknowledged writes: {len(acknowledged)}"
    )
    return lost_count == 0


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
