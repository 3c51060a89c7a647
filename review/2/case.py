"""An entry that can't be read stands in ``servers``, and all processes are killed."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

from harness.databases import Service
from harness.deployment import (
    BOUNDS,
    Consumer,
    Deployment,
    Record,
    has_trouble,
    run_case,
)

ZONES = ["dar-kariakoo", "dar-ubungo", "dar-temeke"]
UNREADABLE = b'{"Version": ' + b"[" * 40000
"""Cut off, so that it is no JSON; 40 KB of the 64 KB that a row may have."""

DOWN_S = 1.2
REMOVED_AFTER_S = 8.0
"""The entry goes, seconds before anything is judged."""

BEFORE_S = 5.0
JUDGED_S = 20.0
SESSIONS = 6


def send_regularly(
    address: str,
    kind: str,
    answers: list[tuple[float, bool]],
    record: Record,
    is_over: threading.Event,
) -> None:
    """Send single statements, each with its session, as some consumers do."""
    number = 0
    while not is_over.is_set():
        number += 1
        text = f"READ item-{number}" if number % 2 else f"WRITE item-{number} data"
        if kind == "bounded-staleness":
            text = f"READ item-{number}"
        sent_at = time.monotonic()
        try:
            consumer = Consumer(address, kind)
            _, outcome, _ = consumer.execute(text)
            consumer.close()
        except OSError as error:
            outcome = f"no connection: {error}"
        answers.append((sent_at, outcome.startswith("COMPLETE ")))
        record.write(f"{kind} {text}: {outcome[:90]}")
        time.sleep(0.2)


def case(record: Record) -> bool:
    """Run the case and return whether the rule held."""
    deployment = Deployment(ZONES)
    service = Service(deployment.platform, "orders-db-1", ZONES)
    is_over = threading.Event()
    answers: list[tuple[float, bool]] = []
    try:
        deployment.configure(service.name)
        deployment.start_vms()
        kinds = ("primary", "read-your-writes", "bounded-staleness")
        for number in range(SESSIONS):
            vm = deployment.vms[number % len(deployment.vms)]
            kind = kinds[number // 3 % 3 if number < 3 else number % 3]
            arguments = (vm.front, kind, answers, record, is_over)
            threading.Thread(target=send_regularly, args=arguments, daemon=True).start()
        time.sleep(BEFORE_S)
        if has_trouble():
            record.say("another writer's entry that can't be read appears in servers")
            deployment.platform.put_bytes("servers", "other-writer", UNREADABLE)
        record.say("all VM processes are killed")
        killed_at = time.monotonic()
        for vm in deployment.vms:
            vm.kill()
        time.sleep(DOWN_S)
        for vm in deployment.vms:
            vm.start()
        back_at = time.monotonic()
        record.say(f"all VM processes are started again after {DOWN_S} s")
        time.sleep(REMOVED_AFTER_S)
        if has_trouble():
            record.say("the entry is removed")
            deployment.platform.put_bytes("servers", "other-writer", None)
        time.sleep(BOUNDS["RecoverS"] - REMOVED_AFTER_S + JUDGED_S)
        is_over.set()
        service.write_ran(record)
        states = [vm.process.poll() for vm in deployment.vms]
        record.say(f"exit codes of the VMs (None: running): {states}")
        before = [done for at, done in answers if at < killed_at - 0.5]
        after = [done for at, done in answers if at > back_at + BOUNDS["RecoverS"]]
        record.say(f"before the fault {sum(before)} of {len(before)} were served")
        record.say(
            f"later than RecoverS after the VMs were back, {sum(after)} of "
            f"{len(after)} were served"
        )
        was_served = sum(before) * 4 >= len(before)
        return not was_served or sum(after) * 4 >= len(after)
    finally:
        is_over.set()
        deployment.stop()
        service.close()


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
