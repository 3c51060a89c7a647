"""Stand-ins for the platform: its store, its promotion call and its databases.

They run in threads of the test process and implement the part of the published protocol
that the tests need. Databases record the statements they ran for the tests to check.
"""

from __future__ import annotations

import base64
import json
import socket
import socketserver
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

BACKLOG = 128
"""Connections that wait to be accepted; more of them take a second or longer."""


OUTSIDE = ("op", "servers")
"""Tables that operators and databases write."""


class _TcpServer(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = BACKLOG


class _ThreadingHttpServer(ThreadingHTTPServer):
    request_queue_size = BACKLOG


def free_port() -> int:
    """Return an unused TCP port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@dataclass(frozen=True)
class UsageReport:
    """A report of the operations of each team in a window."""

    holder: str
    token: int
    window: int
    counts: dict[str, int]


class StandInStore:
    """Store of versioned rows with conditional writes and a feed of changes.

    Attributes
    ----------
    era : int
        Rises each time that the store returns from an older copy.
    """

    def __init__(self) -> None:
        self.era = 1
        self._history: list[tuple[float, tuple[str, str], bytes | None, int]] = []
        self.is_down = False
        self.is_silent = False
        self.write_responses_to_drop = 0
        self.calls: list[str] = []
        self.undecodable_keys: set[str] = set()
        self._rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._version = 0
        self._changed = threading.Condition()
        self._server = HttpServer(self._handle)
        self.address = self._server.address
        self.promote = lambda service, target_id: False
        self.promotions: list[tuple[str, str, str, int]] = []
        self.usage_reports: list[UsageReport] = []
        self.usage_status = 200
        self.usage_delay_s = 0.0

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, as an operator or a database would."""
        self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table: str, key: str, data: bytes) -> None:
        """Write a row of any bytes, as another writer would.

        The value of a key in ``undecodable_keys`` is returned in another encoding.
        """
        with self._changed:
            self._version += 1
            self._store_row((table, key), data)
            self._changed.notify_all()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        with self._changed:
            self._version += 1
            self._store_row((table, key), None)
            self._changed.notify_all()

    def return_older(self, age_s: float) -> None:
        """Return from a copy of some time ago, and give out versions again.

        What operators and databases wrote is written again at once, what VMs wrote is
        lost. Watches are cut.
        """
        with self._changed:
            lost = {k: data for k, (data, _) in self._rows.items() if k[0] in OUTSIDE}
            until = time.monotonic() - age_s
            self._history = [entry for entry in self._history if entry[0] <= until]
            self._rows = {key: (data, ver) for _, key, data, ver in self._history}
            self._version = max((entry[3] for entry in self._history), default=0)
            self.era += 1
            for key, data in lost.items():
                if self._rows.get(key, (None, 0))[0] != data:
                    self._version += 1
                    self._store_row(key, data)
            self._changed.notify_all()

    def _store_row(self, key: tuple[str, str], data: bytes | None) -> None:
        self._rows[key] = (data, self._version)
        self._history.append((time.monotonic(), key, data, self._version))

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _handle(self, request: HttpRequest) -> tuple[int, dict]:
        status, value = self._answer(request)
        return status, {"headers": self._headers(), **value}

    def _answer(self, request: HttpRequest) -> tuple[int, dict]:
        path = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(path.query).items()}
        self.calls.append(path.path)
        if path.path == "/promote":
            return self._promote(request)
        if path.path == "/usage":
            return self._report_usage(request)
        while self.is_silent:
            time.sleep(0.05)
        if self.is_down:
            return 503, {}
        match path.path:
            case "/guavabarrow/rows-tx":
                return self._transact(json.loads(request.body))
            case "/guavabarrow/rows-get":
                with self._changed:
                    rows = self._select(query["Table"], 0, with_tombstones=False)
                    return 200, {"rows": rows, "HasMore": False, **self._clock()}
            case "/guavabarrow/rows-feed":
                return self._feed(query)
        return 404, {}

    def _promote(self, request: HttpRequest) -> tuple[int, dict]:
        body = json.loads(request.body)
        holder = request.headers["Guavabarrow-Lease-Holder"]
        token = int(request.headers["Guavabarrow-Fencing-Token"])
        self.promotions.append((body["Service"], body["Id"], holder, token))
        accepted = self.promote(body["Service"], body["Id"])
        return (200 if accepted else 409), {}

    def _report_usage(self, request: HttpRequest) -> tuple[int, dict]:
        body = json.loads(request.body)
        if set(body) != {"WindowId", "Counts"}:
            return 400, {}
        self.usage_reports.append(
            UsageReport(
                request.headers["Guavabarrow-Lease-Holder"],
                int(request.headers["Guavabarrow-Fencing-Token"]),
                body["WindowId"],
                body["Counts"],
            )
        )
        time.sleep(self.usage_delay_s)
        return self.usage_status, {}

    def _transact(self, body: dict) -> tuple[int, dict]:
        with self._changed:
            for condition in body["ExpectRev"]:
                key = (condition["Table"], condition["Key"])
                value, version = self._rows.get(key, (None, 0))
                if (0 if value is None else version) != condition["Ver"]:
                    return 412, {"rows": [], **self._clock()}
            self._version += 1
            for put in body["Puts"]:
                data = base64.b64decode(put["Value"])
                self._store_row((put["Table"], put["Key"]), data)
            for removal in body["Remove"]:
                self._store_row((removal["Table"], removal["Key"]), None)
            self._changed.notify_all()
            clock = self._clock()
        if self.write_responses_to_drop > 0:
            self.write_responses_to_drop -= 1
            raise ConnectionAbortedError("the response is dropped")
        return 200, clock

    def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query["after"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        with self._changed:
            era = self.era
            if after > self._version:
                return 410, {}
            while True:
                if self.era != era:
                    raise ConnectionAbortedError("the store was away")
                rows = self._select(query["Table"], after, with_tombstones=True)
                remaining = deadline - time.monotonic()
                if rows or remaining <= 0:
                    return 200, {"rows": rows, **self._clock()}
                self._changed.wait(remaining)

    def _select(self, table: str, after: int, *, with_tombstones: bool) -> list[dict]:
        rows = []
        for (name, key), (value, version) in sorted(self._rows.items()):
            if name != table or version <= after:
                continue
            row = {"Table": table, "part": "", "Key": key, "Ver": version}
            if value is not None and key in self.undecodable_keys:
                rows.append({**row, "Value": "%not base64%"})
            elif value is not None:
                rows.append({**row, "Value": base64.b64encode(value).decode()})
            elif with_tombstones:
                rows.append({**row, "Tombstone": True})
        return rows

    def _clock(self) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {"Ver": self._version, "NowMs": now_ms, "headers": self._headers()}

    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}


@dataclass(frozen=True)
class ExecutedStatement:
    """A statement that a database executed."""

    target_id: str
    connection: int
    request_id: str
    team: str
    text: str
    values: tuple[tuple[str, str], ...]
    in_transaction: bool
    at_primary: bool


@dataclass
class StandInDatabase:
    """A database of a group."""

    group: StandInGroup
    target_id: str
    is_primary: bool
    term: int = 1
    log: list[tuple[int, str, str]] = field(default_factory=list)
    is_running: bool = True
    drops_next_response: bool = False
    unresponsive_before: float = 0.0
    """Connections opened before this monotonic time in s receive no responses."""

    def __post_init__(self) -> None:
        self.connections: set[socket.socket] = set()
        database = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self) -> None:
                database.connections.add(self.connection)
                try:
                    _DatabaseSession(database, self).run()
                except OSError:
                    pass
                finally:
                    database.connections.discard(self.connection)

        self._server = _TcpServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    @property
    def position(self) -> str:
        """Position of the end of the log as ``TERM.INDEX``."""
        last_term = self.log[-1][0] if self.log else 1
        return f"{last_term}.{len(self.log)}"

    def crash(self) -> None:
        """Simulate a crash: stop listening and shut down all connections."""
        self.is_running = False
        self._server.shutdown()
        self._server.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def read(self, item: str) -> str:
        """Return the latest committed data of an item, ``none`` if there is none."""
        for _, name, data in reversed(self.log):
            if name == item:
                return data
        return "none"


class StandInGroup:
    """A service: databases that replicate one log synchronously.

    Parameters
    ----------
    store : StandInStore
        Store in which the databases register themselves.
    name : str
        Name of the service.
    size : int
        Number of databases; the first one starts as primary.
    """

    def __init__(self, store: StandInStore, name: str, size: int = 3) -> None:
        self.name = name
        self.lock = threading.RLock()
        self.ran: list[ExecutedStatement] = []
        self.promotion_delay_s = 0.0
        self.replicates = True
        self.work_s = 0.0
        self.databases = [
            StandInDatabase(self, f"i-{name}-{number}", number == 0)
            for number in range(size)
        ]
        self._store = store
        store.promote = self.promote
        for database in self.databases:
            self.register(database)

    @property
    def primary(self) -> StandInDatabase:
        """The running database that is primary."""
        return next(d for d in self.databases if d.is_primary and d.is_running)

    def has_replaced(self, old: StandInDatabase) -> bool:
        """Whether another running database is primary.

        None is for a moment: the old one is demoted before the new one is promoted.
        """
        return any(
            d.is_primary and d.is_running for d in self.databases if d is not old
        )

    def register(self, database: StandInDatabase, state: str = "ready") -> None:
        """Write the database's entry to the store."""
        role = "primary" if database.is_primary else "replica"
        entry = {
            "Service": self.name,
            "Address": database.address,
            "Zone": "north",
            "Version": "v1",
            "Capacity": 2,
            "State": state,
            "WarmupLeftMs": 0,
            "DbRole": role,
            "Sequence": 1,
            "born": 1,
        }
        self._store.put("servers", database.target_id, entry)

    def promote(self, service: str, target_id: str) -> bool:
        """Make a database primary of the next term after ``promotion_delay_s``.

        Returns False if it is not running or belongs to another service.
        """
        chosen = next(d for d in self.databases if d.target_id == target_id)
        if service != self.name or not chosen.is_running:
            return False
        # As on the platform, the response precedes the effect of the promotion.
        threading.Timer(self.promotion_delay_s, self._make_primary, (chosen,)).start()
        return True

    def _make_primary(self, chosen: StandInDatabase) -> None:
        with self.lock:
            if not chosen.is_primary:
                chosen.term = max(d.term for d in self.databases) + 1
                for database in self.databases:
                    database.is_primary = database is chosen
                    database.term = chosen.term
                    database.log = list(chosen.log)

    def append(self, database: StandInDatabase, writes: list[tuple[str, str]]) -> None:
        """Commit writes at the primary and replicate them, if ``replicates`` is set."""
        for item, data in writes:
            database.log.append((database.term, item, data))
        if not self.replicates:
            return
        for other in self.databases:
            if other.is_running and other is not database:
                other.log = list(database.log)

    def close(self) -> None:
        """Stop all databases."""
        for database in self.databases:
            if database.is_running:
                database.crash()


class _DatabaseSession:
    """One connection to a database."""

    def __init__(self, database: StandInDatabase, handler) -> None:
        self._database = database
        self._handler = handler
        self._team = ""
        self._values: dict[str, str] = {}
        self._shapes: dict[str, str] = {}
        self._state = "I"
        self._is_read_write = False
        self._writes: list[tuple[str, str]] = []
        self._opened_at = time.monotonic()

    def run(self) -> None:
        """Respond to messages until the peer disconnects."""
        for raw in self._handler.rfile:
            if self._opened_at < self._database.unresponsive_before:
                continue
            word, _, rest = raw.decode().rstrip("\r\n").partition(" ")
            if word == "TERMINATE" or not self._database.is_running:
                return
            if word == "STARTUP":
                if not self._open(rest.split(" ")):
                    return
                continue
            request_id, _, text = rest.partition(" ")
            if request_id != "-":
                time.sleep(self._database.group.work_s)
            with self._database.group.lock:
                rows, outcome = self._query(request_id, text)
                if outcome.startswith("ERROR") and self._state == "T":
                    self._state = "E"
            if self._database.drops_next_response and request_id != "-":
                self._database.drops_next_response = False
                return
            self._send([*(f"DATAROW {row}" for row in rows), outcome, self._ready()])

    def _open(self, fields: list[str]) -> bool:
        database = self._database
        self._team = fields[1] if len(fields) > 1 else ""
        expected = fields[2] if len(fields) > 2 else database.target_id
        if fields[0] != database.group.name or expected != database.target_id:
            self._send([f"ERROR MISROUTED {database.target_id}"])
            return False
        self._send([self._ready()])
        return True

    def _query(self, request_id: str, text: str) -> tuple[list[str], str]:
        database = self._database
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            required, _, text = rest.partition(" ")
            if _position_key(required) > _position_key(database.position):
                return [], "ERROR LAGGING behind"
            word, _, rest = text.partition(" ")
        name, _, argument = rest.partition(" ")
        match word:
            case "STATUS":
                return [self._status()], "COMPLETE -"
            case "DEMOTE":
                if int(name) > database.term:
                    database.is_primary, database.term = False, int(name)
                return [self._status()], "COMPLETE -"
            case "RESET":
                self._values.clear()
                self._shapes.clear()
            case "SET":
                self._values[name] = argument
            case "PREPARE":
                self._shapes[name] = argument
            case "BEGIN":
                return self._begin(is_read_write=rest != "READ")
            case "ROLLBACK":
                self._end()
            case _:
                return self._run(request_id, word, name, argument, text)
        return [], "COMPLETE -"

    def _begin(self, *, is_read_write: bool) -> tuple[list[str], str]:
        if is_read_write and not self._database.is_primary:
            return [], "ERROR READONLY replica"
        self._state, self._is_read_write = "T", is_read_write
        return [], "COMPLETE -"

    def _run(
        self, request_id: str, word: str, name: str, argument: str, text: str
    ) -> tuple[list[str], str]:
        database = self._database
        if self._state == "E":
            self._end()
            return [], "ERROR ABORTED failed before"
        database.group.ran.append(
            ExecutedStatement(
                database.target_id,
                id(self),
                request_id,
                self._team,
                text,
                tuple(sorted(self._values.items())),
                self._state == "T",
                database.is_primary,
            )
        )
        signature = f"COMPLETE {database.target_id}.{request_id}"
        if word == "COMMIT":
            writes = self._writes
            self._end()
            if writes and not database.is_primary:
                return [], "ERROR READONLY no longer primary"
            database.group.append(database, writes)
            return [], signature
        if word == "EXECUTE":
            if name not in self._shapes:
                return [], "ERROR NOSTMT unknown"
            item, _, argument = argument.partition(" ")
            word, name = self._shapes[name].split(" ")[0], item
        if word == "READ":
            return [database.read(name)], signature
        if not database.is_primary:
            return [], "ERROR READONLY replica"
        if self._state == "T":
            self._writes.append((name, argument))
        else:
            database.group.append(database, [(name, argument)])
        return [], signature

    def _end(self) -> None:
        self._state, self._writes = "I", []

    def _status(self) -> str:
        database = self._database
        role = "primary" if database.is_primary else "replica"
        connections = len(database.connections)
        return f"{role} {database.term} {database.position} 0 0 0 {connections}"

    def _ready(self) -> str:
        return f"READY {self._state} {self._database.position}"

    def _send(self, lines: list[str]) -> None:
        self._handler.wfile.write("".join(f"{line}\r\n" for line in lines).encode())


def _position_key(position: str) -> tuple[int, int]:
    term, _, index = position.partition(".")
    return int(term), int(index)


@dataclass(frozen=True)
class HttpRequest:
    """A received HTTP request."""

    path: str
    headers: dict[str, str]
    body: bytes


class HttpServer:
    """HTTP server that calls ``respond`` for each request, in a thread.

    An entry ``headers`` of the value that it returns is sent as headers.
    No response is sent if ``respond`` raises ConnectionAbortedError.
    """

    def __init__(self, respond) -> None:
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def handle(self) -> None:
                try:
                    super().handle()
                except ConnectionError:
                    self.close_connection = True

            def _respond(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                request = HttpRequest(self.path, dict(self.headers), body)
                try:
                    status, value = respond(request)
                except ConnectionAbortedError:
                    self.close_connection = True
                    return
                headers = value.pop("headers", {})
                data = json.dumps(value).encode()
                self.send_response(status)
                for name, text in headers.items():
                    self.send_header(name, text)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = _respond  # noqa: N815

            def log_message(self, *arguments: object) -> None:
                pass

        self._server = _ThreadingHttpServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()
