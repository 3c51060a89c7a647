"""Checks of what callers, databases, the store and the operator saw."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

from soak.record import REFUSAL_CODES, RESET

if TYPE_CHECKING:
    from soak.record import Lifetime, Record, Request, Run

APPLY_S = 3.0
"""Time after its confirmation from which a version must be in force, in s."""

TURNED_AWAY_APPLY_S = 15.0
REGRESS_SLACK_S = 0.25
CONTACT_S = 4.0
REACH_S = 1.5
"""Time in which a VM learns from the store what it missed while out of reach, in s."""

EVACUATION_S = 5.0
GRACE_S = 6.0
READ_S = 0.2
"""Time after which a request that was sent has been read by its VM."""

ANSWER_S = 9.0
"""Time within which each request is answered, longer than any timeout, in s."""

PASSABLE = ("delay_s", "reset", "store delay_s", "store lost_answers")
"""Faults that do not keep a VM from reaching another end or from reading the store."""

NO_WORK_CODES = ("SILENCE", "")


@dataclass(frozen=True)
class Violation:
    """A broken rule; ``is_broken`` is False for a case that is only reported."""

    rule: str
    at: float
    vm: str
    text: str
    is_broken: bool = True


class Checker:
    """Judges the record of one run.

    Parameters
    ----------
    record : Record
        Everything that was seen.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._versions = record.versions
        self._confirmed = [version.confirmed_at for version in self._versions]
        self._runs_by_request: defaultdict[str, list[Run]] = defaultdict(list)
        for run in record.runs:
            if run.request_id != "-":
                self._runs_by_request[run.request_id].append(run)
        self._request_by_id = {r.request_id: r for r in record.requests}
        self.violations: list[Violation] = []
        self.judged: Counter[str] = Counter()

    def check(self) -> list[Violation]:
        """Return all violations, in the order of their times."""
        self._check_configuration()
        self._check_origin()
        self._check_answers()
        self._check_writes()
        self._check_evacuations()
        self._check_processes()
        return sorted(self.violations, key=lambda violation: violation.at)

    def _check_configuration(self) -> None:
        shown_by_lifetime: defaultdict[int, list[tuple[float, int]]] = defaultdict(list)
        handled = []
        for request in self._record.requests:
            for at, indices, description, is_run in self._handlings(request):
                if not indices:
                    continue
                handled.append((request, at, indices, description))
                if is_run:
                    shown_by_lifetime[request.lifetime].append((at, indices[0]))
        for shown in shown_by_lifetime.values():
            shown.sort()
            newest = accumulate((index for _, index in shown), max)
            shown[:] = zip((at for at, _ in shown), newest, strict=True)
        for request, at, indices, description in handled:
            newest = indices[-1]
            self._judge(
                "CONFIG", request, newest, self._required(request, at), description
            )
            lifetime = self._record.lifetimes[request.lifetime]
            at_start = bisect_right(self._confirmed, lifetime.started_at) - 1
            rule = "LOST" if self._reaches(lifetime, at) else "LOST unreached"
            self._judge(rule, request, newest, at_start, description)
            shown = shown_by_lifetime[request.lifetime]
            before = bisect_left(shown, (request.operation_at - REGRESS_SLACK_S,))
            required = shown[before - 1][1] if before else -1
            self._judge("REGRESS", request, newest, required, description)

    def _handlings(self, request: Request):
        """Return time, versions that allow it, and a description of each handling.

        Only versions count that were sent before the handling.
        """
        for run in self._runs_by_request[request.request_id]:
            indices = [
                index
                for index, version in enumerate(self._versions)
                if version.sent_at <= run.at
                and version.allows(request.database, request.key, run.service, run.team)
            ]
            yield run.at, indices, f"run by {run.target_id} for {run.team}", True
        if request.code in REFUSAL_CODES:
            indices = [
                index
                for index, version in enumerate(self._versions)
                if version.sent_at <= request.ended_at
                and version.refuses(request.database, request.key, request.code)
            ]
            if not indices:
                self._report("CONFIG", request, f"refused with {request.code}: never")
            yield request.ended_at, indices, f"refused with {request.code}", False

    def _required(self, request: Request, at: float) -> int:
        """Return the version that must be in force for a request by now, or -1."""
        start = request.operation_at - CONTACT_S
        apply_s = APPLY_S
        for fault in self._record.faults:
            if fault.end < start or fault.start > at:
                continue
            if fault.kind == "turned away" and request.vm in fault.ends:
                apply_s = TURNED_AWAY_APPLY_S
            elif request.vm in fault.ends or "store" in fault.ends[:1]:
                return -1
        if self._record.lifetimes[request.lifetime].started_at > start:
            return -1
        return bisect_right(self._confirmed, request.operation_at - apply_s) - 1

    def _reaches(self, lifetime: Lifetime, at: float) -> bool:
        """Return whether a VM, or one that it reached, reached the store meanwhile."""
        end = min(lifetime.started_at + CONTACT_S, at)
        others = {
            other.vm
            for other in self._record.lifetimes
            if other.vm != lifetime.vm
            and other.started_at < lifetime.started_at - REACH_S
            and other.ended_at > end
        }
        if self._is_clear(lifetime.started_at, end, lifetime.vm, "store"):
            return True
        return any(
            self._is_clear(lifetime.started_at, end, lifetime.vm, other)
            and self._is_clear(lifetime.started_at - REACH_S, end, other, "store")
            for other in others
        )

    def _is_clear(self, start: float, end: float, vm: str, other: str) -> bool:
        """Return whether another end ran and could be reached, even if with a delay."""
        for fault in self._record.faults:
            if fault.end < start or fault.start > end or fault.kind in PASSABLE:
                continue
            if set(fault.ends) == {vm, other}:
                return False
            if other == "store":
                is_own = fault.ends == (vm,) and fault.kind != "kill"
                if is_own or fault.ends == ("store",):
                    return False
            elif fault.ends == (other,) and fault.kind != "turned away":
                return False
        return True

    def _judge(
        self, rule: str, request: Request, newest: int, required: int, description: str
    ) -> None:
        if required < 0:
            return
        self.judged[rule] += 1
        if newest >= required:
            return
        versions = self._versions
        since_s = request.operation_at - versions[required].confirmed_at
        self._report(
            rule,
            request,
            f"{description}: version {versions[newest].number} or older, but"
            f" {versions[required].number} was confirmed {since_s:.3f} s before",
            is_broken=rule != "LOST unreached",
        )

    def _check_origin(self) -> None:
        for request_id, runs in self._runs_by_request.items():
            request = self._request_by_id.get(request_id)
            for run in runs:
                if request is None:
                    text = f"{run.target_id} ran an unknown request {request_id}"
                    self.violations.append(Violation("UNASKED", run.at, "", text))
                    continue
                if run.text.split()[0] != request.text.split()[0]:
                    self._report("UNASKED", request, f"run as {run.text}")
                if not any(
                    version.team_by_key.get(request.key) == run.team
                    for version in self._versions
                ):
                    self._report("UNASKED", request, f"run for team {run.team}")
                if not any(
                    version.service_by_database.get(request.database) == run.service
                    for version in self._versions
                ):
                    self._report("ROUTE", request, f"run by {run.target_id}")

    def _check_answers(self) -> None:
        for request in self._record.requests:
            self.judged["ANSWER"] += 1
            if request.code == "NOSTMT":
                self._report("PINNED", request, "a prepared name is unknown")
            if request.code == "COMPLETE" and not self._is_signed(request):
                self._report("MIXED", request, f"answered {request.detail}")
            if request.code not in NO_WORK_CODES:
                continue
            if request.ended_at == float("inf"):
                continue
            lifetime = self._record.lifetimes[request.lifetime]
            if request.code == "SILENCE":
                if not self._was_harmed(request.vm, request.sent_at, request.ended_at):
                    self._report("LOST answer", request, "no answer")
                continue
            is_killed = lifetime.ended_at < request.ended_at + READ_S
            if is_killed and lifetime.ended_at - lifetime.stopped_at < READ_S:
                continue
            has_run = bool(self._runs_by_request[request.request_id])
            is_read = not request.detail.startswith(RESET) and (
                min(request.ended_at, lifetime.ended_at) - request.sent_at > READ_S
            )
            if (has_run or is_read) and not self._was_harmed(
                request.vm, request.sent_at - CONTACT_S, request.ended_at, "terminate"
            ):
                self._report("LOST answer", request, "the connection ended")

    def _is_signed(self, request: Request) -> bool:
        word = request.text.split()[0]
        if word in ("BEGIN", "PREPARE", "ROLLBACK"):
            return True
        target_id, _, request_id = request.detail.partition(".")
        return request_id == request.request_id and any(
            run.target_id == target_id
            for run in self._runs_by_request[request.request_id]
        )

    def _was_harmed(self, vm: str, start: float, end: float, planned: str = "") -> bool:
        return any(
            fault.start < end
            and fault.end > start
            and fault.kind != planned
            and (vm in fault.ends or "store" in fault.ends[:1])
            for fault in self._record.faults
        )

    def _check_writes(self) -> None:
        kept = Counter(self._record.kept_data)
        for write in self._record.writes:
            request = self._request_by_id.get(write.request_id)
            if request is None:
                continue
            self.judged["WRITE"] += 1
            if write.must_be_kept and not kept[write.data]:
                self._report("LOST write", request, "acknowledged and not kept")
            if not write.may_be_kept and kept[write.data]:
                self._report("REFUSED", request, "kept in spite of the answer")
            if kept[write.data] > 1:
                self._report("TWICE", request, f"kept {kept[write.data]} times")

    def _check_evacuations(self) -> None:
        for evacuation in self._record.evacuations:
            start = evacuation.confirmed_at + EVACUATION_S
            for run in self._record.runs:
                if not start < run.at < evacuation.lifted_at:
                    continue
                request = self._request_by_id.get(run.request_id)
                domain = self._record.domain_by_target[run.target_id]
                if request is None or domain != evacuation.domain:
                    continue
                self.judged["EVAC"] += 1
                if not self._was_harmed(request.vm, run.at - CONTACT_S, run.at):
                    self._report("EVAC", request, f"run by {run.target_id}")

    def _check_processes(self) -> None:
        for lifetime in self._record.lifetimes:
            if lifetime.has_failed:
                self.violations.append(
                    Violation(
                        "PROCESS", lifetime.ended_at, lifetime.vm, "ended by itself"
                    )
                )

    def _report(
        self, rule: str, request: Request, text: str, *, is_broken: bool = True
    ) -> None:
        self.violations.append(
            Violation(
                rule,
                request.operation_at,
                request.vm,
                f"{request.request_id} {request.database} {request.key}"
                f" {request.text!r} sent {request.sent_at - request.operation_at:+.3f}"
                f" ended {request.ended_at - request.operation_at:+.3f} answered"
                f" {request.code or 'nothing'} {request.detail}: {text}",
                is_broken,
            )
        )
