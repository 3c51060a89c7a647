"""A fleet of VMs under virtual time that judges which primaries they would use."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

from sim_network import SimNetwork
from sim_platform import (
    SERVICE,
    STORE_HOST,
    SimAuthority,
    SimDirectory,
    SimGroup,
    SimOrders,
    SimQuestions,
    SimStore,
    SimTable,
    SimTarget,
    publish_configuration,
)
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.fleet.primary_watch import PrimaryWatch
from guavabarrow_daemon.fleet.promotion_service import PromotionService
from guavabarrow_daemon.fleet.rate_service import RateService
from guavabarrow_daemon.fleet.table_relay import TableRelay
from guavabarrow_daemon.kernel import Kernel
from guavabarrow_daemon.operations import clock
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.session_settings import SessionVmSettings

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_S = 0.01
TRAFFIC_S = 0.05
"""Pace at which a VM's callers would use the primary."""

DOMAINS = ("east", "north", "west")


class SimVm:
    """One VM without callers; its callers are what the fleet asks it."""

    def __init__(
        self, fleet: SimFleet, name: str, domain: str, lifetime: int, host: str
    ) -> None:
        self.name = name
        self.domain = domain
        self.host = host
        self.reactor = fleet.network.reactor(host)
        self._questions = SimQuestions(fleet.group, self.reactor)
        settings = SessionVmSettings(
            vm=name,
            domain=domain,
            host="10.0.0.1",
            front_address="10.0.0.1:1",
            ready_address="10.0.0.1:2",
            store_address="10.0.0.1:3",
            promotion_address="10.0.0.1:4",
            peer_port=5,
            metrics_port=6,
        ).model_copy(update={"host": host})
        kernel = self.kernel = Kernel()
        reactor = self.reactor
        kernel.register(SessionMetrics(kernel))
        kernel.register(
            PeerLinks(kernel, settings, reactor, incarnation=f"{name}.{lifetime}")
        )
        kernel.register(
            FleetService(
                kernel,
                settings,
                SimTable(fleet.store, reactor),
                SimOrders(fleet.operator_store, reactor),
                reactor,
                incarnation=f"{name}.{lifetime}",
            )
        )
        kernel.register(
            DirectoryService(
                kernel,
                SimDirectory(fleet.group, reactor),
                lambda: None,
                reactor,
                domain=domain,
            )
        )
        kernel.register(TableRelay(kernel, reactor))
        kernel.register(PrimaryService(kernel, reactor))
        kernel.register(DutyService(kernel, reactor))
        kernel.register(PrimaryWatch(kernel, reactor))
        authority = SimAuthority(fleet.group, reactor)
        kernel.register(PromotionService(kernel, authority, reactor))
        kernel.register(RateService(kernel, settings, reactor))
        kernel.find(PrimaryWatch)._questions = self._questions
        kernel.find(PromotionService)._questions = self._questions
        Deferred.fromCoroutine(kernel.start())
        self._traffic = LoopingCall(self._use_primary)
        self._traffic.clock = reactor
        self._traffic.start(TRAFFIC_S)

    def primary(self) -> str:
        """Return the primary that a statement would go to now, empty if none."""
        entry = self.kernel.find(PrimaryService).primary(SERVICE)
        return entry.target_id if entry is not None else ""

    @property
    def configuration_version(self) -> int:
        """Version in force, 0 if none."""
        configuration = self.kernel.find(FleetService).configuration
        return configuration.version if configuration is not None else 0

    @property
    def holds_duty(self) -> bool:
        """Whether this VM may order promotions now."""
        return self.kernel.find(DutyService).may_order_promotions()

    def _use_primary(self) -> None:
        target_id = self.primary()
        directory = self.kernel.find(DirectoryService)
        for target in self._questions._group.targets:
            if target.target_id != target_id:
                continue
            evidence = "answered" if target.is_alive else "refused"
            if not self._questions.reaches(target):
                evidence = "silent"
            directory.record_evidence(target_id, evidence)


class SimFleet:
    """VMs in three failure domains with a target in each.

    Attributes
    ----------
    stale_primary_uses : list of str
        Moments at which a VM would have used a primary after another one led.
    """

    def __init__(self, monkeypatch, per_domain: int = 3) -> None:
        self.network = SimNetwork()
        self.store = SimStore(self.network)
        self.operator_store = SimStore(self.network)
        publish_configuration(self.operator_store)
        self.network.reactor(STORE_HOST)
        targets = [
            SimTarget(f"target-{domain}", domain, f"target-{domain}", domain == "north")
            for domain in DOMAINS
        ]
        targets[1].term_led = 1
        self.group = SimGroup(self.network, self.store, targets)
        self.vm_by_name: dict[str, SimVm] = {}
        self.stale_primary_uses: list[str] = []
        self._lifetimes = 0
        steady = SimpleNamespace(
            CLOCK_BOOTTIME=0, clock_gettime=lambda clock_id: self.network.now
        )
        monkeypatch.setattr(clock, "time", steady)
        for domain in DOMAINS:
            for number in range(per_domain):
                self.start(f"{domain}-{number}")

    def start(self, name: str, host: str = "") -> None:
        """Start a VM, or the next lifetime of one that was killed."""
        self._lifetimes += 1
        domain = name.split("-")[0]
        lifetime = self._lifetimes
        self.vm_by_name[name] = SimVm(self, name, domain, lifetime, host or name)

    def kill(self, name: str) -> None:
        """End a VM's process."""
        vm = self.vm_by_name.pop(name, None)
        self.network.kill(vm.host if vm is not None else name)

    def run(self, duration_s: float) -> None:
        """Let time pass and judge every VM at each step, suspended ones included."""
        until = self.network.now + duration_s
        while self.network.now < until:
            self.network.advance(STEP_S)
            self._judge()

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Let time pass until a condition holds, and return how long that took."""
        began_at = self.network.now
        while not condition():
            assert self.network.now - began_at < limit_s, "it did not happen in time"
            self.network.advance(STEP_S)
            self._judge()
        return self.network.now - began_at

    def is_serving(self, target_id: str = "") -> bool:
        """Tell whether all VMs may use the leader, or a given target."""
        wanted = target_id or self.group.leader.target_id
        leads = self.group.leader.target_id == wanted and self.group.leader.is_alive
        return leads and all(vm.primary() == wanted for vm in self.vm_by_name.values())

    def has_configuration(self, version: int) -> bool:
        """Tell whether a configuration is in force at all VMs."""
        known = (vm.configuration_version for vm in self.vm_by_name.values())
        return all(other >= version for other in known)

    def wait_until_serving(self) -> None:
        """Wait until the fleet serves writes everywhere."""
        self.run_until(self.is_serving, 15.0)

    def isolate_domain(self, domain: str, *, from_store: bool = True) -> None:
        """Cut a failure domain's VMs and target off from everything outside of it."""
        inside = {
            *(name for name in self._hosts() if name.startswith(f"{domain}-")),
            f"target-{domain}",
        }
        self._cut(lambda host: host in inside, keeps_store=not from_store)

    def isolate_vm(self, name: str) -> None:
        """Cut one VM off from everything."""
        self._cut(lambda host: host == name)

    def heal(self) -> None:
        """End all cuts."""
        self.network.is_blocked = lambda one, other: False

    def target(self, domain: str) -> SimTarget:
        """Return the target of a failure domain."""
        return next(t for t in self.group.targets if t.domain == domain)

    def holder(self) -> str:
        """Return the VM that may order promotions, empty if none."""
        holders = [vm.name for vm in self.vm_by_name.values() if vm.holds_duty]
        return holders[0] if holders else ""

    def assert_invariants(self) -> None:
        """Check what must hold at all times."""
        assert self.stale_primary_uses == []
        holder_by_token: dict[int, str] = {}
        newest = 0
        for holder, token in self.group.promotion_calls:
            assert holder_by_token.setdefault(token, holder) == holder
            assert token >= newest, "an older fencing token came after a newer one"
            newest = token

    def _hosts(self) -> list[str]:
        return list(self.vm_by_name)

    def _cut(self, is_inside: Callable[[str], bool], *, keeps_store=False) -> None:
        def is_blocked(one: str, other: str) -> bool:
            if keeps_store and STORE_HOST in (one, other):
                return False
            return is_inside(one) != is_inside(other)

        self.network.is_blocked = is_blocked

    def _judge(self) -> None:
        for target in self.group.targets:
            self.group.last_beat(target)
        leader = self.group.leader.target_id
        for vm in self.vm_by_name.values():
            used = vm.primary()
            if used and used != leader:
                self.stale_primary_uses.append(
                    f"{self.network.now:.2f} {vm.name} used {used}"
                )
