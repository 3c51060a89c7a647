"""Stand-ins of the store and the services that misbehave as a run requires."""

from __future__ import annotations

import base64
import threading
import time
from functools import partial
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from platform_adapter.standin_platform import (
    ExecutedStatement,
    HttpRequest,
    HttpServer,
    StandInDatabase,
    StandInGroup,
    StandInStore,
)

from soak.network import Relay
from soak.record import Record, Run

if TYPE_CHECKING:
    from soak.network import Network

ENTRY_EXPIRY_S = 3.6
MAX_LATE_S = 3.0


class SoakStore(StandInStore):
    """Store that can turn single VMs away, be slow, or lose its answers.

    Attributes
    ----------
    refusal_by_vm : dict of str to str
        How a VM is turned away: ``503``, ``429``, ``reset`` or ``silent``.
    delay_s : float
        Delay of each answer, in s.
    lost_answers : float
        Share of writes whose answer is lost; a half of these are performed late.
    last_writer : str
        VM whose conditional write was applied last.
    """

    def __init__(self, listened: str, advertised: str) -> None:
        super().__init__()
        self.refusal_by_vm: dict[str, str] = {}
        self.delay_s = 0.0
        self.lost_answers = 0.0
        self.last_writer = ""
        self._history_floor = 0
        self._writes = 0
        self._translation = (listened.encode(), advertised.encode())
        self._servers: list[HttpServer] = []

    def listen_for(self, vm: str) -> str:
        """Listen for the calls of one VM and return the address."""
        server = HttpServer(partial(self._handle_from, vm))
        self._servers.append(server)
        return server.address

    def drop_history(self) -> None:
        """Discard all history, so that watches must read their tables anew."""
        with self._changed:
            self._history_floor = self._version
            self._changed.notify_all()

    def return_older(self, age_s: float) -> None:
        """Return from an older copy, which has its whole history."""
        self._history_floor = 0
        super().return_older(age_s)

    def close(self) -> None:
        """Stop serving."""
        self.is_silent = False
        self.refusal_by_vm.clear()
        for server in self._servers:
            server.close()
        super().close()

    def _handle_from(self, vm: str, request: HttpRequest) -> tuple[int, dict]:
        path = urlsplit(request.path)
        time.sleep(self.delay_s)
        while self.refusal_by_vm.get(vm) == "silent":
            time.sleep(0.05)
        refusal = self.refusal_by_vm.get(vm)
        if refusal == "reset":
            raise ConnectionAbortedError("the VM is turned away")
        if refusal is not None:
            return int(refusal), {}
        if path.path == "/guavabarrow/rows-feed":
            query = {name: values[0] for name, values in parse_qs(path.query).items()}
            if int(query["after"]) < self._history_floor:
                return 410, {"headers": self._headers()}
        if path.path != "/guavabarrow/rows-tx":
            return self._handle(request)
        self._writes += 1
        is_lost = self._writes * self.lost_answers % 1 > 1 - self.lost_answers
        if is_lost and self._writes % 2:
            time.sleep(MAX_LATE_S)
        status, value = self._handle(request)
        if is_lost:
            raise ConnectionAbortedError("the answer is lost")
        if status == 200:
            self.last_writer = vm
        return status, value

    def _transact(self, body: dict) -> tuple[int, dict]:
        """Apply a transaction; VMs register under the addresses of their relays."""
        for put in body["Puts"]:
            value = base64.b64decode(put["Value"]).replace(*self._translation)
            put["Value"] = base64.b64encode(value).decode()
        return super()._transact(body)


class RunList(list):
    """Statements that a service ran, copied with their time to the record."""

    def __init__(self, record: Record, service: str) -> None:
        super().__init__()
        self._record = record
        self._service = service

    def append(self, statement: ExecutedStatement) -> None:
        """Add a statement."""
        self._record.runs.append(
            Run(
                time.monotonic(),
                self._service,
                statement.target_id,
                statement.request_id,
                statement.team,
                statement.text,
            )
        )


class SoakGroup(StandInGroup):
    """Service whose databases lie behind relays, crash and come back."""

    def __init__(
        self,
        store: SoakStore,
        name: str,
        record: Record,
        network: Network,
        domains: list[str],
        host: str,
    ) -> None:
        self._record = record
        self._network = network
        self._domains = domains
        self._host = host
        self._relay_by_target: dict[str, tuple[Relay, str]] = {}
        self._draining: set[str] = set()
        self._sequence = 1
        super().__init__(store, name, len(domains))
        self.ran = RunList(record, name)
        self.promotion_delay_s = 0.5

    def register(self, database: StandInDatabase, state: str = "ready") -> None:
        """Write the database's entry with the address of its relay."""
        target_id = database.target_id
        host, _, port = database.address.rpartition(":")
        if target_id not in self._relay_by_target:
            relay = Relay(self._network, "vms", target_id, (host, int(port)))
            address = self._network.listen(relay, self._host, 0)
            self._relay_by_target[target_id] = relay, address
        relay, address = self._relay_by_target[target_id]
        relay.target = host, int(port)
        domain = self._domains[int(target_id.rpartition("-")[2])]
        self._record.domain_by_target[target_id] = domain
        self._sequence += 1
        entry = {
            "Service": self.name,
            "Address": address,
            "Zone": domain,
            "Version": "v1",
            "Capacity": 3,
            "State": "draining" if target_id in self._draining else state,
            "WarmupLeftMs": 0,
            "DbRole": "primary" if database.is_primary else "replica",
            "Sequence": self._sequence,
            "born": getattr(database, "born_ms", 1),
        }
        self._store.put("servers", target_id, entry)

    def promote(self, service: str, target_id: str) -> bool:
        """Promote a database if it runs; see ``StandInGroup.promote``."""
        if all(d.target_id != target_id for d in self.databases):
            return False
        return super().promote(service, target_id)

    def _make_primary(self, chosen: StandInDatabase) -> None:
        if not chosen.is_running:
            return
        super()._make_primary(chosen)
        for database in self.databases:
            if database.is_running:
                self.register(database)

    def drain(self, database: StandInDatabase) -> None:
        """Report that a database is going to stop."""
        self._draining.add(database.target_id)
        self.register(database)

    def crash(self, database: StandInDatabase) -> None:
        """Crash a database; its entry expires unless it comes back soon."""
        database.crash()
        threading.Timer(ENTRY_EXPIRY_S, self._expire, (database,)).start()

    def restart(self, crashed: StandInDatabase) -> None:
        """Start a crashed database again with the log of the present primary."""
        with self.lock:
            leader = max(
                (d for d in self.databases if d is not crashed),
                key=lambda d: (d.is_running, d.is_primary, d.term, len(d.log)),
            )
            source = leader if leader.is_primary else crashed
            database = StandInDatabase(
                self, crashed.target_id, crashed.is_primary and source is crashed
            )
            database.term, database.log = source.term, list(source.log)
            database.born_ms = int(time.time() * 1000)
            self._draining.discard(database.target_id)
            self.databases[self.databases.index(crashed)] = database
        self.register(database)

    def kept_data(self) -> list[str]:
        """Return the data in the log of the newest primary."""
        with self.lock:
            newest = max(self.databases, key=lambda d: (d.is_primary, d.term))
            return [data for _, _, data in newest.log]

    def _expire(self, database: StandInDatabase) -> None:
        if database in self.databases:
            self._store.remove("servers", database.target_id)


def route_promotions(store: SoakStore, groups: list[SoakGroup]) -> None:
    """Hand each promotion to the group of its service."""
    by_name = {group.name: group for group in groups}
    store.promote = lambda service, target_id: by_name[service].promote(
        service, target_id
    )
