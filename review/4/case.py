"""Consumers prepare statements whose shapes have several words."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from harness.databases import Service
from harness.deployment import (
    Consumer,
    Deployment,
    Record,
    has_trouble,
    run_case,
)

ZONES = ["dar-kariakoo", "dar-ubungo", "dar-temeke"]
ONE_WORD = ["q2c", "q7", "q9f", "q11"]
SEVERAL_WORDS = ["orders by day", "orders by week", "q7 READ q9f", "q2c WRITE q7"]
"""The last field of a line extends to its end, so it may contain blanks. The last two
repeat words of the protocol."""

ROUNDS = 10


def case(record: Record) -> bool:
    """Run the case and return whether the rule held."""
    deployment = Deployment(ZONES)
    service = Service(deployment.platform, "orders-db-1", ZONES)
    shape_by_request: dict[str, str] = {}
    try:
        deployment.configure(service.name)
        deployment.start_vms()
        shapes = ONE_WORD + (SEVERAL_WORDS if has_trouble() else [])
        vm = deployment.vms[0]
        consumers: dict[str, Consumer] = {}
        for shape in shapes:
            consumers[shape] = Consumer(vm.front, "primary")
            _, outcome, _ = consumers[shape].execute(f"PREPARE s1 READ {shape}")
            record.write(f"PREPARE s1 READ {shape}: {outcome}")
            if outcome != "COMPLETE -":
                record.say(f"the shape {shape!r} was refused")
                del consumers[shape]
        for number in range(ROUNDS):
            for shape, consumer in consumers.items():
                _, outcome, ready = consumer.execute(f"EXECUTE s1 item-{number}")
                shape_by_request[consumer.last_id] = f"READ {shape}"
                record.write(
                    f"{consumer.last_id} EXECUTE s1 item-{number} ({shape}): "
                    f"{outcome} / {ready}"
                )
                time.sleep(0.02)
        service.write_ran(record)
        return judge(service, shape_by_request, record)
    finally:
        deployment.stop()
        service.close()


def judge(service: Service, shape_by_request: dict[str, str], record: Record) -> bool:
    """Return whether each prepared name was known, and ran its consumer's shape."""
    wrong = []
    for at, database, request, text, prepared in list(service.executed):
        expected = shape_by_request.get(request)
        if expected is None or prepared == expected:
            continue
        found = "is unknown" if prepared is None else f"runs {prepared!r}"
        record.write(
            f"{database} {request} {text!r}: the name {found}; its consumer prepared "
            f"{expected!r}",
            at,
        )
        wrong.append((request, prepared))
    unknown = [request for request, prepared in wrong if prepared is None]
    record.say(
        f"executed: {len(service.executed)}, name unknown at the database: "
        f"{len(unknown)}, another shape ran: {len(wrong) - len(unknown)}"
    )
    innocent = [
        request
        for request, _ in wrong
        if shape_by_request[request].removeprefix("READ ") in ONE_WORD
    ]
    record.say(f"of these, of consumers whose shape is one word: {len(innocent)}")
    return not wrong


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
