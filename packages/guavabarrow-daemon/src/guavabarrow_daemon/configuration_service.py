"""Applies the newest configuration and distributes it to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import Deferred

from guavabarrow_core.configuration_chain import (
    Accepted,
    AnswerLost,
    ChainRead,
    ChangeOperation,
    ConfigurationChain,
    OperationAction,
    OperationEvent,
    ReadChain,
    WriteAnswered,
    WriteRevision,
)
from guavabarrow_core.exceptions import ConfigurationError
from guavabarrow_core.fleet import decode_fleet, encode_fleet
from guavabarrow_core.fleet_change import Revision
from guavabarrow_daemon.decoding import decode_value
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.membership_service import MembershipService
from guavabarrow_daemon.metrics import Metrics
from guavabarrow_daemon.peer_messages import PullConfiguration, PushConfiguration
from guavabarrow_daemon.peers import Peers
from guavabarrow_daemon.state_log import log_state
from guavabarrow_daemon.store.exceptions import StoreUnavailable
from guavabarrow_daemon.store.messages import Condition, Put, Read, Transact

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.fleet import Fleet
    from guavabarrow_core.fleet_change import Change
    from guavabarrow_daemon.settings import Settings
    from guavabarrow_daemon.store.interface import (
        ObjectStore,
        TableService,
    )

HEAD_KEY = "config/head"
REVISION_PREFIX = "config/revision/"
SNAPSHOT_PREFIX = "fleet-"
SNAPSHOT_INTERVAL = 50
POLL_INTERVAL_S = 0.5
POLLERS_PER_DOMAIN = 2
PUSH_FANOUT = 5
READ_LIMIT = 200
READ_ATTEMPTS = 4


class Head(msgspec.Struct, frozen=True):
    """Row with the version numbers of the newest revision and snapshot."""

    version: int = 0
    snapshot: int = 0


HEAD_DECODER = msgspec.json.Decoder(Head)
REVISION_DECODER = msgspec.json.Decoder(Revision)


class ConfigurationService(Service):
    """Maintains this VM's copy of the configuration chain.

    Two VMs of each failure domain poll the head row. The others see a new version
    in heartbeats and pull it from a peer that has it.

    Parameters
    ----------
    kernel : Kernel
        Service registry.
    settings : Settings
        Name and domain of this VM.
    table : TableService
        Stores the chain.
    objects : ObjectStore
        Stores snapshots.
    reactor : object
        Clock.
    """

    name = "configuration"

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        table: TableService,
        objects: ObjectStore,
        reactor: Any,
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._table = table
        self._objects = objects
        self._reactor = reactor
        self._membership = kernel.find(MembershipService)
        self._peers = kernel.find(Peers)
        self._metrics = kernel.find(Metrics)
        self._loop = kernel.tasks.create_periodic(
            "configuration_poll", self._poll, reactor
        )
        self.chain = ConfigurationChain()
        self.on_change: list[Callable[[Fleet], None]] = []

    @property
    def fleet(self) -> Fleet:
        """Current configuration of this VM."""
        return self.chain.fleet

    async def start(self) -> None:
        """Start polling and subscribe to heartbeats that announce newer versions."""
        self._membership.on_heartbeats.append(self._pull_from_newest)
        self._loop.start(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Stop polling."""
        if self._loop.running:
            self._loop.stop()

    def receive(self, reply_to: str, message: object) -> None:
        """Answer pulls and apply pushes."""
        match message:
            case PullConfiguration(version):
                self._push_revisions(reply_to, version)
            case PushConfiguration(revisions, snapshot):
                previous_version = self.chain.version
                if snapshot is not None:
                    self.chain.install_snapshot(snapshot)
                self._extend(revisions)
                self._notify(previous_version)

    async def change(
        self,
        changes: tuple[Change, ...],
        *,
        base_version: int | None,
        operation_id: str,
        author: str,
    ) -> int:
        """Append a change to the chain.

        Parameters
        ----------
        changes : tuple of Change
            Applied atomically.
        base_version : int or None
            Version that the change is based on; None takes the newest.
        operation_id : str
            Unique id; a repeat returns the version of the first run.
        author : str
            Who makes the change.

        Returns
        -------
        int
            Version that contains the change.

        Raises
        ------
        ConfigurationConflict
            If another change was committed first.
        ConfigurationError
            If the change is not valid or its outcome is unknown.
        """
        base = await self._resolve_base(base_version, operation_id)
        if isinstance(base, int):
            return base
        operation = ChangeOperation(
            base, changes, operation_id=operation_id, author=author
        )
        action = operation.start()
        while not isinstance(action, Accepted):
            action = operation.step(await self._perform(action, operation))
        await self._refresh()
        await self._write_snapshot(action.version)
        return action.version

    async def _resolve_base(
        self, base_version: int | None, operation_id: str
    ) -> Fleet | int:
        await self._refresh_with_retries()
        for revision in (
            self.chain.revisions_after(max(0, self.chain.version - 200)) or []
        ):
            if revision.operation_id == operation_id:
                return revision.version
        if base_version is None or base_version == self.chain.version:
            return self.fleet
        return await self._fleet_at(base_version)

    async def _refresh_with_retries(self) -> None:
        for attempt in range(READ_ATTEMPTS):
            try:
                await self._refresh()
            except StoreUnavailable as error:
                if attempt + 1 < READ_ATTEMPTS:
                    continue
                raise ConfigurationError(
                    "The platform's store does not answer; nothing was changed. "
                    "Retry later with the same operation id."
                ) from error
            return

    async def _fleet_at(self, version: int) -> Fleet:
        rebuilt_chain = ConfigurationChain()
        rows = await self._read_revisions(0)
        rebuilt_chain.extend(row for row in rows if row.version <= version)
        if rebuilt_chain.version != version:
            raise ConfigurationError(
                f"Version {version} is not in the chain; reload the configuration."
            )
        return rebuilt_chain.fleet

    async def _perform(
        self, action: OperationAction, operation: ChangeOperation
    ) -> OperationEvent:
        try:
            match action:
                case ReadChain(after_version):
                    rows = await self._read_revisions(after_version)
                    return ChainRead(tuple(rows))
                case WriteRevision(revision):
                    return WriteAnswered(await self._write_revision(revision))
        except StoreUnavailable:
            return AnswerLost()
        return AnswerLost()

    async def _write_revision(self, revision: Revision) -> bool:
        answer = await self._table.read(Read(keys=[HEAD_KEY]))
        head, head_revision = Head(), 0
        if answer.rows:
            head = decode_value(HEAD_DECODER, answer.rows[0].value.encode())
            head_revision = answer.rows[0].revision
        if head.version != revision.version - 1:
            return False
        key = _revision_key(revision.version)
        new_head = Head(revision.version, head.snapshot)
        result = await self._table.transact(
            Transact(
                conditions=[Condition(HEAD_KEY, head_revision), Condition(key, 0)],
                puts=[
                    Put(HEAD_KEY, _encode_text(new_head)),
                    Put(key, _encode_text(revision)),
                ],
            )
        )
        return result.applied

    async def _write_snapshot(self, version: int) -> None:
        if version % SNAPSHOT_INTERVAL or self.chain.version != version:
            return
        try:
            name = f"{SNAPSHOT_PREFIX}{version}"
            await self._objects.put(name, encode_fleet(self.fleet))
            answer = await self._table.read(Read(keys=[HEAD_KEY]))
            row = answer.rows[0]
            head = decode_value(HEAD_DECODER, row.value.encode())
            await self._table.transact(
                Transact(
                    conditions=[Condition(HEAD_KEY, row.revision)],
                    puts=[Put(HEAD_KEY, _encode_text(Head(head.version, version)))],
                )
            )
        except StoreUnavailable:
            return

    async def _read_revisions(self, after_version: int) -> list[Revision]:
        after = _revision_key(after_version)
        answer = await self._table.read(
            Read(prefix=REVISION_PREFIX, after=after, limit=READ_LIMIT)
        )
        return [
            decode_value(REVISION_DECODER, row.value.encode()) for row in answer.rows
        ]

    def _poll(self) -> Deferred[None] | None:
        rank = self._membership.rank("configuration", self._settings.domain)
        if self.chain.version and rank >= POLLERS_PER_DOMAIN:
            return None
        return Deferred.fromCoroutine(self._poll_store())

    async def _poll_store(self) -> None:
        try:
            await self._refresh()
        except StoreUnavailable:
            return

    async def _refresh(self) -> None:
        answer = await self._table.read(Read(keys=[HEAD_KEY]))
        head = Head()
        if answer.rows:
            head = decode_value(HEAD_DECODER, answer.rows[0].value.encode())
        if head.version < self.chain.version:
            await self._write_lost_revisions(head.version)
            return
        previous_version = self.chain.version
        if head.snapshot > self.chain.version:
            await self._install_snapshot(head.snapshot)
        while self.chain.version < head.version:
            if not self._extend(await self._read_revisions(self.chain.version)):
                break
        self._notify(previous_version)

    async def _write_lost_revisions(self, version: int) -> None:
        """Append the revisions that the store lost when it returned from a copy.

        They were acknowledged to operators, and VMs that have them ignore others with
        the same versions.
        """
        lost = self.chain.revisions_after(version)
        log_state(
            self._settings.vm,
            "revisions_lost",
            stored_version=version,
            known_version=self.chain.version,
            is_retained=lost is not None,
        )
        for revision in lost or []:
            if not await self._write_revision(revision):
                return

    async def _install_snapshot(self, version: int) -> None:
        document = await self._objects.get(f"{SNAPSHOT_PREFIX}{version}")
        if document is not None:
            self.chain.install_snapshot(decode_fleet(document))

    def _extend(self, revisions: list[Revision]) -> int:
        try:
            return self.chain.extend(revisions)
        except ConfigurationError as error:
            log_state(self._settings.vm, "revision_rejected", error=str(error))
            return 0

    def _notify(self, previous_version: int) -> None:
        version = self.chain.version
        if version == previous_version:
            return
        self._metrics.version.set(version)
        self._membership.announce(version=version)
        log_state(self._settings.vm, "configuration_in_force", version=version)
        for callback in self.on_change:
            callback(self.fleet)
        for member in self._membership.table.partners(PUSH_FANOUT):
            self._push_revisions(member.peer_address, previous_version)
        self._membership.announce_now(PUSH_FANOUT)

    def _push_revisions(self, address: str, version: int) -> None:
        revisions = self.chain.revisions_after(version)
        if revisions is None:
            message = PushConfiguration(snapshot=self.fleet)
        elif revisions:
            message = PushConfiguration(revisions=revisions)
        else:
            return
        self._peers.send(address, message)

    def _pull_from_newest(self) -> None:
        newest = max(
            self._membership.table.alive(), key=lambda heartbeat: heartbeat.version
        )
        if newest.version > self.chain.version:
            self._peers.send(newest.peer_address, PullConfiguration(self.chain.version))


def _revision_key(version: int) -> str:
    return f"{REVISION_PREFIX}{version:012d}"


def _encode_text(value: object) -> str:
    return msgspec.json.encode(value).decode()
