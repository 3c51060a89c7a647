"""One seeded run: deployment, load, faults, recovery and checks."""

from __future__ import annotations

import json
import time
from collections import Counter
from typing import TYPE_CHECKING

import numpy as np
from twisted.internet.task import LoopingCall

from soak.callers import Load, Session, SessionEnded
from soak.checks import Checker, Violation
from soak.deployment import SoakDeployment
from soak.faults import FaultInjector
from soak.network import reactor

if TYPE_CHECKING:
    from pathlib import Path

    from soak.deployment import SoakVm

RECOVERY_S = 12.0
"""Time after the last fault from which everything must be served, in s."""

WATCH_INTERVAL_S = 0.1
MIN_STALL_S = 0.5
"""Pause of the event loop from which it is reported: all traffic passes through it."""

LOG_WINDOW_S = 1.5
MAX_LOG_LINES = 40
MAX_DESCRIBED_BY_RULE = 4
FAILURE_EVENTS = ("background_task_failed", "statement_failed_internally", "Traceback")


def run_soak(
    seed: int,
    vm_count: int,
    duration_s: float,
    product: Path | None,
    folder: Path,
    only: str | None = None,
) -> bool:
    """Run one seed, print the outcome and return whether no rule was broken."""
    folder.mkdir(parents=True, exist_ok=True)
    randoms = (np.random.default_rng([seed, number]) for number in range(10_000))
    deployment = SoakDeployment(folder, vm_count, next(randoms), product)
    wall_offset = time.time() - time.monotonic()
    try:
        deployment.start()
        started_at = time.monotonic()
        injector = FaultInjector(deployment, randoms, only)
        load = Load(deployment, randoms)
        load.start()
        watch = LoopingCall(Watch(deployment).check)
        reactor.callFromThread(watch.start, WATCH_INTERVAL_S)
        injector.run(duration_s)
        time.sleep(RECOVERY_S)
        violations = check_recovery(deployment)
        load.stop()
        record = deployment.record
        record.kept_data = [d for group in deployment.groups for d in group.kept_data()]
        reactor.callFromThread(watch.stop)
        deployment.note_own_ends()
    finally:
        deployment.close()
    checker = Checker(record)
    violations += checker.check() + check_logs(deployment)
    codes = Counter(request.code for request in record.requests)
    faults = Counter(fault.kind for fault in record.faults)
    report = [
        f"seed {seed}: {len(record.versions)} versions, faults {dict(faults)},"
        f" judged {dict(checker.judged)}, answers {dict(codes)}"
    ]
    rules = Counter(violation.rule for violation in violations)
    report.append(f"seed {seed}: violations {dict(rules)}")
    for at, duration_s in record.stalls:
        text = f"stalled for {duration_s:.2f} s until {at - started_at:.2f} s"
        report.append(f"seed {seed}: the soak's event loop {text}")
    described: Counter[str] = Counter()
    for violation in violations:
        described[violation.rule] += 1
        lines = describe(violation, deployment, started_at, wall_offset)
        is_first = described[violation.rule] <= MAX_DESCRIBED_BY_RULE
        report += lines if is_first else lines[:1]
    (folder / "report.txt").write_text("\n".join(report) + "\n")
    (folder / "faults.txt").write_text(
        "".join(
            f"{fault.start - started_at:8.3f} {fault.end - started_at:8.3f}"
            f" {fault.start + wall_offset:.3f} {fault.kind} {' '.join(fault.ends)}\n"
            for fault in record.faults
        )
    )
    print("\n".join(report), flush=True)
    return not any(violation.is_broken for violation in violations)


class Watch:
    """Notes processes that end by themselves, and stalls of the event loop."""

    def __init__(self, deployment: SoakDeployment) -> None:
        self._deployment = deployment
        self._checked_at = time.monotonic()

    def check(self) -> None:
        """Note what happened since the last call."""
        now = time.monotonic()
        if now - self._checked_at > MIN_STALL_S:
            stall = (now, now - self._checked_at)
            self._deployment.record.stalls.append(stall)
        self._checked_at = now
        self._deployment.note_own_ends()


def check_recovery(deployment: SoakDeployment) -> list[Violation]:
    """Ask each VM for each database, a removed one, and with a withdrawn key."""
    version = deployment.operator.version
    violations = []

    def expect(vm: SoakVm, database: str, key: str, expected: str) -> None:
        now = time.monotonic()
        code, detail = "", ""
        try:
            session = Session(deployment, vm, database, key)
            session.open()
            request = session.execute("READ recovery")
            code, detail = request.code, request.detail
            session.close()
        except (SessionEnded, OSError) as error:
            code = str(error)
        if expected not in f"{code} {detail}":
            text = f"{database} {key}: {code} {detail} instead of {expected}"
            violations.append(Violation("RECOVER", now, vm.name, text))

    known = version.service_by_database
    removed = {
        name for old in deployment.record.versions for name in old.service_by_database
    }
    withdrawn = {key for old in deployment.record.versions for key in old.team_by_key}
    key = next(iter(version.team_by_key))
    for vm in deployment.vms:
        for database, service in known.items():
            expect(vm, database, key, f"COMPLETE i-{service}-")
        for database in sorted(removed - known.keys()):
            expect(vm, database, key, "NODB")
        for old in sorted(withdrawn - version.team_by_key.keys()):
            expect(vm, "db0", old, "NOAUTH")
    return violations


def check_logs(deployment: SoakDeployment) -> list[Violation]:
    """Return a violation for each logged internal failure."""
    return [
        Violation("INTERNAL", 0.0, vm.name, line[:2000])
        for vm in deployment.vms
        for line in vm.log.read_text(errors="replace").splitlines()
        if any(event in line for event in FAILURE_EVENTS)
    ]


def describe(
    violation: Violation,
    deployment: SoakDeployment,
    started_at: float,
    wall_offset: float,
) -> list[str]:
    """Return a violation with the faults and the VM's log lines around it."""
    at = violation.at
    wall = at + wall_offset
    lines = [
        f"== {violation.rule} at {at - started_at:.3f} s ({wall:.3f}) {violation.vm}:"
        f" {violation.text}"
    ]
    for fault in deployment.record.faults:
        if fault.start < at + LOG_WINDOW_S and fault.end > at - 5.0:
            lines.append(
                f"   fault {fault.kind} {fault.ends}"
                f" {fault.start - at:+.3f} to {fault.end - at:+.3f}"
            )
    lines += [
        f"   signal {number} {sent_at - at:+.3f}"
        for sent_at, vm, number in deployment.record.signals
        if vm == violation.vm and abs(sent_at - at) < LOG_WINDOW_S
    ]
    for lifetime in deployment.record.lifetimes:
        if lifetime.vm == violation.vm and lifetime.started_at < at:
            start = f"   process since {lifetime.started_at - at:+.3f}"
    if violation.vm:
        lines.append(start)
        log = deployment.vm_by_name[violation.vm].log
        near = []
        for line in log.read_text(errors="replace").splitlines():
            if not line.startswith("{"):
                continue
            offset = float(json.loads(line)["time"]) - wall
            if abs(offset) < LOG_WINDOW_S:
                near.append(f"   {offset:+.3f} {line[:400]}")
        lines += near[:MAX_LOG_LINES]
    return lines
