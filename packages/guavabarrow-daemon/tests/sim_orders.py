"""Simulated fleet that checks at each step what VMs know of the operators' table."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from zlib import crc32

import numpy as np
from sim_fleet import DOMAINS, SimFleet
from sim_platform import (
    STORE_HOST,
    evacuate,
    lift_evacuation,
    publish_configuration,
    write_again,
)

from guavabarrow_core.operator_rows import NEVER

if TYPE_CHECKING:
    from collections.abc import Callable

ROLLOUT_S = 3.0
"""Time within which a change is in force at VMs in touch."""

CONTACT_S = 4.0
"""A VM is in touch if it ran and reached the store for this long."""

REACH_S = 1.0
"""Time for which a source must have been reachable before a VM has to know what it
knows; a call to the store times out in the same time."""

RETURN_PROBABILITY = 0.3
"""Probability that the store returns older before a fault."""

OTHER_DOMAIN = "south"
"""Failure domain without VMs and targets; its evacuation moves no primary."""


@dataclass
class KnownOrders:
    """What one process was seen to know.

    Parameters
    ----------
    started_at : float
        Time of its start, in s.
    version_at_start, change_at_start : int
        Newest configuration, and number of changes of the evacuation, that the store
        had acknowledged when it started.
    version : int
        Newest configuration that was in force.
    change : int
        Earliest change of the evacuation that fits what it showed so far.
    adopted : dict of int to float
        Times at which versions came into force, in s.
    """

    started_at: float
    version_at_start: int
    change_at_start: int
    version: int = 0
    change: int = 0
    adopted: dict[int, float] = field(default_factory=dict)


class OrdersFleet(SimFleet):
    """Fleet whose operators publish configurations and evacuate a failure domain.

    Attributes
    ----------
    cut : set of tuple
        Pairs of hosts; nothing passes from the first to the second.
    published : list of tuple
        Time, in s, and version of each acknowledged configuration.
    evacuation_changes : list of tuple
        Time, in s, of each acknowledged change of the evacuation of ``OTHER_DOMAIN``,
        and whether it is evacuated since.
    violations : list of str
        What broke a property, with its time; each property once per process.
    events : list of str
        Faults and changes, with their times.
    """

    def __init__(self, monkeypatch, per_domain: int = 3) -> None:
        self.cut: set[tuple[str, str]] = set()
        self.published: list[tuple[float, int]] = []
        self.evacuation_changes: list[tuple[float, bool]] = [(0.0, False)]
        self.violations: list[str] = []
        self.events: list[str] = []
        self._known_by_vm: dict[str, KnownOrders] = {}
        self._reported: set[tuple[str, str, float]] = set()
        self._without_store_at: dict[str, float] = {}
        self._down_at: dict[str, float] = {}
        self._disturbed_at: dict[str, float] = {}
        self._cut_at: dict[tuple[str, str], float] = {}
        self._written: dict[str, bytes | None] = {}
        self._lost_keys: set[str] = set()
        self._rewritten_at = NEVER
        super().__init__(monkeypatch, per_domain)
        self.names = tuple(self.vm_by_name)
        self.heal()
        self.publish()

    def settle(self) -> None:
        """Advance time until all VMs serve, have linked and are in touch."""
        self.wait_until_serving()
        self.run(CONTACT_S + 1.0)

    def publish(self, size: int = 100) -> int:
        """Publish a configuration and return its version."""
        version = publish_configuration(self.operator_store, size)
        self._remember()
        self.published.append((self.network.now, version))
        self.note(f"configuration {version}")
        return version

    def evacuate(self) -> None:
        """Evacuate ``OTHER_DOMAIN``."""
        evacuate(self.operator_store, OTHER_DOMAIN)
        self._remember()
        self.evacuation_changes.append((self.network.now, True))
        self.note("evacuate")

    def lift_evacuation(self) -> None:
        """Lift the evacuation of ``OTHER_DOMAIN``."""
        lift_evacuation(self.operator_store, OTHER_DOMAIN)
        self._remember()
        self.evacuation_changes.append((self.network.now, False))
        self.note("lift")

    def return_store(
        self, age_s: float, clock_step_s: float = 0.0, written_after_s: float = 0.0
    ) -> None:
        """Let the store return older; the operators' rows are written again.

        Parameters
        ----------
        age_s, clock_step_s : float
            Age of the copy, and what the store's clock is set forward, in s.
        written_after_s : float
            Time after which the operators have written again, in s.
        """
        before = dict(self.operator_store.row_by_key)
        super().return_store(age_s, clock_step_s)
        after = self.operator_store.row_by_key
        self._lost_keys |= {k for k, row in before.items() if after.get(k) is not row}
        self._rewritten_at = self.network.now + written_after_s
        self.network.reactor_by_host[STORE_HOST].callLater(
            written_after_s, self._write_again
        )
        self.note(f"return {age_s:.1f} s older, written after {written_after_s:.1f} s")

    def _write_again(self) -> None:
        write_again(
            self.operator_store, {key: self._written[key] for key in self._lost_keys}
        )
        self._lost_keys.clear()

    def _remember(self) -> None:
        """Record the row that an operator has just written."""
        row = max(self.operator_store.row_by_key.values(), key=lambda r: r.version)
        self._written[row.key] = row.value

    @property
    def is_evacuated(self) -> bool:
        """Whether ``OTHER_DOMAIN`` is evacuated in the store."""
        return self.evacuation_changes[-1][1]

    def note(self, event: str) -> None:
        """Record an event."""
        self.events.append(f"{self.network.now:.2f} {event}")

    def heal(self) -> None:
        """End all cuts."""
        self.cut.clear()
        self.network.is_blocked = lambda one, other: (one, other) in self.cut

    def cut_links(self, name: str, others: set[str] | frozenset[str]) -> None:
        """Cut a host off from others, both ways."""
        for other in others:
            self.cut |= {(name, other), (other, name)}

    def others(self, *names: str) -> set[str]:
        """Return all VMs, running or not, but these."""
        return set(self.names).difference(names)

    def suspend(self, *names: str) -> None:
        """Suspend VMs; what is sent to them meanwhile is buffered."""
        self.network.suspended |= set(names)

    def resume(self, *names: str) -> None:
        """Resume VMs, all if none is named."""
        self.network.suspended -= set(names or self.names)

    def set_store_access(self, *names: str, has_access: bool) -> None:
        """Let the whole store answer VMs, or not."""
        for store in (self.store, self.operator_store):
            if has_access:
                store.unreachable_from = store.unreachable_from - set(names)
            else:
                store.unreachable_from = store.unreachable_from | set(names)

    def start(self, name: str, host: str = "") -> None:
        """Start a VM, or restart one that was killed."""
        super().start(name, host)
        self._known_by_vm[name] = KnownOrders(
            self.network.now,
            self.published[-1][1] if self.published else 0,
            len(self.evacuation_changes) - 1,
        )
        self._down_at[name] = self._disturbed_at[name] = self.network.now

    def kill(self, name: str) -> None:
        """End a VM's process, also a suspended one."""
        super().kill(name)
        self.network.suspended.discard(name)

    def rollout_times(self) -> dict[int, dict[str, float]]:
        """Return how long after its acknowledgement each VM had each version, in s."""
        acknowledged = {version: at for at, version in self.published}
        times: dict[int, dict[str, float]] = {}
        for name, known in self._known_by_vm.items():
            for version, at in known.adopted.items():
                if version in acknowledged:
                    times.setdefault(version, {})[name] = at - acknowledged[version]
        return times

    def assert_orders(self) -> None:
        """Check that no property was broken."""
        assert self.violations == [], "\n".join(self.violations + self.events)

    def assert_all_current(self) -> None:
        """Check that all VMs have the newest configuration and evacuations."""
        newest = self.published[-1][1]
        for vm in self.vm_by_name.values():
            if vm.configuration_version != newest:
                self._report("not newest at the end", vm.name, f"{newest}")
            if (OTHER_DOMAIN in vm.evacuated) != self.is_evacuated:
                self._report("evacuation wrong at the end", vm.name, "")
        self.assert_orders()

    def _check_primaries(self) -> None:
        super()._check_primaries()
        self._record_faults()
        for name, vm in self.vm_by_name.items():
            if vm.host not in self.network.suspended:
                known = self._known_by_vm[name]
                self._check_configuration(vm, known)
                if vm.configuration_version:
                    self._check_evacuation(vm, known)

    def _check_configuration(self, vm, known: KnownOrders) -> None:
        now = self.network.now
        version = vm.configuration_version
        if version < known.version:
            self._report("went back", vm.name, f"from {known.version} to {version}")
        if version > known.version:
            known.version = version
            known.adopted[version] = now
        due = [v for at, v in self.published if at < now - ROLLOUT_S]
        if due and version < due[-1] and self.is_in_touch(vm.name):
            self._report("late", vm.name, f"has {version}, due is {due[-1]}")
        if 0 < version < known.version_at_start and self.has_source(vm.name):
            detail = f"has {version}, at its start was {known.version_at_start}"
            self._report("older than at its start", vm.name, detail)

    def _check_evacuation(self, vm, known: KnownOrders) -> None:
        changes = self.evacuation_changes
        shown = OTHER_DOMAIN in vm.evacuated
        if shown != changes[known.change][1]:
            if known.change + 1 == len(changes):
                self._report("evacuation went back", vm.name, f"to {shown}")
                return
            known.change += 1
        due = [n for n, (at, _) in enumerate(changes) if at < self.network.now - 3.0]
        if due and self.is_in_touch(vm.name):
            self._require_change(vm.name, known, due[-1], "evacuation late")
        if self.has_source(vm.name):
            self._require_change(
                vm.name, known, known.change_at_start, "evacuation older than at start"
            )

    def _require_change(
        self, name: str, known: KnownOrders, change: int, what: str
    ) -> None:
        if known.change >= change:
            return
        if (change - known.change) % 2 == 0:
            known.change = change
        elif change + 1 < len(self.evacuation_changes):
            known.change = change + 1
        else:
            self._report(what, name, f"change {known.change}, due is {change}")

    def _report(self, what: str, name: str, detail: str) -> None:
        key = (what, name, self._known_by_vm[name].started_at)
        if key not in self._reported:
            self._reported.add(key)
            self.violations.append(f"{self.network.now:.2f} {name} {what}: {detail}")

    def is_in_touch(self, name: str) -> bool:
        """Return whether a VM ran and reached the store all the while."""
        since = max(
            self._disturbed_at.get(name, 0.0), self._without_store_at.get(name, 0.0)
        )
        return self.network.now - since > CONTACT_S

    def has_source(self, name: str) -> bool:
        """Return whether a VM, or a VM that it reaches, has reached the store.

        After a return of the store that is so once the operators have written again.
        """
        if self.network.now - self._rewritten_at <= REACH_S:
            return False
        return self._reaches_store(name) or any(
            self._reaches_store(other)
            and self._has_passed(self._down_at, other)
            and self._has_passed(self._cut_at, (name, other))
            and self._has_passed(self._cut_at, (other, name))
            for other in self.vm_by_name
            if other != name
        )

    def _reaches_store(self, name: str) -> bool:
        return self._has_passed(self._without_store_at, name)

    def _has_passed(self, at_by_key: dict, key: object) -> bool:
        return self.network.now - at_by_key.get(key, float("-inf")) > REACH_S

    def _record_faults(self) -> None:
        now = self.network.now
        slow = self.network.latency_s_by_link
        for name in self.names if hasattr(self, "names") else ():
            if not self._has_store_access(name):
                self._without_store_at[name] = now
            if name not in self.vm_by_name or name in self.network.suspended:
                self._down_at[name] = self._disturbed_at[name] = now
        if self.store.extra_latency_s or self.operator_store.extra_latency_s:
            self._disturbed_at.update(dict.fromkeys(self.vm_by_name, now))
        for link in (*self.cut, *slow):
            self._cut_at[link] = now
        for link in slow:
            for host in link:
                self._disturbed_at[host] = now

    def _has_store_access(self, name: str) -> bool:
        return not any(
            not store.is_reachable_from(name)
            or name in store.refused_from
            or name in store.silent_watches_from
            or name in store.watch_delay_s_by_host
            or (STORE_HOST, name) in self.network.latency_s_by_link
            for store in (self.store, self.operator_store)
        )


def toggle_random_fault(fleet: OrdersFleet, rng) -> None:
    """Start or end a random fault, or change the operators' table."""
    names = sorted(fleet.names)
    some = {str(name) for name in rng.choice(names, rng.integers(1, 5), replace=False)}
    name = str(rng.choice(names))
    stores = (fleet.store, fleet.operator_store)
    store = stores[rng.integers(2)]
    choices: list[Callable[[], None]] = []

    def choice(function: Callable[[], None]) -> Callable[[], None]:
        choices.append(function)
        return function

    @choice
    def restart() -> None:
        for vm in sorted(some)[: int(rng.integers(1, 3))]:
            fleet.kill(vm)
        fleet.run(float(rng.choice([0.02, 0.3, 1.0])))
        start_missing(fleet)

    @choice
    def restart_without_store() -> None:
        fleet.kill(name)
        fleet.set_store_access(name, has_access=False)
        fleet.run(float(rng.choice([0.3, 1.0])))
        fleet.publish()
        fleet.run(float(rng.uniform(0.0, 0.2)))
        start_missing(fleet)

    @choice
    def lose_power() -> None:
        for vm in names:
            fleet.kill(vm)
        fleet.run(float(rng.choice([0.02, 1.0])))
        start_missing(fleet)

    @choice
    def freeze() -> None:
        fleet.suspend(*sorted(some)[:2])

    @choice
    def thaw() -> None:
        fleet.resume()

    @choice
    def cut_vms() -> None:
        fleet.cut_links(name, some - {name})

    @choice
    def cut_one_way() -> None:
        fleet.cut |= {(name, other) for other in some - {name}}

    @choice
    def isolate_from_vms() -> None:
        fleet.cut_links(name, fleet.others(name))

    @choice
    def cut_from_store() -> None:
        fleet.set_store_access(*some, has_access=False)

    @choice
    def stop_store() -> None:
        fleet.set_store_access(*names, has_access=False)

    @choice
    def stop_one_table() -> None:
        store.unreachable_from = some

    @choice
    def reject() -> None:
        store.refused_from = some

    @choice
    def silence_watch() -> None:
        fleet.operator_store.silent_watches_from = {
            f"{domain}-{rng.integers(2)}" for domain in DOMAINS
        }

    @choice
    def delay_watch() -> None:
        store.watch_delay_s_by_host = dict.fromkeys(some, float(rng.uniform(0.2, 2.0)))

    @choice
    def slow_links() -> None:
        delay_s = float(rng.uniform(0.1, 1.0))
        fleet.network.latency_s_by_link = {
            (other, name): delay_s for other in fleet.others(name)
        }
        if rng.integers(2):
            fleet.operator_store.watch_delay_s_by_host = {name: 2.0 * delay_s}

    @choice
    def drop_history() -> None:
        if rng.integers(2):
            fleet.operator_store.unreachable_from = set(names)
            change_orders(fleet, rng)
        fleet.operator_store.drop_history()
        fleet.store.compacted_version = fleet.store.version
        fleet.operator_store.unreachable_from = set()

    @choice
    def replace_primary() -> None:
        if all(target.is_alive for target in fleet.group.targets):
            fleet.group.crash(fleet.group.leader)

    @choice
    def heal_links() -> None:
        fleet.heal()
        fleet.network.latency_s_by_link = {}

    @choice
    def heal_store() -> None:
        heal_stores(fleet)

    chosen = choices[rng.integers(len(choices))]
    fleet.note(f"{chosen.__name__} {name} {sorted(some)}")
    chosen()
    change_orders(fleet, rng)


def change_orders(fleet: OrdersFleet, rng) -> None:
    """Publish configurations in series, or change the evacuation."""
    match rng.integers(5):
        case 0 | 1:
            if fleet.is_evacuated:
                fleet.lift_evacuation()
            else:
                fleet.evacuate()
        case 2 | 3:
            for _ in range(rng.integers(1, 4)):
                fleet.publish()
                fleet.run(float(rng.uniform(0.01, 0.5)))


def start_missing(fleet: OrdersFleet) -> None:
    """Start the VMs that don't run."""
    for name in sorted(fleet.others(*fleet.vm_by_name)):
        fleet.start(name)


def heal_stores(fleet: OrdersFleet) -> None:
    """End all faults of the store."""
    for store in (fleet.store, fleet.operator_store):
        store.unreachable_from = set()
        store.refused_from = set()
        store.silent_watches_from = set()
        store.watch_delay_s_by_host = {}
        store.extra_latency_s = 0.0


def end_faults(fleet: OrdersFleet) -> None:
    """End all faults."""
    fleet.heal()
    fleet.network.latency_s_by_link = {}
    heal_stores(fleet)
    fleet.resume()
    start_missing(fleet)
    for target in fleet.group.targets:
        if not target.is_alive:
            fleet.group.restart(target)
    fleet.note("all faults end")


class LinkDelays:
    """Random delays, with a generator for each link so that no order matters.

    Parameters
    ----------
    seed : int
        Seed of all generators.
    max_delay_s : float
        Upper limit of the delays, in s.
    """

    def __init__(self, seed: int, max_delay_s: float) -> None:
        self._seed = seed
        self._max_delay_s = max_delay_s
        self._generator_by_link: dict[tuple[str, str], np.random.Generator] = {}

    def __call__(self, source: str, destination: str) -> float:
        """Return the next delay on a link, in s."""
        link = (source, destination)
        generator = self._generator_by_link.get(link)
        if generator is None:
            key = [self._seed, crc32(" ".join(link).encode())]
            generator = self._generator_by_link[link] = np.random.default_rng(key)
        return float(generator.uniform(0.0, self._max_delay_s))

    def constant(self, source: str, destination: str) -> float:
        """Return the same delay at each call, in s."""
        key = [self._seed, crc32(f"{source} {destination}".encode())]
        return float(np.random.default_rng(key).uniform(0.0, self._max_delay_s))


def spread_connection_attempts(fleet: OrdersFleet, seed: int) -> None:
    """Let VMs connect to a VM that starts one after the other, in a random order."""
    fleet.network.connect_delay_s = LinkDelays(seed, 0.3)


def return_at_random(fleet: OrdersFleet, rng) -> None:
    """Let the store be away for a moment and return older, sometimes."""
    if rng.random() > RETURN_PROBABILITY:
        return
    fleet.set_store_access(*fleet.names, has_access=False)
    fleet.run(float(rng.choice([0.02, 0.5, 2.0])))
    fleet.return_store(
        float(rng.choice([0.0, 1.0, 4.0, 9.0])),
        clock_step_s=float(rng.choice([0.0, 0.0, -9.0, 30.0])),
        written_after_s=float(rng.choice([0.0, 0.0, 0.3, 1.5])),
    )
    fleet.set_store_access(*fleet.names, has_access=True)


def hunt(
    fleet: OrdersFleet, seed: int, faults: int = 12, *, returns: bool = False
) -> None:
    """Play random faults, and check that all VMs know everything at the end."""
    rng = np.random.default_rng(seed)
    return_rng = np.random.default_rng([seed, 1])
    fleet.network.read_delay_s = LinkDelays(seed, 0.5).constant
    spread_connection_attempts(fleet, seed)
    fleet.settle()
    for _ in range(faults):
        if returns:
            return_at_random(fleet, return_rng)
        toggle_random_fault(fleet, rng)
        fleet.run(float(rng.choice([0.1, 0.5, 2.0])))
    end_faults(fleet)
    fleet.run(CONTACT_S + 2 * ROLLOUT_S)
