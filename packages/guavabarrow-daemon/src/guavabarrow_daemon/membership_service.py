"""Gossips heartbeats between VMs and tracks which VMs are alive."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_core.membership import HEARTBEAT_S, Heartbeat, Membership, MemberState
from guavabarrow_core.rendezvous import rank_of
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.peer_messages import Gossip, PullHeartbeats, PushHeartbeats
from guavabarrow_daemon.peers import Peers
from guavabarrow_daemon.state_log import log_state
from guavabarrow_daemon.store.exceptions import StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.settings import Settings
    from guavabarrow_daemon.store.interface import VmDirectory

VM_LIST_INTERVAL_S = 5.0
VM_LIST_READERS = 2


class MembershipService(Service):
    """Maintains the membership table.

    Parameters
    ----------
    kernel : Kernel
        Registry.
    settings : Settings
        Own name and addresses.
    directory : VmDirectory
        The platform's VM list, used only to contact VMs missing from the table.
    reactor : object
        Clock.
    incarnation : int
        Identifies this run of the process; higher for each later start.
    """

    name = "membership"

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        directory: VmDirectory,
        reactor: Any,
        *,
        incarnation: int,
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._directory = directory
        self._reactor = reactor
        self._peers = kernel.find(Peers)
        self._incarnation = incarnation
        self._loop = kernel.tasks.create_periodic("gossip", self._gossip, reactor)
        self._vm_list_loop = kernel.tasks.create_periodic(
            "vm_list_read", self._read_vm_list, reactor
        )
        self._changes: dict[str, object] = {}
        self._last_alive: set[str] = set()
        self.on_change: list[Callable[[], None]] = []
        self.on_heartbeats: list[Callable[[], None]] = []
        self.admin_address = str(settings.admin)
        self.table: Membership = self._create_table()

    async def start(self) -> None:
        """Start gossiping."""
        self.table = self._create_table()
        self._loop.start(HEARTBEAT_S)
        self._vm_list_loop.start(VM_LIST_INTERVAL_S)

    async def stop(self) -> None:
        """Stop gossiping."""
        for loop in (self._loop, self._vm_list_loop):
            if loop.running:
                loop.stop()

    def receive(self, reply_to: str, message: object) -> None:
        """Merge received heartbeats and answer pulls."""
        match message:
            case Gossip(digests):
                needed = self.table.merge_digests(digests)
                if needed:
                    self._peers.send(reply_to, PullHeartbeats(needed))
            case PullHeartbeats(vms):
                known = self.table.by_vm
                found = [known[vm] for vm in vms if vm in known]
                self._peers.send(reply_to, PushHeartbeats(found))
            case PushHeartbeats(heartbeats):
                self.table.merge(heartbeats)
                for callback in self.on_heartbeats:
                    callback()

    def announce(self, **changes: object) -> None:
        """Change fields of this VM's heartbeat from the next round on."""
        self._changes.update(changes)

    def announce_now(self, count: int) -> None:
        """Push this VM's changed heartbeat to ``count`` members at once."""
        self.table.advance(self._reactor.seconds(), **self._changes)
        self._changes.clear()
        message = PushHeartbeats([self.table.local_heartbeat])
        for partner in self.table.partners(count):
            self._peers.send(partner.peer_address, message)

    def rank(self, role: str, domain: str | None = None) -> int:
        """Return this VM's rank for a role among the live VMs, 0 for the first."""
        alive = [beat.vm for beat in self.table.alive(domain) if not beat.leaving]
        return rank_of(role, self._settings.vm, alive)

    def ledger_holder(self, domain: str) -> Heartbeat | None:
        """Return the heartbeat in ``domain`` that claims the latest ledger epoch."""
        claims = [beat for beat in self.table.alive(domain) if beat.ledger_holder]
        return max(claims, key=lambda beat: beat.ledger_epoch, default=None)

    def _create_table(self) -> Membership:
        local_heartbeat = Heartbeat(
            vm=self._settings.vm,
            domain=self._settings.domain,
            peer_address=self._peers.address,
            admin_address=self.admin_address,
            incarnation=self._incarnation,
            counter=0,
        )
        seed = self._incarnation & 0xFFFFFFFF
        return Membership(local_heartbeat, seed=seed, now=self._reactor.seconds())

    def _gossip(self) -> None:
        digest = self.table.advance(self._reactor.seconds(), **self._changes)
        self._changes.clear()
        message = Gossip(digest)
        addresses = {beat.peer_address for beat in self.table.partners()}
        if len(self.table.alive()) == 1:
            addresses.update(self._settings.seed_peers)
        addresses.discard(self._peers.address)
        for address in addresses:
            self._peers.send(address, message)
        self._report_changes()

    def _report_changes(self) -> None:
        alive = {beat.vm for beat in self.table.alive()}
        if alive == self._last_alive:
            return
        for vm in sorted(alive - self._last_alive):
            log_state(self._settings.vm, "member_alive", member=vm)
        for vm in sorted(self._last_alive - alive):
            state = self.table.state_of(vm)
            if state is not MemberState.ALIVE:
                log_state(self._settings.vm, "member_lost", member=vm)
        self._last_alive = alive
        for callback in self.on_change:
            callback()

    def _read_vm_list(self) -> Deferred[None] | None:
        is_joined = len(self.table.alive()) > 1
        if is_joined and self.rank("vm-list", self._settings.domain) >= VM_LIST_READERS:
            return None
        return Deferred.fromCoroutine(self._contact_listed_vms())

    async def _contact_listed_vms(self) -> None:
        try:
            listed = await self._directory.list_vms()
        except StoreUnavailable:
            return
        known = set(self.table.by_vm)
        for entry in listed.vms:
            if entry.vm not in known:
                self._peers.send(
                    entry.peer_address, PushHeartbeats([self.table.local_heartbeat])
                )


def create_incarnation() -> int:
    """Return a number that is higher for every later start of a VM."""
    return time.time_ns()
