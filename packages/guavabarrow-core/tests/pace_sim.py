"""Hosts of one service in front of its targets, in virtual time without a network."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import count

import numpy as np

from guavabarrow_core.pace_share import (
    PaceDigest,
    PeerPaces,
    divide_limit,
    joint_limit,
    weights_of,
)
from guavabarrow_core.paced_load import PacedLoad, PacedWindow
from guavabarrow_core.response_baseline import WorkClass, WorkKind
from guavabarrow_core.send_window import SendWindow
from guavabarrow_core.target_load import TargetLoad
from guavabarrow_core.target_pace import PaceSample, TargetPace
from guavabarrow_core.target_ranking import Candidate, Verdict, rank

HEARTBEAT_S = 0.7
ONE_WAY_S = 0.001
MAX_WAITING = 60
LONG_FRACTION = 0.02
LONG_FACTOR = 6.0
SIGMA = 0.5

READ = WorkClass(WorkKind.READ, 0.4)
WRITE = WorkClass(WorkKind.WRITE, 0.4)


@dataclass
class Target:
    """Target with slots, a queue, a speed, and a load from which it slows down.

    ``knee`` is the number of running statements above which each further one makes
    all of them slower by ``knee_slope`` times their work.
    """

    name: str
    slots: int = 5
    factor: float = 1.0
    knee: int = 100
    knee_slope: float = 0.5
    failing: float = 0.0
    is_local: bool = True
    running: int = 0
    queue: deque = field(default_factory=deque)


@dataclass
class Flow:
    """Statements of one class that arrive at each host."""

    work: WorkClass
    mean_s: float
    per_s: float
    targets: tuple[str, ...]


class Host:
    """Host of the service with a window and a load for each target."""

    def __init__(self, name: str, targets: list[Target], is_learned: bool) -> None:
        self.name = name
        self.is_learned = is_learned
        self.pace = {t.name: TargetPace(t.slots) for t in targets}
        self.window = {n: PacedWindow(p) for n, p in self.pace.items()}
        self.load = {n: PacedLoad(p) for n, p in self.pace.items()}
        if not is_learned:
            self.window = {n: SendWindow(8.0, 3.0) for n in self.pace}
            self.load = {n: TargetLoad() for n in self.pace}
        self.in_flight = dict.fromkeys(self.pace, 0)
        self.waiting = {n: deque() for n in self.pace}
        self.peers = PeerPaces()
        self.is_cut = False

    def digests(self, now: float) -> dict[str, PaceDigest]:
        result = {}
        for name, pace in self.pace.items():
            running = pace.mean_running(now)
            demand = pace.demand(len(self.waiting[name]), now)
            result[name] = PaceDigest(demand, running, pace.limit)
        return result


class Sim:
    """Event loop; ``answers`` has (time, target, work, response time from arrival)."""

    def __init__(self, targets, flows, *, hosts=3, seed=0, is_learned=True) -> None:
        self.rng = np.random.default_rng(seed)
        self.targets = {t.name: t for t in targets}
        self.flows = list(flows)
        self.hosts = [Host(f"host-{n}", targets, is_learned) for n in range(hosts)]
        self.now = 0.0
        self.answers: list[tuple[float, str, WorkClass, float]] = []
        self.failures: list[tuple[float, str]] = []
        self.sent: list[tuple[float, str, WorkClass]] = []
        self.refused: list[float] = []
        self.limits: list[tuple[float, dict[str, float]]] = []
        self._events: list = []
        self._order = count()
        for host in self.hosts:
            for flow in self.flows:
                self._arrive_later(host, flow)
        self._at(0.01, self._heartbeat)

    def run(self, duration_s: float) -> None:
        until = self.now + duration_s
        while self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def limit(self, target: str) -> float:
        return float(np.mean([host.pace[target].limit for host in self.hosts]))

    def response_s(self, since: float, work=None) -> float:
        times = [r for at, _, w, r in self.answers if at >= since and work in (None, w)]
        return float(np.mean(times))

    def share_of(self, target: str, since: float, until: float = 1e9, work=None):
        names = [
            n for at, n, w in self.sent if since <= at < until and work in (None, w)
        ]
        return names.count(target) / max(1, len(names))

    def _at(self, delay_s, action, *arguments) -> None:
        event = (self.now + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def _arrive_later(self, host: Host, flow: Flow) -> None:
        gap_s = self.rng.exponential(1.0 / flow.per_s) if flow.per_s else 0.1
        self._at(gap_s, self._arrive, host, flow)

    def _arrive(self, host: Host, flow: Flow) -> None:
        self._arrive_later(host, flow)
        if flow.per_s:
            self._submit(host, flow, self.now, frozenset())

    def _submit(self, host: Host, flow: Flow, arrived_at, failed) -> None:
        name = self._choose(host, flow, failed)
        if len(host.waiting[name]) >= MAX_WAITING:
            self.refused.append(self.now)
            return
        host.load[name].running += 1
        host.waiting[name].append((flow, arrived_at, failed))
        self._serve(host, name)

    def _choose(self, host: Host, flow: Flow, failed: frozenset) -> str:
        names = [n for n in flow.targets if n not in failed] or list(flow.targets)
        if flow.work.kind is not WorkKind.READ:
            return names[0]
        ranked = rank([self._candidate(host, name, flow.work) for name in names])
        chosen = next(candidate for candidate in ranked if candidate.is_chosen)
        if chosen.verdict is Verdict.CHOSEN_AS_PROBE:
            host.load[chosen.target_id].begin_probe(self.now)
        return chosen.target_id

    def _candidate(self, host: Host, name: str, work: WorkClass) -> Candidate:
        load, window = host.load[name], host.window[name]
        is_local = self.targets[name].is_local
        ahead = len(host.waiting[name])
        is_free = not ahead and window.allows(host.in_flight[name])
        return Candidate(
            name,
            "",
            is_primary=False,
            after=None,
            queue_s=0.0 if is_free else window.wait_s(ahead + 1, load.response_s),
            handshake_s=0.0,
            time=load.expect(self.now, work, is_local=is_local, is_primary=False),
            has_idle=True,
            is_probed=load.is_probed,
            is_probe_due=load.is_probe_due(self.now),
        )

    def _serve(self, host: Host, name: str) -> None:
        while host.waiting[name] and host.window[name].allows(host.in_flight[name]):
            flow, arrived_at, failed = host.waiting[name].popleft()
            host.in_flight[name] += 1
            self.sent.append((self.now, name, flow.work))
            item = (host, flow, arrived_at, failed, self.now, host.in_flight[name])
            self._at(ONE_WAY_S, self._reach, self.targets[name], item)

    def _reach(self, target: Target, item) -> None:
        if target.running >= target.slots:
            target.queue.append(item)
            return
        target.running += 1
        over = max(0, target.running - target.knee)
        mean_s = item[1].mean_s * target.factor * (1.0 + target.knee_slope * over)
        work_s = mean_s * self.rng.lognormal(-(SIGMA**2) / 2, SIGMA)
        if self.rng.random() < LONG_FRACTION:
            work_s *= LONG_FACTOR
        self._at(work_s, self._finish, target, item)

    def _finish(self, target: Target, item) -> None:
        target.running -= 1
        is_failed = self.rng.random() < target.failing
        self._at(ONE_WAY_S, self._answer, target, item, is_failed)
        if target.queue:
            self._reach(target, target.queue.popleft())

    def _answer(self, target: Target, item, is_failed: bool) -> None:
        host, flow, arrived_at, failed, sent_at, running = item
        name = target.name
        host.in_flight[name] -= 1
        host.load[name].running -= 1
        if is_failed:
            host.load[name].record_failed_answer(0.0, self.now)
            self.failures.append((self.now, name))
            if flow.work.kind is WorkKind.READ and len(failed) < 2:
                self._submit(host, flow, arrived_at, failed | {name})
        else:
            response_s = self.now - sent_at
            sample = PaceSample(flow.work, response_s, self.now, running)
            host.window[name].on_answer(response_s, sample)
            host.load[name].record(response_s, self.now)
            entry = (self.now, name, flow.work, self.now - arrived_at)
            self.answers.append(entry)
        self._serve(host, name)

    def _heartbeat(self) -> None:
        self._at(HEARTBEAT_S, self._heartbeat)
        digests = {h.name: h.digests(self.now) for h in self.hosts}
        for host in self.hosts:
            for peer in self.hosts:
                if peer is not host and not peer.is_cut and not host.is_cut:
                    host.peers.update(
                        peer.name, digests[peer.name], self.now, is_full=True
                    )
            for name, pace in host.pace.items() if host.is_learned else ():
                all_ = host.peers.of_target(name, self.now)
                pace.peers_running = sum(d.running for d in all_.values())
                all_[host.name] = digests[host.name][name]
                limit = joint_limit(all_)
                pace.follow(pace.limit + 0.5 * (limit - pace.limit))
                demands = {vm: d.demand for vm, d in all_.items()}
                parts = divide_limit(limit, demands, name)
                weight = weights_of(demands)[host.name]
                host.window[name].set_part(parts[host.name], weight)
        limits = {n: self.limit(n) for n in self.targets}
        self.limits.append((self.now, limits))
