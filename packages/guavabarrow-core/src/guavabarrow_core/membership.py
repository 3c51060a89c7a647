"""Membership of VMs by gossiped heartbeats.

Each VM increments its own counter and gossips a bounded number of short digests; the
full heartbeat of a VM is sent only to those that lack its latest content. The state of
a member depends only on how long its counter has not advanced while this VM was
running, so a VM that was paused does not declare all others dead when it resumes.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

HEARTBEAT_S = 0.4
SUSPECT_AFTER_S = 1.6
DEAD_AFTER_S = 4.0
REMOVE_AFTER_S = 600.0
FANOUT = 2
PAUSE_THRESHOLD_S = 1.0
MAX_DIGESTS = 24


class MemberState(Enum):
    """State of a member as seen by this VM."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class Heartbeat(msgspec.Struct, frozen=True):
    """State of a VM as published by itself.

    Parameters
    ----------
    vm : str
        Name of the VM.
    domain : str
        Its failure domain.
    peer_address : str
        Address for messages from other VMs.
    admin_address : str
        Address of its admin interface, ``ip:port``.
    incarnation : int
        Start time of the process in nanoseconds since 1970.
    counter : int
        Incremented with every heartbeat.
    version : int
        Configuration version in force at the VM.
    leaving : bool
        Whether the VM is draining and accepts no new work.
    ledger_epoch : int
        Latest epoch of its domain's ledger lease that it has seen.
    ledger_holder : bool
        Whether it currently holds that lease.
    content : int
        Incremented whenever a field other than the counter changes.
    """

    vm: str
    domain: str
    peer_address: str
    admin_address: str
    incarnation: int
    counter: int
    version: int = 0
    leaving: bool = False
    ledger_epoch: int = 0
    ledger_holder: bool = False
    content: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Incarnation and counter; the higher one is the newer heartbeat."""
        return (self.incarnation, self.counter)


class HeartbeatDigest(msgspec.Struct, frozen=True, array_like=True):
    """Short form of a heartbeat, for receivers that probably have its content."""

    vm: str
    incarnation: int
    counter: int
    content: int


class Membership:
    """Table of the members, including this VM.

    Parameters
    ----------
    local_heartbeat : Heartbeat
        First heartbeat of this VM.
    seed : int
        Seed for the random choice of gossip partners.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, local_heartbeat: Heartbeat, *, seed: int, now: float) -> None:
        self.local_heartbeat = local_heartbeat
        self.by_vm: dict[str, Heartbeat] = {local_heartbeat.vm: local_heartbeat}
        self.paused_at: float | None = None
        self._since_heartbeat_s: dict[str, float] = {local_heartbeat.vm: 0.0}
        self._random = Random(seed)
        self._last_advance_at = now
        self._next_digest = 0

    def advance(self, now: float, **changes: object) -> list[HeartbeatDigest]:
        """Increment this VM's heartbeat and age the other members.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        **changes : object
            Fields of this VM's heartbeat to change.

        Returns
        -------
        list of HeartbeatDigest
            Digests to send to the partners: that of this VM and those of up to
            ``MAX_DIGESTS`` live members, in round-robin order if there are more.
        """
        self._age(now)
        if changes:
            changes["content"] = self.local_heartbeat.content + 1
        self.local_heartbeat = msgspec.structs.replace(
            self.local_heartbeat, counter=self.local_heartbeat.counter + 1, **changes
        )
        self.by_vm[self.local_heartbeat.vm] = self.local_heartbeat
        self._since_heartbeat_s[self.local_heartbeat.vm] = 0.0
        return [
            _digest(heartbeat)
            for heartbeat in (self.local_heartbeat, *self._next_live_members())
        ]

    def merge_digests(self, digests: Iterable[HeartbeatDigest]) -> list[str]:
        """Apply digests that are newer than the stored heartbeats.

        Returns
        -------
        list of str
            VMs whose full heartbeat must be requested.
        """
        needed = []
        for digest in digests:
            current = self.by_vm.get(digest.vm)
            if digest.vm == self.local_heartbeat.vm:
                continue
            if current is None or _content_version(digest) > _content_version(current):
                needed.append(digest.vm)
            elif (digest.incarnation, digest.counter) > current.order:
                self.by_vm[digest.vm] = msgspec.structs.replace(
                    current, counter=digest.counter
                )
                self._since_heartbeat_s[digest.vm] = 0.0
        return needed

    def merge(self, heartbeats: Iterable[Heartbeat]) -> None:
        """Store heartbeats that are newer than the stored ones."""
        for heartbeat in heartbeats:
            if heartbeat.vm == self.local_heartbeat.vm:
                continue
            current = self.by_vm.get(heartbeat.vm)
            if current is None or heartbeat.order > current.order:
                self.by_vm[heartbeat.vm] = heartbeat
                self._since_heartbeat_s[heartbeat.vm] = 0.0

    def state_of(self, vm: str) -> MemberState:
        """Return the state of ``vm``; dead if it is not in the table."""
        elapsed_s = self._since_heartbeat_s.get(vm, REMOVE_AFTER_S)
        if elapsed_s >= DEAD_AFTER_S:
            return MemberState.DEAD
        if elapsed_s >= SUSPECT_AFTER_S:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def since_heartbeat_s(self, vm: str) -> float:
        """Return the running time of this VM since ``vm``'s heartbeat, in seconds."""
        return self._since_heartbeat_s.get(vm, REMOVE_AFTER_S)

    def alive(self, domain: str | None = None) -> list[Heartbeat]:
        """Return the members that are alive, including this VM.

        Parameters
        ----------
        domain : str, optional
            Restricts the result to one failure domain.
        """
        return [
            heartbeat
            for vm, heartbeat in self.by_vm.items()
            if self.state_of(vm) is MemberState.ALIVE
            and domain in (None, heartbeat.domain)
        ]

    def partners(self, count: int = FANOUT) -> list[Heartbeat]:
        """Choose the partners of one gossip round at random.

        Parameters
        ----------
        count : int
            Number of live members to choose.

        Returns
        -------
        list of Heartbeat
            Up to ``count`` live members and at most one dead member, so that both
            sides of a network partition find each other after it ends.
        """
        live: list[Heartbeat] = []
        dead: list[Heartbeat] = []
        for vm, heartbeat in self.by_vm.items():
            if vm == self.local_heartbeat.vm:
                continue
            bucket = dead if self.state_of(vm) is MemberState.DEAD else live
            bucket.append(heartbeat)
        chosen = self._random.sample(live, min(count, len(live)))
        if dead:
            chosen.append(self._random.choice(dead))
        return chosen

    def _age(self, now: float) -> None:
        elapsed_s = now - self._last_advance_at
        self._last_advance_at = now
        if elapsed_s > PAUSE_THRESHOLD_S:
            self.paused_at = now
            elapsed_s = HEARTBEAT_S
        for vm in self._since_heartbeat_s:
            self._since_heartbeat_s[vm] += elapsed_s
        self._remove_expired()

    def _next_live_members(self) -> list[Heartbeat]:
        live = [
            heartbeat
            for vm, heartbeat in self.by_vm.items()
            if vm != self.local_heartbeat.vm
            and self._since_heartbeat_s[vm] < SUSPECT_AFTER_S
        ]
        if len(live) <= MAX_DIGESTS:
            return live
        start = self._next_digest % len(live)
        self._next_digest += MAX_DIGESTS
        return (live + live)[start : start + MAX_DIGESTS]

    def _remove_expired(self) -> None:
        expired = [
            vm
            for vm, age_s in self._since_heartbeat_s.items()
            if age_s > REMOVE_AFTER_S
        ]
        for vm in expired:
            del self._since_heartbeat_s[vm]
            del self.by_vm[vm]


def _digest(heartbeat: Heartbeat) -> HeartbeatDigest:
    return HeartbeatDigest(
        heartbeat.vm, heartbeat.incarnation, heartbeat.counter, heartbeat.content
    )


def _content_version(source: Heartbeat | HeartbeatDigest) -> tuple[int, int]:
    return (source.incarnation, source.content)
