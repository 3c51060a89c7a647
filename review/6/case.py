"""A replica that the store can't hear is left out when a primary is replaced."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from standins import HEARTBEAT_S, CannotRun, Deployment, Group, run_case  # noqa: E402

CUT_S = 5.0
"""``srv_cut`` of ``fleetbench kinds``: 5 s."""

CRASH_AFTER_S = 4.3
"""The primary crashes this long after the replica was cut off."""


def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Cut a replica off from the store; a deaf one is left when the primary crashes."""
    groups = [
        Group(deployment.store, name, sync_replicas=1)
        for name in ("gowu98c", "xano55b")
    ]
    for group in groups:
        for number, zone in enumerate(deployment.zones):
            group.add(f"i-{group.name}-{number}", zone)
    deployment.configure(groups)
    group = groups[0]
    deployment.start_vms()
    primary, listener, deaf = group.databases
    route = f"{group.name}-primary"
    for vm in deployment.vms:
        deployment.wait_for(
            lambda vm=vm: deployment.write(vm, route, "WRITE probe x")[1].startswith(
                "COMPLETE"
            ),
            f"{vm.name} serves writes",
        )
    acknowledged: list[str] = []
    is_over = threading.Event()

    def write_on(vm, number: int) -> None:
        count = 0
        while not is_over.is_set():
            count += 1
            request_id, outcome = deployment.write(
                vm, route, f"WRITE n{number} v{count}"
            )
            if outcome.startswith("COMPLETE mac"):
                acknowledged.append(request_id)
            time.sleep(0.1)

    writers = [
        threading.Thread(target=write_on, args=(vm, number), daemon=True)
        for number, vm in enumerate(deployment.vms)
    ]
    for writer in writers:
        writer.start()
    time.sleep(2.0)
    # The cut begins when the replica's next check-in is due.
    last = listener.sequence
    deployment.wait_for(lambda: listener.sequence > last, "the replica checks in")
    time.sleep(HEARTBEAT_S - 0.1)
    began_at = time.monotonic()
    if trouble:
        deployment.record.write(f"fault: {listener.name} is cut off from the store")
        deployment.record.write(f"fault: {deaf.name} receives nothing")
        listener.is_cut_from_store = True
        deaf.is_deaf = True
    time.sleep(CRASH_AFTER_S)
    if trouble:
        deployment.record.write(f"fault: {primary.name} crashes")
        primary.stop()
    time.sleep(max(0.0, began_at + CUT_S - time.monotonic()))
    listener.is_cut_from_store = False
    time.sleep(1.0)
    if trouble:
        group.hear_again(deaf)
        deployment.wait_for(lambda: group.promoted, "a database is promoted")
    time.sleep(2.0)
    is_over.set()
    for writer in writers:
        writer.join(5.0)
    if len(acknowledged) < 20:
        raise CannotRun(f"only {len(acknowledged)} writes were acknowledged")
    if not trouble:
        held = {entry[3] for entry in primary.log}
        lost = [request for request in acknowledged if request not in held]
        return [f"{len(lost)} commits are not at the primary"] if lost else []
    name, kept = group.promoted[0]
    before = {entry[3] for entry in primary.log}
    lost = [r for r in acknowledged if r in before and r not in kept]
    if not lost:
        return []
    return [
        f"LOST: {len(lost)} of {len(acknowledged)} acknowledged commits are not in the "
        f"log of {name}, which was promoted; the first is {lost[0]}"
    ]


if __name__ == "__main__":
    run_case(FOLDER, case)
