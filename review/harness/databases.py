"""Stand-in of a service's databases, as ``PROTOCOL.md`` describes them.

A database has slots and a queue before them, a log that replicas receive, and the
commands STATUS and DEMOTE. Reads, writes, commits, STATUS and new connections occupy a
slot.
"""

from __future__ import annotations

import socket
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from harness.deployment import Record
    from harness.store import Platform

HEARTBEAT_S = 1.2
QUEUE_LENGTH = 24
SILENT_INTERVALS = 3


@dataclass(frozen=True)
class Ran:
    """A statement that a database ran."""

    at: float
    database: str
    connection: int
    request: str
    tenant: str
    text: str
    is_primary: bool


@dataclass(frozen=True)
class Entry:
    """A committed write in a log."""

    term: int
    request: str
    item: str
    data: str


class Database:
    """One database of a service."""

    def __init__(self, service: Service, name: str, zone: str, slots: int) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.is_primary = False
        self.term = 1
        self.log: list[Entry] = []
        self.is_deaf = False
        self.is_running = True
        self.state = "ready"
        self.connections: set[socket.socket] = set()
        self._slots = threading.Semaphore(slots)
        self._occupied = 0
        self._queued = 0
        self._lock = threading.Lock()
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._silent_since = 0.0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._check_in_regularly, daemon=True).start()
        threading.Thread(target=self._receive, daemon=True).start()

    @property
    def position(self) -> tuple[int, int]:
        """End of the log: term and number."""
        return (self.log[-1].term if self.log else 1), len(self.log)

    def check_in(self) -> None:
        """Write the database's entry to the store."""
        self._sequence += 1
        entry = {
            "Service": self.service.name,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Capacity": self.slots,
            "State": self.state,
            "WarmupLeftMs": 0,
            "DbRole": "primary" if self.is_primary else "replica",
            "Sequence": self._sequence,
            "born": self._born,
        }
        self.service.platform.put("servers", self.name, entry)

    def crash(self) -> None:
        """End at once: the port closes and all connections end."""
        self.is_running = False
        self._silent_since = time.monotonic()
        # Ends the thread that waits in accept, so that the port is closed.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def occupy(self, work_s: float) -> bool:
        """Occupy a slot for some time; False without a free place in the queue."""
        with self._lock:
            if self._queued >= QUEUE_LENGTH:
                return False
            self._queued += 1
        with self._slots:
            with self._lock:
                self._queued -= 1
                self._occupied += 1
            time.sleep(work_s)
            with self._lock:
                self._occupied -= 1
        return self.is_running

    @property
    def load(self) -> tuple[int, int]:
        """Occupied slots, and statements that wait for one."""
        return self._occupied, self._queued

    def _accept(self) -> None:
        while self.is_running:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            session = _Session(self, connection)
            threading.Thread(target=session.run, daemon=True).start()

    def _check_in_regularly(self) -> None:
        while True:
            time.sleep(HEARTBEAT_S)
            if self.is_running:
                self.check_in()
            elif time.monotonic() - self._silent_since > SILENT_INTERVALS * HEARTBEAT_S:
                self.service.platform.put_bytes("servers", self.name, None)
                return

    def _receive(self) -> None:
        """Receive the primary's log, some ms later."""
        service = self.service
        while self.is_running:
            time.sleep(service.lag_s)
            with service.changed:
                primary = service.primary
                if self is primary or primary is None or not primary.is_running:
                    continue
                if not self.is_deaf and len(self.log) < len(primary.log):
                    self.log = list(primary.log)
                    service.changed.notify_all()


class Service:
    """Databases that replicate one log.

    Attributes
    ----------
    sync_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    ran : list of Ran
        All statements of consumers that ran.
    promoted : list of tuple
        Time, database and log of each promotion that took effect.
    executed : list of tuple
        Time, database, request and text of each EXECUTE, and the mode and shape that
        its name stands for on the connection, None if it is unknown.
    work_s : callable
        Returns the time that a statement works, by its keyword.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        zones: list[str],
        *,
        slots: int = 3,
        sync_replicas: int = 0,
        lag_s: float = 0.008,
        promote_s: float = 0.3,
    ) -> None:
        self.platform = platform
        self.name = name
        self.sync_replicas = sync_replicas
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.work_s = lambda keyword: 0.008
        self.handshake_s = 0.012
        self.changed = threading.Condition(threading.RLock())
        self.ran: list[Ran] = []
        self.promoted: list[tuple[float, str, list[Entry]]] = []
        self.executed: list[tuple[float, str, str, str, str | None]] = []
        self.databases: list[Database] = []
        for number, zone in enumerate(zones):
            self.databases.append(Database(self, f"i-{name}-{number}", zone, slots))
        self.databases[0].is_primary = True
        platform.promote = self.promote
        for database in self.databases:
            database.check_in()

    @property
    def primary(self) -> Database | None:
        """Database that leads the newest term."""
        leaders = [d for d in self.databases if d.is_primary]
        return max(leaders, key=lambda d: d.term, default=None)

    def promote(self, service: str, name: str) -> bool:
        """Let a database lead the next term, some hundred ms later."""
        chosen = next((d for d in self.databases if d.name == name), None)
        if service != self.name or chosen is None or not chosen.is_running:
            return False
        if chosen is not self.primary:
            threading.Timer(self.promote_s, self._lead, (chosen,)).start()
        return True

    def _lead(self, chosen: Database) -> None:
        with self.changed:
            if not chosen.is_running or chosen is self.primary:
                return
            old = self.primary
            chosen.term = max(d.term for d in self.databases) + 1
            chosen.is_primary = True
            self.promoted.append((time.monotonic(), chosen.name, list(chosen.log)))
            for database in self.databases:
                if database is not chosen and not database.is_primary:
                    database.term = chosen.term
                    database.log = list(chosen.log[: len(database.log)])
            self.changed.notify_all()
        chosen.check_in()
        if old is not None and old.is_running:
            threading.Timer(1.0, self._step_down, (old, chosen)).start()

    def _step_down(self, old: Database, new: Database) -> None:
        with self.changed:
            if old.term < new.term:
                old.is_primary, old.term = False, new.term
                old.log = list(new.log)
        old.check_in()

    def commit(
        self, database: Database, writes: list[tuple[str, str, str]], until: float
    ) -> bool:
        """Commit writes at the primary; return whether they may be acknowledged."""
        with self.changed:
            for request, item, data in writes:
                database.log.append(Entry(database.term, request, item, data))
            index = len(database.log)
            while self.sync_replicas:
                received = sum(
                    len(d.log) >= index
                    for d in self.databases
                    if d is not database and d.is_running
                )
                if received >= self.sync_replicas:
                    break
                left = until - time.monotonic()
                if left <= 0 or not database.is_running:
                    return False
                self.changed.wait(min(left, 0.05))
        return database.is_running

    def write_ran(self, record: Record) -> None:
        """Write all statements that ran into the record."""
        for ran in list(self.ran):
            record.write(
                f"{ran.database} ran {ran.request} for {ran.tenant} on connection "
                f"{ran.connection % 100000}: {ran.text}",
                ran.at,
            )

    def close(self) -> None:
        """End all databases."""
        for database in self.databases:
            if database.is_running:
                database.crash()


class _Closed(Exception):
    """The connection is to be closed."""


class _Session:
    """One connection to a database."""

    def __init__(self, database: Database, connection: socket.socket) -> None:
        self._database = database
        self._connection = connection
        self._tenant = ""
        self._values: dict[str, str] = {}
        self._shapes: dict[str, tuple[str, str]] = {}
        self._state = "I"
        self._may_write = False
        self._writes: list[tuple[str, str, str]] = []

    def run(self) -> None:
        """Respond until the peer leaves."""
        buffer = b""
        try:
            while self._database.is_running:
                data = self._connection.recv(65536)
                if not data:
                    break
                *lines, buffer = (buffer + data).split(b"\r\n")
                for line in lines:
                    self._on_line(line.decode())
        except (OSError, _Closed):
            pass
        finally:
            self._database.connections.discard(self._connection)
            self._connection.close()

    def _on_line(self, line: str) -> None:
        keyword, _, rest = line.partition(" ")
        if keyword == "STARTUP":
            self._open(rest.split(" "))
        elif keyword == "QUERY":
            request, _, text = rest.partition(" ")
            rows, outcome = self._query(request, text)
            if not self._database.is_running:
                raise _Closed
            if outcome.startswith("ERROR") and self._state == "T":
                self._state = "E"
            self._send([*(f"DATAROW {row}" for row in rows), outcome, self._ready()])
        else:
            raise _Closed

    def _open(self, fields: list[str]) -> None:
        database = self._database
        self._tenant = fields[1] if len(fields) > 1 else ""
        expected = fields[2] if len(fields) > 2 else database.name
        if fields[0] != database.service.name or expected != database.name:
            self._send([f"ERROR MISROUTED {database.name}"])
            raise _Closed
        if not database.occupy(database.service.handshake_s):
            self._send([f"ERROR TOOMANY {database.name}"])
            raise _Closed
        self._send([self._ready()])

    def _query(self, request: str, text: str) -> tuple[list[str], str]:
        database = self._database
        keyword, _, rest = text.partition(" ")
        if keyword == "AFTER":
            position, _, text = rest.partition(" ")
            term, _, number = position.partition(".")
            if (int(term), int(number)) > database.position:
                return [], f"ERROR LAGGING {database.name}"
            keyword, _, rest = text.partition(" ")
        name, _, argument = rest.partition(" ")
        match keyword:
            case "STATUS":
                if not database.occupy(0.001):
                    return [], f"ERROR BUSY {database.name}"
                return [self._status()], "COMPLETE -"
            case "DEMOTE":
                if database.is_primary and int(name) > database.term:
                    database.is_primary, database.term = False, int(name)
                    database.check_in()
                return [self._status()], "COMPLETE -"
            case "RESET":
                self._values.clear()
                self._shapes.clear()
            case "SET":
                self._values[name] = argument
            case "PREPARE":
                mode, _, shape = argument.partition(" ")
                if mode not in ("READ", "WRITE") or not shape:
                    return [], f"ERROR MALFORMED {database.name}"
                self._shapes[name] = (mode, shape)
            case "DEALLOC":
                self._shapes.pop(name, None)
            case "BEGIN":
                if rest != "READ" and not database.is_primary:
                    return [], f"ERROR READONLY {database.name}"
                self._state, self._may_write = "T", rest != "READ"
            case "ROLLBACK":
                self._end()
            case _:
                return self._run(request, keyword, name, argument, text)
        return [], "COMPLETE -"

    def _run(
        self, request: str, keyword: str, item: str, data: str, text: str
    ) -> tuple[list[str], str]:
        database = self._database
        service = database.service
        if self._state == "E":
            if keyword == "COMMIT":
                self._end()
            return [], f"ERROR MALFORMED {database.name}"
        if keyword == "EXECUTE":
            prepared = self._shapes.get(item)
            shape = None if prepared is None else " ".join(prepared)
            service.executed.append(
                (time.monotonic(), database.name, request, text, shape)
            )
            if prepared is None:
                return [], f"ERROR NOSTMT {database.name}"
            keyword = prepared[0]
            item, _, data = data.partition(" ")
        if keyword not in ("READ", "WRITE", "COMMIT"):
            return [], f"ERROR MALFORMED {database.name}"
        may_write = self._may_write if self._state == "T" else True
        if keyword == "WRITE" and not (database.is_primary and may_write):
            return [], f"ERROR READONLY {database.name}"
        has_lost_lead = (
            self._state == "T" and self._may_write and (not database.is_primary)
        )
        if has_lost_lead and not (keyword == "COMMIT" and not self._writes):
            return [], f"ERROR READONLY {database.name}"
        began_at = time.monotonic()
        if not database.occupy(service.work_s(keyword)):
            return [], f"ERROR BUSY {database.name}"
        service.ran.append(
            Ran(
                began_at,
                database.name,
                id(self),
                request,
                self._tenant,
                text,
                database.is_primary,
            )
        )
        mac = f"COMPLETE {database.name}.{request}"
        until = time.monotonic() + 5.0
        if keyword == "READ":
            return [self._read(item)], mac
        if keyword == "WRITE" and self._state == "T":
            self._writes.append((request, item, data))
            return [], mac
        writes = [(request, item, data)] if keyword == "WRITE" else self._writes
        if keyword == "COMMIT":
            self._end()
        if writes and not service.commit(database, writes, until):
            raise _Closed
        return [], mac

    def _read(self, item: str) -> str:
        for entry in reversed(self._database.log):
            if entry.item == item:
                return entry.data
        return "none"

    def _end(self) -> None:
        self._state, self._writes = "I", []

    def _status(self) -> str:
        database = self._database
        role = "primary" if database.is_primary else "replica"
        term, number = database.position
        busy = database.load[0]
        connections = len(database.connections)
        return f"{role} {database.term} {term}.{number} 0 0 {busy} {connections}"

    def _ready(self) -> str:
        term, number = self._database.position
        return f"READY {self._state} {term}.{number}"

    def _send(self, lines: list[str]) -> None:
        self._connection.sendall("".join(f"{line}\r\n" for line in lines).encode())
