"""Injection of random faults and operator changes, in series that overlap."""

from __future__ import annotations

import signal
import threading
import time
from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING, Any

from soak.operators import pick

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from numpy import ndarray
    from numpy.random import Generator

    from soak.deployment import SoakDeployment, SoakVm

MAX_CHANGE_LEAD_S = 0.4
"""Maximum time between a confirmed change and the loss of all VMs, in s."""

PROCESS_FAULTS = (
    "kill",
    "terminate",
    "freeze",
    "hang_up",
    "kill_several",
    "lose_all",
    "return_beside_stale_peer",
    "return_to_slow_store",
)
SLOW = "slow"
SLOW_STORE_S = 0.2
"""Delay of calls to a slow store, and of its answers, in s."""

MAX_COPY_AGE_S = 10.0
"""Maximum age of the copy that the store returns from, in s."""

LANE_PROBABILITY = 0.8
"""Probability that a run has faults of one kind."""


class FaultInjector:
    """Runs one lane of faults for each kind, each in its own thread.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment to harm.
    randoms : iterator of Generator
        Sources of the choices of the lanes.
    only : str or None
        Name of the only kind of fault, as ``return_beside_stale_peer``.
    """

    def __init__(
        self, deployment: SoakDeployment, randoms, only: str | None = None
    ) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._random: Generator = next(randoms)
        self._is_stopped = threading.Event()
        # Drawn for each run, so that some runs consist mostly of one kind.
        weights = self._random.dirichlet([0.6] * len(PROCESS_FAULTS))
        self._process_weights: ndarray = weights
        self._errors: list[Exception] = []
        lanes = [
            (self._change, 0.6),
            (self._harm_processes, 1.5),
            (self._harm_store, 2.5),
            (self._harm_links, 2.0),
            (self._harm_databases, 5.0),
            (self._harm_processes, 3.0),
            (self._return_store, 6.0),
        ]
        if only is not None:
            lanes = [(self._change, 0.6), (getattr(self, f"_{only}"), 1.0)]
        self._threads = []
        for lane, pause_s in lanes:
            random = next(randoms)
            is_chosen = only is not None or random.random() < LANE_PROBABILITY
            if is_chosen or lane == self._change:
                arguments = (lane, random, pause_s * random.uniform(0.5, 2.0))
                self._threads.append(
                    threading.Thread(target=self._run_lane, args=arguments, daemon=True)
                )

    def run(self, duration_s: float) -> None:
        """Inject faults for a time; all of them are lifted at the end.

        Raises
        ------
        ExceptionGroup
            If a lane failed.
        """
        for thread in self._threads:
            thread.start()
        self._is_stopped.wait(duration_s)
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()
        if self._random.random() < 0.5:
            self._lose_all(self._random)
        if self._errors:
            raise ExceptionGroup("lanes failed", self._errors)

    def _run_lane(self, lane: Callable, random: Generator, pause_s: float) -> None:
        try:
            while not self._is_stopped.wait(random.exponential(pause_s)):
                lane(random)
        except Exception as error:
            self._errors.append(error)

    @contextmanager
    def _fault(self, kind: str, *ends: str) -> Iterator[None]:
        fault = self._record.begin_fault(kind, *ends)
        try:
            yield
        finally:
            fault.end = time.monotonic()

    def _change(self, random: Generator) -> None:
        if random.random() < 0.12:
            self._deployment.operator.change_evacuation()
            return
        count = int(random.integers(2, 6)) if random.random() < 0.15 else 1
        for _ in range(count):
            self._deployment.operator.change()

    def _any_vm(self, random: Generator) -> SoakVm:
        """Return a random VM, preferably the last one that wrote to the store."""
        writer = self._deployment.store.last_writer
        if writer and random.random() < 0.4:
            return self._deployment.vm_by_name[writer]
        return pick(random, self._deployment.vms)

    def _harm_processes(self, random: Generator) -> None:
        action = random.choice(PROCESS_FAULTS, p=self._process_weights)
        getattr(self, f"_{action}")(random)

    def _kill(self, random: Generator) -> None:
        self._kill_vms([self._any_vm(random)], random)

    def _kill_several(self, random: Generator) -> None:
        count = int(random.integers(2, len(self._deployment.vms)))
        vms = [self._deployment.vms[i] for i in random.permutation(count)]
        self._kill_vms(vms, random)

    def _kill_vms(self, vms: list[SoakVm], random: Generator) -> None:
        for vm in vms:
            vm.kill()
        time.sleep(random.uniform(0.1, 2.5))
        self._return(vms, random)

    def _return(self, vms: list[SoakVm], random: Generator) -> None:
        """Start processes again, mostly while the configuration changes."""
        if random.random() < 0.5:
            self._deployment.operator.change()
        for vm in vms:
            vm.start()
        if random.random() < 0.6:
            time.sleep(random.uniform(0.0, 1.0))
            self._deployment.operator.change()

    def _terminate(self, random: Generator) -> None:
        vm = self._any_vm(random)
        vm.terminate()
        time.sleep(random.uniform(0.0, 1.0))
        self._return([vm], random)

    def _freeze(self, random: Generator) -> None:
        vm = self._any_vm(random)
        with self._fault("freeze", vm.name):
            vm.send_signal(signal.SIGSTOP)
            time.sleep(random.uniform(0.3, 5.0))
            vm.send_signal(signal.SIGCONT)

    def _hang_up(self, random: Generator) -> None:
        self._any_vm(random).send_signal(signal.SIGHUP)

    def _lose_all(self, random: Generator) -> None:
        """Kill all VMs right after a change was confirmed, and start them again."""
        unreached = []
        if random.random() < 0.4:
            count = int(random.integers(1, len(self._deployment.vms)))
            chosen = random.permutation(len(self._deployment.vms))[:count]
            unreached = [self._deployment.vms[i] for i in chosen]
        if random.random() < 0.8:
            self._deployment.operator.change()
        time.sleep(random.uniform(0.0, MAX_CHANGE_LEAD_S))
        vms = self._deployment.vms
        for vm in vms:
            vm.kill()
        if unreached:
            with self._refusal(unreached, "silent"):
                time.sleep(random.uniform(0.1, 2.0))
                self._return(vms, random)
                time.sleep(random.uniform(0.5, 4.0))
        else:
            time.sleep(random.uniform(0.1, 2.0))
            self._return(vms, random)

    def _return_beside_stale_peer(self, random: Generator) -> None:
        """Start a VM that the store doesn't answer beside a peer that is behind."""
        self._start_beside_stale_peer(random, ["silent", "503"])

    def _return_to_slow_store(self, random: Generator) -> None:
        """Start a VM that the store answers late beside a peer that is behind."""
        self._start_beside_stale_peer(random, [SLOW])

    def _start_beside_stale_peer(self, random: Generator, modes: list[str]) -> None:
        """Start a VM beside a peer that is behind.

        The peer was frozen until then, or had no link to the store and to the others.
        """
        order = random.permutation(len(self._deployment.vms))
        returning, stale, *rest = (self._deployment.vms[i] for i in order)
        others = [vm.name for vm in rest]
        is_frozen = random.random() < 0.3
        mode = pick(random, modes)
        with (
            self._links_harmed(returning.name, ["store"], {"delay_s": SLOW_STORE_S})
            if mode == SLOW
            else self._refusal([returning], mode)
        ):
            returning.kill()
            with ExitStack() as faults:
                if is_frozen:
                    faults.enter_context(self._fault("freeze", stale.name))
                    stale.send_signal(signal.SIGSTOP)
                else:
                    silent, delayed = {"is_silent": True}, {"delay_s": 0.3}
                    ends = [*others, "store"]
                    harmed = self._links_harmed
                    faults.enter_context(harmed(stale.name, ends, silent))
                    if random.random() < 0.5:
                        faults.enter_context(harmed(returning.name, others, delayed))
                time.sleep(random.uniform(0.2, 3.0))
                self._deployment.operator.change()
                time.sleep(random.uniform(0.0, 0.5))
                returning.start()
                returning.wait_until_listening()
                if is_frozen:
                    time.sleep(random.uniform(0.0, 0.2))
                    stale.send_signal(signal.SIGCONT)
                else:
                    time.sleep(random.uniform(0.5, 2.5))
            time.sleep(random.uniform(0.5, 4.0))

    @contextmanager
    def _refusal(self, vms: list[SoakVm], mode: str) -> Iterator[None]:
        faults = [self._record.begin_fault("turned away", vm.name) for vm in vms]
        refusals = self._deployment.store.refusal_by_vm
        refusals.update({vm.name: mode for vm in vms})
        try:
            yield
        finally:
            for vm, fault in zip(vms, faults, strict=True):
                refusals.pop(vm.name, None)
                fault.end = time.monotonic()

    def _harm_store(self, random: Generator) -> None:
        store = self._deployment.store
        action = random.random()
        if action < 0.45:
            count = int(random.integers(1, 4))
            order = random.permutation(len(self._deployment.vms))[:count]
            mode = pick(random, ["503", "429", "reset", "silent"])
            with self._refusal([self._deployment.vms[i] for i in order], mode):
                time.sleep(random.uniform(0.5, 9.0))
        elif action < 0.6:
            store.drop_history()
        else:
            name, value = pick(
                random,
                [("is_silent", True), ("is_down", True)]
                + [("delay_s", 0.3), ("lost_answers", 0.5)],
            )
            with self._fault(f"store {name}", "store"):
                setattr(store, name, value)
                try:
                    time.sleep(random.uniform(0.5, 5.0))
                finally:
                    setattr(store, name, type(value)(0))

    def _return_store(self, random: Generator) -> None:
        """Let the store be away and return from an older copy, at times twice."""
        store = self._deployment.store
        for _ in range(2 if random.random() < 0.3 else 1):
            with self._fault("store returns", "store"):
                store.is_silent = True
                try:
                    time.sleep(random.uniform(0.02, 2.5))
                    store.return_older(random.uniform(0.0, MAX_COPY_AGE_S))
                finally:
                    store.is_silent = False
            if random.random() < 0.7:
                self._deployment.operator.change()
            time.sleep(random.uniform(0.0, 2.0))

    def _harm_links(self, random: Generator) -> None:
        vm = pick(random, self._deployment.vms).name
        others = [v.name for v in self._deployment.vms if v.name != vm]
        if random.random() < 0.4:
            others = ["store"]
        elif random.random() < 0.5:
            others = [pick(random, others)]
        elif random.random() < 0.3:
            others = [*others, "store"]
        harm = pick(
            random,
            [{"is_silent": True}] * 3
            + [{"is_cut": True}, {"delay_s": random.uniform(0.05, 0.6)}]
            + [{"bytes_per_s": 3000.0}, {}],
        )
        directions = int(random.integers(3))
        with self._links_harmed(vm, others, harm, directions):
            time.sleep(random.uniform(0.5, 7.0) if harm else 0.0)

    @contextmanager
    def _links_harmed(
        self, vm: str, others: list[str], harm: dict[str, Any], directions: int = 2
    ) -> Iterator[None]:
        """Harm links of a VM: what it sends (0), what it receives (1) or both (2)."""
        network = self._deployment.network
        kind = " ".join(harm) or "reset"
        faults = [self._record.begin_fault(kind, vm, other) for other in others]
        try:
            for other in others:
                if directions != 1:
                    network.set_faults(vm, other, **harm)
                if directions != 0:
                    network.set_faults(other, vm, **harm)
                if not harm:
                    network.reset(vm, other)
            yield
        finally:
            for other, fault in zip(others, faults, strict=True):
                network.set_faults(vm, other)
                network.set_faults(other, vm)
                fault.end = time.monotonic()

    def _harm_databases(self, random: Generator) -> None:
        group = pick(random, self._deployment.groups)
        running = [d for d in group.databases if d.is_running]
        primaries = [d for d in running if d.is_primary]
        database = pick(random, running)
        if primaries and random.random() < 0.6:
            database = primaries[0]
        network = self._deployment.network
        target_id = database.target_id
        action = random.random()
        if action < 0.3:
            delay_s = random.uniform(0.05, 0.5)
            is_silent = random.random() < 0.5
            with self._fault("path", "vms", target_id):
                network.set_faults(
                    target_id, "vms", delay_s=delay_s, is_silent=is_silent
                )
                time.sleep(random.uniform(0.5, 4.0))
                network.set_faults(target_id, "vms")
            return
        if action < 0.6:
            with self._fault("drain", target_id):
                group.drain(database)
                time.sleep(random.uniform(5.0, 7.0))
        with self._fault("crash", target_id):
            group.crash(database)
            time.sleep(random.uniform(0.5, 6.0))
            group.restart(database)
