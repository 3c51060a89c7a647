"""Simulated fleet of VMs in virtual time, which checks which primaries the VMs use."""

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
    SimStore,
    SimTable,
    SimTarget,
    SimTargetAdminClient,
    publish_configuration,
)
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from guavabarrow_daemon.fleet.contact_service import ContactService
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.pace_service import PaceService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.fleet.primary_watch import PrimaryWatch
from guavabarrow_daemon.fleet.promotion_service import PromotionService
from guavabarrow_daemon.fleet.rate_service import RateService
from guavabarrow_daemon.fleet.replica_watch import ReplicaWatch
from guavabarrow_daemon.fleet.table_relay import TableRelay
from guavabarrow_daemon.kernel import Kernel
from guavabarrow_daemon.operations import clock
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.session_settings import SessionVmSettings

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_S = 0.01
STATEMENT_INTERVAL_S = 0.05
"""Interval at which each VM simulates the use of its primary by callers."""

DOMAINS = ("east", "north", "west")


class SimVm:
    """A VM without callers; the simulation polls which primary it would use."""

    def __init__(
        self, fleet: SimFleet, name: str, domain: str, start_number: int, host: str
    ) -> None:
        self.name = name
        self.domain = domain
        self.host = host
        self.reactor = fleet.network.reactor(host)
        self._admin_client = SimTargetAdminClient(fleet.group, self.reactor)
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
            PeerLinks(kernel, settings, reactor, incarnation=f"{name}.{start_number}")
        )
        kernel.register(
            FleetService(
                kernel,
                settings,
                SimTable(fleet.store, reactor),
                SimOrders(fleet.operator_store, reactor),
                reactor,
                incarnation=f"{name}.{start_number}",
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
        kernel.register(PaceService(kernel, settings))
        kernel.register(TableRelay(kernel, reactor))
        kernel.register(ContactService(kernel))
        kernel.register(PrimaryService(kernel, reactor))
        kernel.register(DutyService(kernel, reactor))
        kernel.register(PrimaryWatch(kernel, reactor))
        kernel.register(ReplicaWatch(kernel, reactor))
        authority = SimAuthority(fleet.group, reactor)
        kernel.register(PromotionService(kernel, authority, reactor))
        kernel.register(RateService(kernel, settings, reactor))
        kernel.find(PrimaryWatch)._admin_client = self._admin_client
        kernel.find(ReplicaWatch)._admin_client = self._admin_client
        kernel.find(PromotionService)._admin_client = self._admin_client
        self.settings = settings
        if fleet.register_services is not None:
            fleet.register_services(self)
        Deferred.fromCoroutine(kernel.start())
        self._statement_loop = LoopingCall(self._use_primary)
        self._statement_loop.clock = reactor
        self._statement_loop.start(STATEMENT_INTERVAL_S)

    def primary(self) -> str:
        """Return the primary that a statement would use now, empty if none."""
        entry = self.kernel.find(PrimaryService).primary(SERVICE)
        return entry.target_id if entry is not None else ""

    @property
    def configuration_version(self) -> int:
        """Configuration version in force, 0 if none."""
        configuration = self.kernel.find(FleetService).configuration
        return configuration.version if configuration is not None else 0

    @property
    def evacuated(self) -> frozenset[str]:
        """Evacuated failure domains, as far as this VM knows."""
        return self.kernel.find(FleetService).evacuated

    @property
    def new_operation_version(self) -> int:
        """Configuration version by which an operation would begin now, 0 if none."""
        is_confirmed = self.kernel.find(FleetService).orders.is_confirmed()
        return self.configuration_version if is_confirmed else 0

    @property
    def holds_duty(self) -> bool:
        """Whether this VM may order promotions now."""
        return self.kernel.find(DutyService).may_order_promotions()

    def _use_primary(self) -> None:
        target_id = self.primary()
        directory = self.kernel.find(DirectoryService)
        for target in self._admin_client._group.targets:
            if target.target_id != target_id:
                continue
            evidence = "answered" if target.is_alive else "refused"
            if not self._admin_client.can_reach(target):
                evidence = "silent"
            directory.record_evidence(target_id, evidence)


class SimFleet:
    """VMs in three failure domains, with one target in each.

    Attributes
    ----------
    stale_primary_uses : list of str
        Descriptions of each use of a primary after another target became the leader.
    register_services : callable or None
        Called with each VM before it starts, to register further services.
    """

    first_era = 0
    """Era of the store at the start; 0 for a store without eras."""

    def __init__(
        self,
        monkeypatch,
        per_domain: int = 3,
        register_services: Callable[[SimVm], None] | None = None,
    ) -> None:
        self.register_services = register_services
        self.network = SimNetwork()
        self.store = SimStore(self.network, self.first_era)
        self.operator_store = SimStore(self.network, self.first_era)
        publish_configuration(self.operator_store)
        self.network.reactor(STORE_HOST)
        targets = [
            SimTarget(f"target-{domain}", domain, f"target-{domain}", domain == "north")
            for domain in DOMAINS
        ]
        targets[1].primary_term = 1
        self.group = SimGroup(self.network, self.store, targets)
        self.vm_by_name: dict[str, SimVm] = {}
        self.stale_primary_uses: list[str] = []
        self._starts = 0
        virtual_clock = SimpleNamespace(
            CLOCK_BOOTTIME=0, clock_gettime=lambda clock_id: self.network.now
        )
        monkeypatch.setattr(clock, "time", virtual_clock)
        for domain in DOMAINS:
            for number in range(per_domain):
                self.start(f"{domain}-{number}")

    def start(self, name: str, host: str = "") -> None:
        """Start a VM, or restart one that was killed."""
        self._starts += 1
        domain = name.split("-")[0]
        start_number = self._starts
        self.vm_by_name[name] = SimVm(self, name, domain, start_number, host or name)

    def kill(self, name: str) -> None:
        """End a VM's process."""
        vm = self.vm_by_name.pop(name, None)
        self.network.kill(vm.host if vm is not None else name)

    def stop(self, name: str) -> None:
        """Stop a VM as planned: it announces its departure before it ends."""
        Deferred.fromCoroutine(self.vm_by_name[name].kernel.stop())
        self.run(2 * STEP_S)
        self.kill(name)

    def run(self, duration_s: float) -> None:
        """Advance time, and check all VMs at each step, including suspended ones."""
        until = self.network.now + duration_s
        while self.network.now < until:
            self.network.advance(STEP_S)
            self._check_primaries()

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Advance time until a condition holds, and return how long that took."""
        started_at = self.network.now
        while not condition():
            assert self.network.now - started_at < limit_s, (
                "the condition did not hold in time"
            )
            self.network.advance(STEP_S)
            self._check_primaries()
        return self.network.now - started_at

    def is_serving(self, target_id: str = "") -> bool:
        """Return whether all VMs use the live leader, or a given target that leads."""
        expected = target_id or self.group.leader.target_id
        leads = self.group.leader.target_id == expected and self.group.leader.is_alive
        return leads and all(
            vm.primary() == expected for vm in self.vm_by_name.values()
        )

    def return_store(self, age_s: float, clock_step_s: float = 0.0) -> None:
        """Let the store return from a copy of some time ago, in the next era."""
        for store in (self.store, self.operator_store):
            store.return_older(age_s)
            store.clock_offset_s += clock_step_s

    def has_configuration(self, version: int) -> bool:
        """Return whether all VMs have this configuration version or a newer one."""
        versions = (vm.configuration_version for vm in self.vm_by_name.values())
        return all(current >= version for current in versions)

    def wait_until_serving(self) -> None:
        """Advance time until all VMs use the leader."""
        self.run_until(self.is_serving, 15.0)

    def isolate_domain(self, domain: str, *, from_store: bool = True) -> None:
        """Isolate a failure domain's VMs and target from all hosts outside of it."""
        inside = {
            *(name for name in self._hosts() if name.startswith(f"{domain}-")),
            f"target-{domain}",
        }
        self._isolate(lambda host: host in inside, except_store=not from_store)

    def isolate_vm(self, name: str) -> None:
        """Isolate one VM from all other hosts."""
        self._isolate(lambda host: host == name)

    def heal(self) -> None:
        """End all partitions."""
        self.network.is_blocked = lambda source, destination: False

    def target(self, domain: str) -> SimTarget:
        """Return the target of a failure domain."""
        return next(t for t in self.group.targets if t.domain == domain)

    def holder(self) -> str:
        """Return the VM that holds the promotion duty, empty if none."""
        holders = [vm.name for vm in self.vm_by_name.values() if vm.holds_duty]
        return holders[0] if holders else ""

    def assert_invariants(self) -> None:
        """Check the uses of primaries, and the holders and order of fencing tokens."""
        assert self.stale_primary_uses == []
        holder_by_token: dict[int, str] = {}
        newest = 0
        for holder, token in self.group.promotion_calls:
            assert holder_by_token.setdefault(token, holder) == holder
            assert token >= newest, "a fencing token is older than the one before"
            newest = token

    def _hosts(self) -> list[str]:
        return list(self.vm_by_name)

    def _isolate(self, is_inside: Callable[[str], bool], *, except_store=False) -> None:
        def is_blocked(source: str, destination: str) -> bool:
            if except_store and STORE_HOST in (source, destination):
                return False
            return is_inside(source) != is_inside(destination)

        self.network.is_blocked = is_blocked

    def _check_primaries(self) -> None:
        for target in self.group.targets:
            self.group.last_renewal(target)
        leader = self.group.leader.target_id
        for vm in self.vm_by_name.values():
            used = vm.primary()
            if used and used != leader:
                self.stale_primary_uses.append(
                    f"{self.network.now:.2f} {vm.name} used {used}"
                )
