"""Stand-ins of the platform's store, the databases and the clients for the cases.

They run in threads of the case's process and speak what the users' pages publish. The
entry VMs are separate processes, started with the command of the deploy file.
"""

from __future__ import annotations

import base64
import json
import os
import random
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
"""Interval of the databases' check-ins; an entry ends after three of silence."""

PROMOTE_S = 0.3
"""Time from the call to the moment at which the named database leads."""

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2
"""``run.sh`` exits with 1 for the second, so that no other failure is taken for it."""

LIMIT_S = 115.0
"""Time after which a case is ended as one that couldn't run."""


given_ports: set[int] = set()


def free_port() -> int:
    """Return an unused port of the loopback address.

    It is below the range from which the kernel takes ports for connections, so that
    none of these takes it before the process that it is meant for listens.
    """
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in given_ports:
            given_ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began_at:9.4f} {text}\n")
            self._file.flush()


class Store:
    """The platform's store and its call that promotes a database."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.version = 0
        self.changed = threading.Condition()
        self.groups: dict[str, Group] = {}
        self.expires_at: dict[str, float] = {}
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _respond(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                status, value = store.answer(self.path, self.headers, body)
                data = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = _respond

            def handle(self) -> None:
                try:
                    super().handle()
                except OSError:
                    self.close_connection = True

            def log_message(self, *_: object) -> None:
                pass

        class Server(ThreadingHTTPServer):
            request_queue_size = 128
            daemon_threads = True

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, as the operator or a database does."""
        self._store(table, key, json.dumps(value).encode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._store(table, key, None)

    def check_in(self, key: str, entry: dict) -> None:
        """Write a database's entry, which ends after three intervals of silence."""
        with self.changed:
            self.expires_at[key] = time.monotonic() + 3 * HEARTBEAT_S
            self.put("servers", key, entry)

    def leave(self, key: str) -> None:
        """Remove the entry of a database that has left."""
        with self.changed:
            if self.expires_at.pop(key, None) is not None:
                self.remove("servers", key)

    def _expire(self) -> None:
        while True:
            time.sleep(0.05)
            with self.changed:
                for key, at in list(self.expires_at.items()):
                    if time.monotonic() > at:
                        self.record.write(f"store: entry of {key} has expired")
                        self.leave(key)

    def _store(self, table: str, key: str, data: bytes | None) -> None:
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = (data, self.version)
            self.changed.notify_all()

    def answer(self, target: str, headers: object, body: bytes) -> tuple[int, dict]:
        """Answer one call."""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match url.path:
            case "/promote":
                return self._promote(headers, json.loads(body))
            case "/guavabarrow/rows-tx":
                return self._transact(json.loads(body))
            case "/guavabarrow/rows-get":
                with self.changed:
                    rows = self._select(query["Table"], 0, with_dropped=False)
                    start = query.get("From", "")
                    rows = [row for row in rows if row["Key"] >= start]
                    return 200, {"rows": rows, "HasMore": False, **self._clock()}
            case "/guavabarrow/rows-feed":
                return self._feed(query)
        return 404, {}

    def _promote(self, headers: object, body: dict) -> tuple[int, dict]:
        holder = headers["Guavabarrow-Lease-Holder"]
        token = headers["Guavabarrow-Fencing-Token"]
        status = self.groups[body["Service"]].promote(body["Id"])
        self.record.write(
            f"platform: promote {body['Id']} of {body['Service']} by {holder} "
            f"with token {token} -> {status}"
        )
        return status, {}

    def _transact(self, body: dict) -> tuple[int, dict]:
        with self.changed:
            for condition in body["ExpectRev"]:
                key = (condition["Table"], condition["Key"])
                value, version = self.rows.get(key, (None, 0))
                if (0 if value is None else version) != condition["Ver"]:
                    return 412, {"rows": [], **self._clock()}
            self.version += 1
            for put in body["Puts"]:
                data = base64.b64decode(put["Value"])
                self.rows[(put["Table"], put["Key"])] = (data, self.version)
            for removal in body["Remove"]:
                self.rows[(removal["Table"], removal["Key"])] = (None, self.version)
            self.changed.notify_all()
            return 200, self._clock()

    def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query["after"])
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        with self.changed:
            while True:
                rows = self._select(query["Table"], after, with_dropped=True)
                remaining_s = until - time.monotonic()
                if rows or remaining_s <= 0:
                    return 200, {"rows": rows, **self._clock()}
                self.changed.wait(remaining_s)

    def _select(self, table: str, after: int, *, with_dropped: bool) -> list[dict]:
        rows = []
        for (name, key), (data, version) in sorted(self.rows.items()):
            if name != table or version <= after:
                continue
            row = {"Table": table, "part": "", "Key": key, "Ver": version}
            if data is not None:
                rows.append({**row, "Value": base64.b64encode(data).decode()})
            elif with_dropped:
                rows.append({**row, "Tombstone": True})
        if with_dropped:
            rows.sort(key=lambda row: row["Ver"])
        return rows

    def _clock(self) -> dict:
        return {"Ver": self.version, "NowMs": time.monotonic() * 1000}


class Database:
    """One database of a group; its log holds (term, item, data, request id)."""

    def __init__(self, group: Group, name: str, zone: str, port: int = 0) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.log: list[tuple[int, str, str, str]] = []
        self.term = 0
        self.is_primary = False
        self.is_deaf = False
        self.is_draining = False
        self.is_cut_from_store = False
        self.is_transferring = False
        self.is_running = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.connections: set[socket.socket] = set()
        database = self

        class Handler(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def handle(self) -> None:
                database.connections.add(self.connection)
                try:
                    Session(database, self).run()
                except OSError:
                    pass
                finally:
                    database.connections.discard(self.connection)

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 128

        self._server = Server(("127.0.0.1", port), Handler)
        self.port = self._server.server_address[1]
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()
        threading.Thread(target=self._keep_listed, daemon=True).start()

    @property
    def position(self) -> str:
        """End of the log as TERM.NUMBER, a dash if it holds nothing."""
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "-"

    @property
    def received(self) -> tuple[int, int]:
        """End of the log for comparisons."""
        return (self.log[-1][0], len(self.log)) if self.log else (0, 0)

    def _keep_listed(self) -> None:
        while self.is_running:
            self.check_in()
            time.sleep(HEARTBEAT_S)

    def check_in(self) -> None:
        """Write this database's entry unless it is cut off from the store."""
        if self.is_cut_from_store or not self.is_running:
            return
        self.sequence += 1
        self.group.store.check_in(
            self.name,
            {
                "Service": self.group.name,
                "Address": f"127.0.0.1:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Capacity": 3,
                "State": "draining" if self.is_draining else "ready",
                "WarmupLeftMs": 0,
                "DbRole": "primary" if self.is_primary else "replica",
                "Sequence": self.sequence,
                "born": self.born,
            },
        )

    def stop(self) -> None:
        """End the process: no listener any more, and all connections closed."""
        with self.group.lock:
            self.is_running = False
        self._server.shutdown()
        self._server.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def read(self, item: str) -> str:
        """Return the latest data of an item."""
        for _, name, data, _ in reversed(self.log):
            if name == item:
                return data
        return "none"


class Group:
    """A service: a primary and its replicas."""

    def __init__(self, store: Store, name: str, *, sync_replicas: int) -> None:
        self.store = store
        self.record = store.record
        self.name = name
        self.sync_replicas = sync_replicas
        self.lock = threading.Condition(threading.RLock())
        self.databases: list[Database] = []
        self.promoted: list[tuple[str, list[str]]] = []
        self.ran: list[tuple[str, str, str]] = []
        store.groups[name] = self

    def add(
        self, name: str, zone: str, port: int = 0, *, is_transferring: bool = False
    ) -> Database:
        """Start a database; a log may still be on its way to it."""
        with self.lock:
            database = Database(self, name, zone, port)
            database.is_transferring = is_transferring
            self.databases.append(database)
            if len(self.databases) == 1:
                database.is_primary, database.term = True, 1
            else:
                leader = self.leader()
                database.term = leader.term if leader else 0
        database.check_in()
        return database

    def leader(self) -> Database | None:
        """Return the running primary of the newest term."""
        leaders = [d for d in self.databases if d.is_primary and d.is_running]
        return max(leaders, key=lambda d: d.term, default=None)

    def commit(
        self, primary: Database, writes: list[tuple[str, str]], request_id: str
    ) -> bool:
        """Commit writes; return whether the commit may be acknowledged."""
        with self.lock:
            for item, data in writes:
                primary.log.append((primary.term, item, data, request_id))
            number = len(primary.log)
            self._replicate()
            until = time.monotonic() + 5.0
            while self.sync_replicas and not any(
                d.is_running and d is not primary and d.log[:number] == primary.log
                for d in self.databases
            ):
                if not primary.is_running or time.monotonic() > until:
                    return False
                self.lock.wait(0.02)
                self._replicate()
            return primary.is_running

    def _replicate(self) -> None:
        leader = self.leader()
        if leader is None:
            return
        for database in self.databases:
            if (
                database is not leader
                and database.is_running
                and not database.is_deaf
                and not database.is_transferring
            ):
                database.term = leader.term
                database.is_primary = False
                database.log = list(leader.log)

    def end_transfer(self, database: Database) -> None:
        """Let a new database have the log that was transferred to it."""
        with self.lock:
            database.is_transferring = False
            self._replicate()

    def hear_again(self, database: Database) -> None:
        """Let a replica receive again."""
        with self.lock:
            database.is_deaf = False
            self._replicate()

    def promote(self, name: str) -> int:
        """Have a database lead the next term shortly after; return the status."""
        with self.lock:
            chosen = next((d for d in self.databases if d.name == name), None)
            if chosen is None or not chosen.is_running:
                return 409
            if not chosen.is_primary:
                threading.Timer(PROMOTE_S, self._lead, (chosen,)).start()
            return 200

    def _lead(self, chosen: Database) -> None:
        with self.lock:
            if chosen.is_primary or not chosen.is_running:
                return
            chosen.term = max(d.term for d in self.databases) + 1
            chosen.is_primary = True
            self.promoted.append((chosen.name, [entry[3] for entry in chosen.log]))
            self.record.write(
                f"platform: {chosen.name} leads term {chosen.term} of {self.name} "
                f"with {len(chosen.log)} commits"
            )
            self._replicate()
        for database in list(self.databases):
            database.check_in()


class Session:
    """One connection to a database."""

    def __init__(self, database: Database, handler: object) -> None:
        self._database = database
        self._group = database.group
        self._handler = handler
        self._team = ""
        self._values: dict[str, str] = {}
        self._shapes: dict[str, tuple[str, str]] = {}
        self._state = "I"
        self._is_plain = False
        self._writes: list[tuple[str, str]] = []

    def run(self) -> None:
        """Answer messages until the peer leaves."""
        for raw in self._handler.rfile:
            if not self._database.is_running:
                return
            word, _, rest = raw.decode().rstrip("\r\n").partition(" ")
            if word == "STARTUP":
                if not self._open(rest.split(" ")):
                    return
                continue
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            rows, outcome = self._query(request_id, text)
            if not outcome or not self._database.is_running:
                return
            if outcome.startswith("ERROR") and self._state == "T":
                self._state = "E"
            if request_id != "-":
                self._group.ran.append((request_id, self._team, text[:80]))
                self._group.record.write(
                    f"{self._database.name}: {request_id} {self._team} {text[:80]} -> "
                    f"{' '.join(rows)[:60]} {outcome}"
                )
            lines = [*(f"DATAROW {row}" for row in rows), outcome]
            self._send([*lines, f"READY {self._state} {self._database.position}"])

    def _open(self, fields: list[str]) -> bool:
        name = self._database.name
        self._team = fields[1] if len(fields) > 1 else ""
        expected = fields[2] if len(fields) > 2 else name
        if fields[0] != self._group.name or expected != name:
            self._send([f"ERROR MISROUTED {name}"])
            return False
        self._send([f"READY I {self._database.position}"])
        return True

    def _query(self, request_id: str, text: str) -> tuple[list[str], str]:
        database = self._database
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            term, _, number = position.partition(".")
            if (int(term), int(number)) > database.received:
                return [], "ERROR LAGGING behind"
            word, _, rest = text.partition(" ")
        name, _, argument = rest.partition(" ")
        if self._state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return [], "ERROR MALFORMED the transaction failed"
        match word:
            case "STATUS":
                return [self._status()], "COMPLETE -"
            case "DEMOTE":
                with self._group.lock:
                    if database.is_primary and int(name) > database.term:
                        database.is_primary = False
                        database.term = int(name)
                return [self._status()], "COMPLETE -"
            case "RESET":
                self._values.clear()
                self._shapes.clear()
            case "SET":
                self._values[name] = argument
            case "PREPARE":
                mode, _, shape = argument.partition(" ")
                self._shapes[name] = (mode, shape)
            case "DEALLOC":
                self._shapes.pop(name, None)
            case "BEGIN":
                if rest != "READ" and not database.is_primary:
                    return [], f"ERROR READONLY {database.name}"
                self._state, self._is_plain = "T", rest != "READ"
            case "ROLLBACK":
                self._end()
            case _:
                return self._run(request_id, word, name, argument)
        return [], "COMPLETE -"

    def _run(
        self, request_id: str, word: str, name: str, argument: str
    ) -> tuple[list[str], str]:
        database = self._database
        mac = f"COMPLETE mac.{database.name}.{request_id}"
        if word == "COMMIT":
            writes, is_failed = self._writes, self._state == "E"
            self._end()
            if is_failed:
                return [], "ERROR ABORTED the transaction failed"
            if not writes:
                return [], mac
            return [], self._commit(writes, request_id, mac)
        if word == "EXECUTE":
            if name not in self._shapes:
                return [], f"ERROR NOSTMT {name}"
            name, _, argument = argument.partition(" ")
            word = "WRITE" if argument else "READ"
        if self._state == "T" and self._is_plain and not database.is_primary:
            return [], f"ERROR READONLY {database.name}"
        if word == "READ":
            return [database.read(name)], mac
        if not database.is_primary:
            return [], f"ERROR READONLY {database.name}"
        if self._state == "T":
            self._writes.append((name, argument))
            return [], mac
        return [], self._commit([(name, argument)], request_id, mac)

    def _commit(self, writes: list[tuple[str, str]], request_id: str, mac: str) -> str:
        with self._group.lock:
            if not self._database.is_primary:
                return f"ERROR READONLY {self._database.name}"
            is_kept = self._group.commit(self._database, writes, request_id)
        return mac if is_kept else ""

    def _end(self) -> None:
        self._state, self._writes = "I", []

    def _status(self) -> str:
        database = self._database
        role = "primary" if database.is_primary else "replica"
        count = len(database.connections)
        return f"{role} {database.term} {database.position} 0 0 0 {count}"

    def _send(self, lines: list[str]) -> None:
        self._handler.wfile.write("".join(f"{line}\r\n" for line in lines).encode())


class Client:
    """A consumer's session."""

    def __init__(self, address: str, database: str, key: str, record: Record) -> None:
        host, _, port = address.rpartition(":")
        self._record = record
        self._socket = socket.create_connection((host, int(port)), timeout=5.0)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self._socket.makefile("rb")
        self._socket.sendall(f"STARTUP {database} {key}\r\n".encode())
        self.greeting = self._line()
        if not self.greeting.startswith("READY"):
            raise ConnectionError(f"session refused: {self.greeting}")

    def _line(self) -> str:
        line = self._file.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionError("the connection ended")
        return line.decode().rstrip("\r\n")

    def execute(self, text: str) -> tuple[str, list[str], str]:
        """Execute a statement; return its id, its rows and its outcome."""
        request_id = os.urandom(8).hex()
        self._record.write(f"client: sends {request_id} {text[:80]}")
        self._socket.sendall(f"QUERY {request_id} {text}\r\n".encode())
        rows = []
        while True:
            line = self._line()
            if line.startswith("DATAROW "):
                rows.append(line.removeprefix("DATAROW "))
                continue
            if not line.startswith(("ERROR NOAUTH", "ERROR NODB")):
                self._line()
            self._record.write(f"client: {request_id} is answered {rows} {line}"[:200])
            return request_id, rows, line

    def close(self) -> None:
        """Close the session."""
        self._file.close()
        self._socket.close()


class Vm:
    """An entry VM: one process, started as the deploy file says."""

    def __init__(self, deployment: Deployment, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self._deployment = deployment
        bounds = {
            "SeedLagS": 3,
            "AddrReuseS": 2,
            "ContactMs": 4000,
            "AckMs": 5000,
            "CatchUpS": 4,
            "DrainMs": 7000,
            "GraceS": 6,
            "LostMs": 200,
            "ConfigApplyMs": 3000,
            "RollbackSlackMs": 250,
            "MaxSkewMs": 12000,
            "StrictRevoke": False,
            "RevokeMs": 5000,
            "QuotaWindowS": 5,
            "QuotaOver": 0.1,
            "QuotaSlack": 20,
            "EvacMs": 5000,
            "RecoverS": 12,
            "RequireFence": False,
            "ThawMs": 300,
        }
        settings = {
            "NodeName": name,
            "Role": "entry",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": "127.0.0.1",
            "Zone": zone,
            "Region": "r",
            "Zones": {z: "r" for z in deployment.zones},
            "Listen": {"Front": self.front, "Ready": self.ready},
            "InternalPorts": [free_port(), free_port()],
            "Bootstrap": True,
            "Limits": {
                "CpuShare": 0.537,
                "CpuCores": 2,
                "MemoryMb": 300,
                "MaxFds": 4200,
                "LinkMbps": 1000.0,
            },
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Bounds": bounds,
            "platform": {"Address": deployment.store.address, "form": "table"},
            "CloudApi": {
                "Address": deployment.store.address,
                "RatePerS": 50.0,
                "Duties": ["failover"],
                "DutyPerS": 50.0,
            },
        }
        self._settings = deployment.folder / f"{name}.yaml"
        self._settings.write_text(json.dumps(settings), encoding="utf-8")
        self.log = deployment.folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["GUAVABARROW_SETTINGS"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "guavabarrow_platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._deployment.record.write(f"platform: {self.name} starts")

    def is_ready(self) -> bool:
        """Return whether the VM answers the readiness check with 200."""
        url = f"http://{self.ready}/guavabarrow/ready"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class CannotRun(Exception):
    """The case couldn't run as it is meant."""


class Deployment:
    """The stand-ins and the VMs of one case."""

    def __init__(self, folder: Path, zones: tuple[str, ...] = ("z1", "z2", "z3")):
        self.record = Record(folder)
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="guavabarrow-review-"))
        self.store = Store(self.record)
        self.vms: list[Vm] = []
        self.key = "u6wsjnbanfqasnmgkcuy"

    def configure(
        self,
        groups: list[Group],
        *,
        version: int = 7,
        keys_by_tenant: dict[str, list[str]] | None = None,
    ) -> None:
        """Write a configuration: three routes to each service."""
        routes = []
        kinds = ("primary", "bounded_staleness", "read_your_writes")
        for group in groups:
            for kind in kinds:
                routes.append(
                    {
                        "Name": f"r-{group.name}-{kind}",
                        "Host": f"{group.name}-{kind}",
                        "PathPrefix": "/",
                        "Kind": kind,
                        "TimeoutMs": 1000,
                        "TargetLatencyMs": 400,
                        "Priority": 1,
                        "Service": group.name,
                        "Attempts": 2,
                        "MaxStalenessMs": 1500,
                        "NoAuth": False,
                    }
                )
        services = [
            {
                "Name": group.name,
                "HealthPath": "/health",
                "MaxConns": 21,
                "SyncReplicas": group.sync_replicas,
            }
            for group in groups
        ]
        tenants = [
            {
                "Name": name,
                "ApiKeys": keys,
                "Priority": 1,
                "RatePerS": 200,
                "Burst": 200,
            }
            for name, keys in (keys_by_tenant or {"nypu920": [self.key]}).items()
        ]
        self.store.put(
            "op",
            "config",
            {
                "Version": version,
                "Routes": routes,
                "Services": services,
                "Limits": {"MaxBodyBytes": 262144, "IdleTxMs": 3000},
                "Tenants": tenants,
            },
        )

    def start_vms(self, *, per_zone: int = 1) -> None:
        """Start the VMs and wait until all are ready and serve writes."""
        for zone in self.zones:
            for number in range(per_zone):
                vm = Vm(self, f"front-{zone}-{number + 1}", zone)
                self.vms.append(vm)
                vm.start()
        for vm in self.vms:
            self.wait_for(vm.is_ready, f"{vm.name} is ready")

    def wait_for(self, condition, description: str, timeout_s: float = 30.0) -> None:
        """Wait until a condition holds.

        Raises
        ------
        CannotRun
            If it does not within the time.
        """
        until = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"{description}: not within {timeout_s} s")
            time.sleep(0.02)

    def open(self, vm: Vm, database: str) -> Client:
        """Open a session at a VM."""
        return Client(vm.front, database, self.key, self.record)

    def write(self, vm: Vm, database: str, text: str) -> tuple[str, str]:
        """Run one statement in a session of its own; return its id and outcome."""
        try:
            client = self.open(vm, database)
        except OSError as error:
            return "", f"no session: {error}"
        try:
            request_id, _, outcome = client.execute(text)
            return request_id, outcome
        except OSError as error:
            return "", f"no answer: {error}"
        finally:
            client.close()

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for vm in self.vms:
            vm.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, case) -> None:
    """Run a case, which returns the breaches that it saw, and exit by its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(folder)
    record = deployment.record

    def give_up(*_: object) -> None:
        record.write("could not run: ended before its time, or took too long")
        deployment.stop()
        os._exit(EXIT_NOT_RUN)

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    limit = threading.Timer(LIMIT_S, give_up)
    limit.daemon = True
    limit.start()
    code = EXIT_NOT_RUN
    try:
        breaches = case(deployment, trouble)
        code = EXIT_BROKEN if breaches else EXIT_HELD
        for text in [f"broken: {breach}" for breach in breaches] or ["held"]:
            record.write(text)
            print(text)
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        deployment.stop()
    sys.stdout.flush()
    os._exit(code)
