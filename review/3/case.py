"""A VM gets SIGTERM while consumers have transactions open."""

from __future__ import annotations

import signal
import sys
import threading
import time
from dataclasses import dataclass
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
SESSIONS = 9
STATEMENTS = 12
WORK_S = 0.25
"""The longest work of ``stock-look`` is 0.3 s in the site file."""

PAUSE_S = 0.25
FIRST_S = 3.0
"""Requests that were sent later than this after SIGTERM have no excuse for work in the
last sixth of the grace period."""


@dataclass(frozen=True)
class Sent:
    """A request of a consumer, and how its answer ended."""

    request: str
    text: str
    sent_at: float
    ended_at: float
    outcome: str
    is_whole: bool


def run_transaction(address: str, number: int, sent: list[Sent]) -> None:
    """Run one transaction of twelve statements with pauses."""
    try:
        consumer = Consumer(address, "bounded-staleness")
    except OSError:
        return
    texts = ["BEGIN READ", *[f"READ item-{number}"] * (STATEMENTS - 1), "COMMIT"]
    for text in texts:
        _, outcome, ready = consumer.execute(text)
        is_whole = bool(outcome and ready)
        times = (consumer.sent_at, time.monotonic())
        sent.append(Sent(consumer.last_id, text, *times, outcome, is_whole))
        if not outcome.startswith("COMPLETE "):
            break
        if text != "BEGIN READ":
            time.sleep(PAUSE_S)
    consumer.close()


def case(record: Record) -> bool:
    """Run the case and return whether the rule held."""
    deployment = Deployment(ZONES)
    service = Service(deployment.platform, "orders-db-1", ZONES)
    service.work_s = lambda keyword: WORK_S
    sent: list[Sent] = []
    try:
        deployment.configure(service.name)
        deployment.start_vms()
        # The VM that holds the duty hands it over first; any other one does as well.
        stopped = deployment.vms[1]
        time.sleep(BOUNDS["ContactMs"] / 1000)
        threads = []
        for number in range(SESSIONS):
            arguments = (stopped.front, number, sent)
            thread = threading.Thread(target=run_transaction, args=arguments)
            thread.start()
            threads.append(thread)
            time.sleep(PAUSE_S / SESSIONS)
        signalled_at = time.monotonic()
        if has_trouble():
            record.say(f"{stopped.name} gets SIGTERM")
            stopped.signal(signal.SIGTERM)
        for thread in threads:
            thread.join(BOUNDS["GraceS"] + 12)
        service.write_ran(record)
        return judge(service, sent, signalled_at, record)
    finally:
        deployment.stop()
        service.close()


def judge(
    service: Service, sent: list[Sent], signalled_at: float, record: Record
) -> bool:
    """Return whether each request that reached a database was answered."""
    ran_at = {ran.request: ran.at for ran in service.ran}
    lost = []
    for request in sorted(sent, key=lambda request: request.sent_at):
        after_s = request.sent_at - signalled_at
        record.write(
            f"{request.request} {request.text}, {after_s:+.3f} s from SIGTERM: "
            f"{request.outcome or 'no answer'}",
            request.sent_at,
        )
        is_planned = 0 <= after_s <= BOUNDS["GraceS"] + 1
        if not request.is_whole and request.request in ran_at and is_planned:
            began_s = ran_at[request.request] - signalled_at
            ended_s = request.ended_at - signalled_at
            record.say(
                f"{request.request} {request.text}: sent {after_s:.3f} s after it, "
                f"began to run {began_s:.3f} s after SIGTERM, connection ended without "
                f"an answer {ended_s:.3f} s after it"
            )
            if after_s > FIRST_S:
                lost.append(request)
    record.say(f"requests: {len(sent)}, lost without an excuse: {len(lost)}")
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
