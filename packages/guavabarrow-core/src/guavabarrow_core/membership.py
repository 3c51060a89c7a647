"""Membership of VMs by gossiped heartbeats.

Each VM advances its own counter and spreads what it has heard, as short digests of
bounded number; the whole heartbeat of a VM is sent only to those who lack its newest
content. A member is judged only by how long its counter has stood still while this
VM itself was awake, so a VM that was paused does not exclude everybody else when it
resumes.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

HEARTBEAT_S = 0.4
SUSPECT_S = 1.6
DEAD_S = 4.0
FORGET_S = 600.0
FANOUT = 2
PAUSE_S = 1.0
MAX_DIGESTS = 24


class MemberState(Enum):
    """Judgement of this VM about a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class Heartbeat(msgspec.Struct, frozen=True):
    """What a VM says of itself.

    Parameters
    ----------
    vm : str
        Name of the VM.
    domain : str
        Its failure domain.
    peer_address : str
        Address for messages between VMs.
    admin_address : str
        Address of its operator interface, ``ip:port``.
    incarnation : int
        Start of the process, nanoseconds since 1970.
    counter : int
        Advances with every heartbeat.
    version : int
        Configuration version in force at the VM.
    leaving : bool
        Whether the VM takes no new work.
    ledger_epoch : int
        Epoch of its domain's ledger lease that it knows.
    ledger_holder : bool
        Whether it holds that lease now.
    content : int
        Advances whenever any other field but the counter changes.
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
    """Sign of life of a VM whose heartbeat the receiver probably knows."""

    vm: str
    incarnation: int
    counter: int
    content: int


class Membership:
    """Table of the members that this VM has heard of.

    Parameters
    ----------
    own : Heartbeat
        First heartbeat of this VM.
    seed : int
        Seed for the choice of gossip partners.
    now : float
        Monotonic time.
    """

    def __init__(self, own: Heartbeat, *, seed: int, now: float) -> None:
        self.own = own
        self.by_vm: dict[str, Heartbeat] = {own.vm: own}
        self.paused_at: float | None = None
        self._silent_s: dict[str, float] = {own.vm: 0.0}
        self._random = Random(seed)
        self._ticked_at = now
        self._next_digest = 0

    def advance(self, now: float, **changes: object) -> list[HeartbeatDigest]:
        """Advance the own heartbeat and age the others.

        Parameters
        ----------
        now : float
            Monotonic time.
        **changes : object
            Fields of the own heartbeat to change.

        Returns
        -------
        list of HeartbeatDigest
            Digests to send to the partners: the own one and those of up to
            ``MAX_DIGESTS`` live members, in turn if there are more.
        """
        self._age(now)
        if changes:
            changes["content"] = self.own.content + 1
        self.own = msgspec.structs.replace(
            self.own, counter=self.own.counter + 1, **changes
        )
        self.by_vm[self.own.vm] = self.own
        self._silent_s[self.own.vm] = 0.0
        return [_digest(beat) for beat in (self.own, *self._next_live())]

    def merge_digests(self, digests: Iterable[HeartbeatDigest]) -> list[str]:
        """Take over digests that are newer than what is known.

        Returns
        -------
        list of str
            VMs whose whole heartbeat is needed.
        """
        needed = []
        for digest in digests:
            known = self.by_vm.get(digest.vm)
            if digest.vm == self.own.vm:
                continue
            if known is None or _content(digest) > _content(known):
                needed.append(digest.vm)
            elif (digest.incarnation, digest.counter) > known.order:
                self.by_vm[digest.vm] = msgspec.structs.replace(
                    known, counter=digest.counter
                )
                self._silent_s[digest.vm] = 0.0
        return needed

    def merge(self, heartbeats: Iterable[Heartbeat]) -> None:
        """Take over heartbeats that are newer than those known."""
        for beat in heartbeats:
            if beat.vm == self.own.vm:
                continue
            known = self.by_vm.get(beat.vm)
            if known is None or beat.order > known.order:
                self.by_vm[beat.vm] = beat
                self._silent_s[beat.vm] = 0.0

    def state_of(self, vm: str) -> MemberState:
        """Return this VM's judgement about ``vm``."""
        silent_s = self._silent_s.get(vm, FORGET_S)
        if silent_s >= DEAD_S:
            return MemberState.DEAD
        if silent_s >= SUSPECT_S:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def since_heartbeat_s(self, vm: str) -> float:
        """Return for how long ``vm`` was silent while this VM was awake, seconds."""
        return self._silent_s.get(vm, FORGET_S)

    def alive(self, domain: str | None = None) -> list[Heartbeat]:
        """Return the members judged alive, this VM among them.

        Parameters
        ----------
        domain : str, optional
            Restricts the result to one failure domain.
        """
        return [
            beat
            for vm, beat in self.by_vm.items()
            if self.state_of(vm) is MemberState.ALIVE and domain in (None, beat.domain)
        ]

    def partners(self, count: int = FANOUT) -> list[Heartbeat]:
        """Choose partners for one round of gossip.

        Parameters
        ----------
        count : int
            Number of live members.

        Returns
        -------
        list of Heartbeat
            Up to ``count`` live members and at most one that seems dead, so that
            two sides of a healed partition find each other.
        """
        live: list[Heartbeat] = []
        dead: list[Heartbeat] = []
        for vm, beat in self.by_vm.items():
            if vm == self.own.vm:
                continue
            bucket = dead if self.state_of(vm) is MemberState.DEAD else live
            bucket.append(beat)
        chosen = self._random.sample(live, min(count, len(live)))
        if dead:
            chosen.append(self._random.choice(dead))
        return chosen

    def _age(self, now: float) -> None:
        elapsed_s = now - self._ticked_at
        self._ticked_at = now
        if elapsed_s > PAUSE_S:
            self.paused_at = now
            elapsed_s = HEARTBEAT_S
        for vm in self._silent_s:
            self._silent_s[vm] += elapsed_s
        self._forget()

    def _next_live(self) -> list[Heartbeat]:
        live = [
            beat
            for vm, beat in self.by_vm.items()
            if vm != self.own.vm and self._silent_s[vm] < SUSPECT_S
        ]
        if len(live) <= MAX_DIGESTS:
            return live
        start = self._next_digest % len(live)
        self._next_digest += MAX_DIGESTS
        return (live + live)[start : start + MAX_DIGESTS]

    def _forget(self) -> None:
        gone = [vm for vm, silent_s in self._silent_s.items() if silent_s > FORGET_S]
        for vm in gone:
            del self._silent_s[vm]
            del self.by_vm[vm]


def _digest(beat: Heartbeat) -> HeartbeatDigest:
    return HeartbeatDigest(beat.vm, beat.incarnation, beat.counter, beat.content)


def _content(source: Heartbeat | HeartbeatDigest) -> tuple[int, int]:
    return (source.incarnation, source.content)
