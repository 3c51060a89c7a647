"""Stand-ins and processes of the scripted cases 11 to 15, on loopback addresses.

The store is the project's own stand-in. The databases here follow PROTOCOL.md: they
replicate later, are promoted with what they received, and may start again empty. The
entry VMs are the real processes, started with the command of the deploy file.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "tests" / "platform_adapter"))

from standin_platform import StandInStore  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2


_given: set[int] = set()


def free_port() -> int:
    """Return an unused port below those that outgoing connections get."""
    while True:
        port = random.randint(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port


class NotRun(Exception):
    """The case could not be run."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def add(self, *words: object) -> None:
        """Add a line."""
        with self._lock:
            line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
            self._file.write(line + "\n")
            self._file.flush()


def wait_for(condition, what: str, timeout_s: float = 20.0):
    """Poll a condition until its result is true, and return the result."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        result = condition()
        if result:
            return result
        time.sleep(0.02)
    raise NotRun(f"{what}: not within {timeout_s} s")


class Store(StandInStore):
    """The store, without the header of a contract that is not in force."""

    def _headers(self) -> dict[str, str]:
        return {}


class Database:
    """One database of a group; its address stays when it starts again."""

    def __init__(self, group: Group, name: str, zone: str) -> None:
        self.group, self.name, self.zone = group, name, zone
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.role, self.term = "replica", 1
        self.log: list[tuple[int, str, str]] = []
        self.is_running = False
        self.is_deaf = False
        self.is_copying = False
        self.state = "ready"
        self.born = 0
        self.sequence = 0
        self.connections: set[socket.socket] = set()
        self._listener: socket.socket | None = None

    def start(self) -> None:
        """Listen, register, and write the entry from time to time."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(128)
        self._listener, self.is_running = listener, True
        self.born, self.sequence = int(time.time() * 1000), 0
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        threading.Thread(target=self._check_in, args=(self.born,), daemon=True).start()

    def stop(self) -> None:
        """End the process: the port closes and all connections are reset."""
        self.is_running = False
        if self._listener is not None:
            self._listener.close()
            try:
                socket.create_connection(("127.0.0.1", self.port), 0.2).close()
            except OSError:
                pass
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def start_again_empty(self, entries_per_s: float = 0.0) -> None:
        """Start under the same id; it holds and knows nothing of before.

        The log of the primary is copied to it at a rate, 0 for not at all.
        """
        with self.group.lock:
            self.role, self.term, self.log = "replica", 0, []
            self.is_copying = True
        self.start()
        if entries_per_s:
            arguments = (entries_per_s, self.born)
            threading.Thread(target=self._copy, args=arguments, daemon=True).start()

    def start_again_with_log(self) -> None:
        """Come back after a crash with the log, as a replica if another one leads."""
        with self.group.lock:
            leads = [d for d in self.group.databases if d.role == "primary"]
            if any(d is not self and d.is_running for d in leads):
                self.role = "replica"
        self.start()

    def leave(self) -> None:
        """End for good after a drain; the entry is removed."""
        self.stop()
        self.group.store.remove("servers", self.name)

    def succeed(self, name: str, missing: int, after_s: float) -> Database:
        """Start a new database at this address, to which the log is transferred.

        The last ``missing`` commits follow after a time, unless it leads before.
        """
        new = Database(self.group, name, self.zone)
        new.port, new.address = self.port, self.address
        new.term, new.is_copying = self.term, True
        with self.group.lock:
            new.log = self.log[: len(self.log) - missing]
            databases = self.group.databases
            databases[databases.index(self)] = new
        new.start()

        def complete() -> None:
            with self.group.lock:
                if new.role == "replica" and new.is_copying:
                    new.log, new.is_copying = list(self.log), False
                    self.group.record.add(new.name, "has the whole log")

        threading.Timer(after_s, complete).start()
        return new

    def _copy(self, entries_per_s: float, born: int) -> None:
        while self.is_running and self.born == born:
            time.sleep(1 / entries_per_s)
            with self.group.lock:
                source = next(
                    (
                        d
                        for d in self.group.databases
                        if d.role == "primary" and d.is_running
                    ),
                    None,
                )
                if source is None or not self.is_copying:
                    continue
                self.term = source.term
                self.log = list(source.log[: len(self.log) + 1])
                if len(self.log) == len(source.log):
                    self.is_copying = False
                    self.group.received.notify_all()

    @property
    def position(self) -> str:
        """End of the log as TERM.NUMBER, or a dash."""
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "-"

    def register(self) -> None:
        """Write the entry."""
        self.sequence += 1
        self.group.store.put(
            "servers",
            self.name,
            {
                "Service": self.group.name,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Capacity": 3,
                "State": self.state,
                "WarmupLeftMs": 0,
                "Sequence": self.sequence,
                "DbRole": self.role,
                "born": self.born,
            },
        )

    def _check_in(self, born: int) -> None:
        while self.is_running and self.born == born:
            self.register()
            time.sleep(HEARTBEAT_S)

    def _accept(self, listener: socket.socket) -> None:
        while self.is_running:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            if not self.is_running:
                connection.close()
                return
            session = Session(self, connection)
            threading.Thread(target=session.run, daemon=True).start()


class Session:
    """One connection to a database."""

    def __init__(self, database: Database, connection: socket.socket) -> None:
        self._database, self._connection = database, connection
        self._file = connection.makefile("rb")
        self._values: dict[str, str] = {}
        self._shapes: dict[str, tuple[str, str]] = {}
        self._state, self._is_plain = "I", False
        self._writes: list[tuple[str, str]] = []
        self._who = "-"

    def run(self) -> None:
        """Answer messages until the far end leaves."""
        database = self._database
        database.connections.add(self._connection)
        try:
            while database.is_running and (raw := self._file.readline()):
                line = raw.decode().removesuffix("\n").removesuffix("\r")
                if not self._answer(line):
                    return
        except OSError:
            pass
        finally:
            database.connections.discard(self._connection)
            self._connection.close()

    def _answer(self, line: str) -> bool:
        database = self._database
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            fields = rest.split(" ")
            self._who = fields[1] if len(fields) > 1 else "-"
            expected = fields[2] if len(fields) > 2 else database.name
            if fields[0] != database.group.name or expected != database.name:
                self._send(f"ERROR MISROUTED {database.name}")
                return False
            self._send(f"READY I {database.position}")
            return True
        if word != "QUERY":
            return False
        request, _, text = rest.partition(" ")
        if request != "-":
            time.sleep(database.group.work_s)
        with database.group.lock:
            rows, outcome = self._query(request, text)
            if outcome.startswith("ERROR") and self._state == "T":
                self._state, self._writes = "E", []
            ready = f"READY {self._state} {database.position}"
            if request != "-":
                database.group.ran_at.append((request, time.monotonic()))
                database.group.record.add(
                    "run",
                    database.name,
                    database.role,
                    f"by {self._who}",
                    f"id {request}",
                    repr(text),
                    f"rows {rows if len(rows) < 9 else len(rows)}",
                    outcome,
                    ready,
                )
        answer = [*(f"DATAROW {row}" for row in rows), outcome, ready]
        hold = database.group.hold_answer
        if hold is not None and hold(database, request, text):
            return True
        self._send(*answer)
        return True

    def _query(self, request: str, text: str) -> tuple[list[str], str]:
        database = self._database
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            required, _, text = rest.partition(" ")
            if _key(required) > _key(database.position):
                return [], "ERROR LAGGING behind"
            word, _, rest = text.partition(" ")
        name, _, argument = rest.partition(" ")
        match word:
            case "STATUS":
                return [database.group.status(database)], "COMPLETE -"
            case "DEMOTE":
                if database.role == "primary" and int(name) > database.term:
                    database.role = "replica"
                    database.register()
                return [database.group.status(database)], "COMPLETE -"
            case "RESET":
                self._values, self._shapes = {}, {}
                return [], "COMPLETE -"
            case "SET":
                self._values[name] = argument
                return [], "COMPLETE -"
            case "PREPARE":
                mode, _, shape = argument.partition(" ")
                self._shapes[name] = mode, shape
                return [], "COMPLETE -"
            case "BEGIN":
                if rest != "READ" and database.role != "primary":
                    return [], f"ERROR READONLY {database.name}"
                self._state, self._is_plain = "T", rest != "READ"
                return [], "COMPLETE -"
            case "ROLLBACK":
                self._state, self._writes = "I", []
                return [], "COMPLETE -"
        if self._state == "E":
            return [], "ERROR MALFORMED the transaction failed"
        mac = f"COMPLETE {database.name}.{request}"
        if word == "EXECUTE":
            if name not in self._shapes:
                return [], f"ERROR NOSTMT {name}"
            word, (name, _, argument) = (
                self._shapes[name][0],
                argument.partition(" "),
            )
        leads = database.role == "primary"
        if word == "COMMIT":
            writes, self._writes, self._state = self._writes, [], "I"
            if writes and not leads:
                return [], f"ERROR READONLY {database.name}"
            if writes:
                database.group.commit(database, writes)
            return [], mac
        if self._state == "T" and self._is_plain and not leads:
            return [], f"ERROR READONLY {database.name}"
        if word == "READ":
            return database.group.read(database, name), mac
        if not leads:
            return [], f"ERROR READONLY {database.name}"
        if self._state == "T":
            self._writes.append((name, argument))
        else:
            database.group.commit(database, [(name, argument)])
        return [], mac

    def _send(self, *lines: str) -> None:
        for start in range(0, len(lines), 500):
            part = lines[start : start + 500]
            self._connection.sendall("".join(f"{x}\r\n" for x in part).encode())


def _key(position: str) -> tuple[int, int]:
    if position == "-":
        return 0, 0
    term, _, number = position.partition(".")
    return int(term), int(number)


class Group:
    """A service: a primary and replicas that receive its commits later."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        zones: list[str],
        *,
        lag_s: float = 0.008,
        promote_s: float = 0.3,
        work_s: float = 0.005,
        sync_replicas: int = 0,
        preloaded: int = 0,
    ) -> None:
        self.store, self.record, self.name = store, record, name
        self.lag_s, self.promote_s, self.work_s = lag_s, promote_s, work_s
        self.lock = threading.RLock()
        self.received = threading.Condition(self.lock)
        self.sync_replicas = sync_replicas
        self.promoted: list[Database] = []
        self.ran_at: list[tuple[str, float]] = []
        self.rows_by_item: dict[str, int] = {}
        self.row_bytes = 1000
        self.hold_answer = None
        self.databases = [
            Database(self, f"i-{name}-{number}", zone)
            for number, zone in enumerate(zones)
        ]
        self.databases[0].role = "primary"
        for database in self.databases:
            database.log = [(1, f"old-{n}", "x") for n in range(preloaded)]
        store.promote = self.promote
        for database in self.databases:
            database.start()

    @property
    def primary(self) -> Database:
        """The running primary of the newest term."""
        leads = [d for d in self.databases if d.role == "primary" and d.is_running]
        return max(leads, key=lambda d: d.term)

    def status(self, database: Database) -> str:
        """Return the row of STATUS."""
        return (
            f"{database.role} {database.term} {database.position} 0 0 0 "
            f"{len(database.connections)}"
        )

    def read(self, database: Database, item: str) -> list[str]:
        """Return the newest data of an item; no row if there is none.

        An item that is in ``rows_by_item`` has that many rows.
        """
        if item in self.rows_by_item:
            return ["x" * self.row_bytes] * self.rows_by_item[item]
        found = [data for _, name, data in database.log if name == item]
        return found[-1:]

    def commit(self, database: Database, writes: list[tuple[str, str]]) -> None:
        """Commit one transaction at the primary; the replicas receive it later."""
        data = writes if len(writes) > 1 else writes[:1]
        for item, value in data[-1:]:
            database.log.append((database.term, item, value))
        number = len(database.log)
        threading.Timer(self.lag_s, self._ship, (database, number)).start()
        while database.is_running and self._receivers(database, number) < (
            self.sync_replicas
        ):
            self.received.wait(0.1)
        if not database.is_running:
            raise OSError("the process has ended")

    def _receivers(self, source: Database, number: int) -> int:
        return sum(
            other is not source and other.is_running and len(other.log) >= number
            for other in self.databases
        )

    def _ship(self, source: Database, number: int) -> None:
        with self.lock:
            if not source.is_running or source.role != "primary":
                return
            for other in self.databases:
                behind = len(other.log) < number
                if (
                    other is not source
                    and other.is_running
                    and not other.is_deaf
                    and not other.is_copying
                    and other.role == "replica"
                    and behind
                    and other.term <= source.term
                ):
                    other.term = source.term
                    other.log = list(source.log[:number])
            self.received.notify_all()

    def promote(self, service: str, name: str) -> bool:
        """Have a database lead the next term some hundred ms later."""
        chosen = next((d for d in self.databases if d.name == name), None)
        is_known = service == self.name and chosen is not None
        self.record.add("promote", service, name, "known" if is_known else "unknown")
        if not is_known or not chosen.is_running:
            return False
        if chosen.role == "primary" and chosen is self.primary:
            return True
        threading.Timer(self.promote_s, self._lead, (chosen,)).start()
        return True

    def _lead(self, chosen: Database) -> None:
        with self.lock:
            if not chosen.is_running or chosen.role == "primary":
                return
            chosen.term = max(d.term for d in self.databases) + 1
            chosen.role = "primary"
            chosen.is_copying = False
            self.promoted.append(chosen)
            self.record.add("leads", chosen.name, "term", chosen.term, chosen.position)
            for other in self.databases:
                if other is not chosen and other.is_running:
                    if other.role == "primary":
                        threading.Timer(1.0, self._follow, (other,)).start()
                    else:
                        other.term, other.log = chosen.term, list(chosen.log)
        chosen.register()

    def _follow(self, former: Database) -> None:
        with self.lock:
            leader = self.primary
            if former is leader:
                return
            former.role, former.term = "replica", leader.term
            former.log = list(leader.log)
        former.register()

    def close(self) -> None:
        """End all databases."""
        for database in self.databases:
            if database.is_running:
                database.stop()


class Consumer:
    """A consumer's session."""

    def __init__(
        self, record: Record, name: str, address: str, database: str, key: str
    ) -> None:
        self._record, self.name = record, name
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=15)
        self._file = self._socket.makefile("rb")
        self._number = 0
        self.send(f"STARTUP {database} {key}")
        self.greeting = self.line()

    def send(self, line: str) -> None:
        """Send a line."""
        self._record.add("sent", self.name, repr(line))
        self._socket.sendall(f"{line}\r\n".encode())

    def line(self) -> str:
        """Return the next line, empty at the end."""
        try:
            line = self._file.readline().decode().rstrip("\r\n")
        except OSError:
            line = ""
        if not line.startswith("DATAROW x"):
            self._record.add("answered", self.name, repr(line))
        return line

    def query(self, text: str) -> tuple[list[str], str]:
        """Run a statement; return its rows and its outcome."""
        self._number += 1
        self.last_id = f"{self.name}.{self._number}.{os.urandom(3).hex()}"
        self.send(f"QUERY {self.last_id} {text}")
        rows = []
        while True:
            line = self.line()
            if line.startswith("DATAROW "):
                rows.append(line.removeprefix("DATAROW "))
                continue
            if line.startswith(("COMPLETE", "ERROR")):
                self.ready = self.line()
            return rows, line

    def close(self) -> None:
        """Leave."""
        self._file.close()
        self._socket.close()


class Vm:
    """The process of one entry VM."""

    def __init__(self, deployment: Deployment, name: str, zone: str) -> None:
        self.name, self.zone, self._deployment = name, zone, deployment
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        control = f"127.0.0.1:{free_port()}"
        settings = {
            "NodeName": name,
            "Role": "entry",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": "127.0.0.1",
            "Zone": zone,
            "Region": "north",
            "Zones": {known: "north" for known in deployment.zones},
            "Listen": {"Front": self.front, "Ready": self.ready, "Control": control},
            "InternalPorts": [free_port(), free_port()],
            "SeedNodes": [],
            "Bootstrap": True,
            "Limits": {
                "CpuShare": 0.537,
                "CpuCores": 2,
                "MemoryMb": 300,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": {
                "ContactMs": 4000,
                "DrainMs": 7000,
                "GraceS": 6,
                "LostMs": 200,
                "ConfigApplyMs": 3000,
                "QuotaWindowS": 5,
                "QuotaOver": 0.1,
                "QuotaSlack": 20,
                "EvacMs": 5000,
                "RequireFence": False,
                "ThawMs": 300,
            },
            "platform": {"Address": deployment.store_address(name), "form": "table"},
            "CloudApi": {
                "Address": deployment.store.address,
                "RatePerS": 50.0,
                "Duties": ["failover"],
                "DutyPerS": 50.0,
            },
        }
        self._path = deployment.folder / f"{name}.yaml"
        self._path.write_text(json.dumps(settings))
        self.log = deployment.folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["GUAVABARROW_SETTINGS"] = str(self._path)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "guavabarrow_platform"],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._deployment.record.add("process", self.name, "started")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._deployment.record.add("process", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self._deployment.record.add("process", self.name, "killed")

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it doesn't run."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def is_ready(self) -> bool:
        """Return whether the ready probe is answered with 200."""
        host, _, port = self.ready.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 1) as probe:
                probe.sendall(
                    b"GET /guavabarrow/ready HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                probe.settimeout(1)
                return b" 200 " in probe.recv(200)
        except OSError:
            return False

    def events(self, name: str) -> list[dict]:
        """Return the logged records of an event, to wait for a state."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if entry.get("event") == name:
                    found.append(entry)
        return found


class Deployment:
    """Store, one service and entry VMs."""

    KEY = "k-9b1f"

    def __init__(
        self,
        folder: Path,
        record: Record,
        zones: list[str],
        vms: int = 3,
        *,
        service: str = "huvo11a",
        max_connections: int = 21,
        sync_replicas: int = 0,
        rate: float = 400.0,
        timeout_ms: int = 1000,
        **group: float,
    ) -> None:
        self.folder, self.record, self.zones = folder, record, zones
        self.store = Store()
        self.service, self.max_connections = service, max_connections
        self.sync_replicas, self.rate = sync_replicas, rate
        self.timeout_ms = timeout_ms
        self.version = 0
        self.configure()
        self.group = Group(
            self.store, record, service, zones, sync_replicas=sync_replicas, **group
        )
        self.vms = [
            Vm(
                self,
                f"front-{zones[number % len(zones)]}-{number}",
                zones[number % len(zones)],
            )
            for number in range(vms)
        ]

    def store_address(self, vm: str) -> str:
        """Return the address of the store for a VM."""
        return self.store.address

    def configure(self, **changes: object) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        kinds = ("primary", "bounded_staleness", "read_your_writes")
        routes = [
            {
                "Name": f"r-{kind}",
                "Host": f"db-{kind.partition('_')[0]}",
                "Service": self.service,
                "Kind": kind,
                "TimeoutMs": self.timeout_ms,
                "TargetLatencyMs": 400,
                "MaxStalenessMs": 1500,
                "Priority": 1,
                "NoAuth": False,
            }
            for kind in kinds
        ]
        configuration = {
            "Version": self.version,
            "Routes": routes,
            "Services": [
                {
                    "Name": self.service,
                    "MaxConns": self.max_connections,
                    "SyncReplicas": self.sync_replicas,
                }
            ],
            "Limits": {"MaxBodyBytes": 262144, "IdleTxMs": 3000},
            "Tenants": [
                {
                    "Name": "tenant-a",
                    "ApiKeys": [self.KEY],
                    "RatePerS": self.rate,
                    "Burst": self.rate,
                }
            ],
            **changes,
        }
        self.store.put("op", "config", configuration)

    def start(self) -> None:
        """Start the VMs, and wait until each is ready and one serves a write."""
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            wait_for(vm.is_ready, f"{vm.name} ready")
        wait_for(lambda: self._can_write(self.vms[0]), "a write is served")

    def _can_write(self, vm: Vm) -> bool:
        probe = self.consumer(vm, "probe")
        try:
            return probe.query("WRITE probe x")[1].startswith("COMPLETE")
        finally:
            probe.close()
            time.sleep(0.1)

    def consumer(self, vm: Vm, name: str, kind: str = "primary") -> Consumer:
        """Open a session at a VM."""
        return Consumer(self.record, name, vm.front, f"db-{kind}", self.KEY)

    def close(self) -> None:
        """End all processes and stand-ins."""
        for vm in self.vms:
            vm.kill()
        self.group.close()
        self.store.close()


def run_case(folder: Path, play) -> int:
    """Run a case and return its exit status.

    ``play`` gets a folder and a record, and returns whether the rule held.
    """
    # A time-out of the caller must end the processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder / "record.txt")
    record.add("case", folder.name, "trouble", int(TROUBLE))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = play(Path(temporary), record)
        except Exception as error:
            record.add("not run:", repr(error))
            print(f"not run: {error!r}")
            return NOT_RUN
    record.add("held" if held else "BROKEN")
    print("held" if held else "broken")
    return HELD if held else BROKEN
