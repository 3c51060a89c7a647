"""Stand-in of the platform: its store of rows, and the call that promotes."""

from __future__ import annotations

import base64
import json
import random
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

_FIRST_PORT, _LAST_PORT = 10000, 29999
"""Below the ports that outgoing connections get, so that none of them takes a port
between the choice and the start of a process, or while the process is down."""

_taken: set[int] = set()


def free_port() -> int:
    """Return an unused TCP port of the loopback address, each one once."""
    while True:
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        if port in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken.add(port)
        return port


class _Server(ThreadingHTTPServer):
    request_queue_size = 256
    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore clients that were killed."""


class Platform:
    """Rows, feeds and conditional transactions, and ``POST /promote``.

    Attributes
    ----------
    promotions : list of tuple
        Time, service, database, holder and fence number of each call.
    promote : callable
        Makes a database the primary; returns False if it isn't running.
    """

    def __init__(self) -> None:
        self.promotions: list[tuple[float, str, str, str, int]] = []
        self.promote = lambda service, target: False
        self._rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self._version = 0
        self._changed = threading.Condition()
        platform = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _respond(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                status, value = platform._handle(self.path, self.headers, body)
                data = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = _respond  # noqa: N815

            def log_message(self, *arguments: object) -> None:
                """Log nothing."""

        self._server = _Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as JSON, as the operator or a database would."""
        self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table: str, key: str, value: bytes | None) -> None:
        """Write the bytes of a row, or remove it."""
        with self._changed:
            self._version += 1
            self._rows[(table, "", key)] = (value, self._version)
            self._changed.notify_all()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def _handle(self, target: str, headers: object, body: bytes) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match url.path:
            case "/promote":
                wanted = json.loads(body)
                holder = headers["Guavabarrow-Lease-Holder"]
                fence = int(headers["Guavabarrow-Fencing-Token"])
                call = (time.monotonic(), wanted["Service"], wanted["Id"])
                self.promotions.append((*call, holder, fence))
                is_done = self.promote(wanted["Service"], wanted["Id"])
                return (200 if is_done else 409), {}
            case "/guavabarrow/rows-tx":
                return self._transact(json.loads(body))
            case "/guavabarrow/rows-get":
                return self._get(query)
            case "/guavabarrow/rows-feed":
                return self._feed(query)
        return 404, {}

    def _transact(self, body: dict) -> tuple[int, dict]:
        time.sleep(0.003)
        with self._changed:
            named = [_key(entry) for entry in body.get("ExpectRev", [])]
            for key, entry in zip(named, body.get("ExpectRev", []), strict=True):
                value, version = self._rows.get(key, (None, 0))
                if (0 if value is None else version) != entry["Ver"]:
                    rows = [self._row(k) for k in named if self._exists(k)]
                    return 412, {"rows": rows, **self._clock()}
            self._version += 1
            for entry in body.get("Puts", []):
                data = base64.b64decode(entry["Value"])
                self._rows[_key(entry)] = (data, self._version)
            for entry in body.get("Remove", []):
                self._rows[_key(entry)] = (None, self._version)
            self._changed.notify_all()
            return 200, self._clock()

    def _get(self, query: dict[str, str]) -> tuple[int, dict]:
        table, part = query["Table"], query.get("part", "")
        start, end = query.get("From", ""), query.get("To", "")
        limit = min(500, int(query.get("Limit", "500")))
        with self._changed:
            keys = sorted(
                (key for key in self._rows if key[:2] == (table, part)),
                key=lambda key: key[2].encode(),
            )
            keys = [
                key
                for key in keys
                if self._exists(key) and key[2] >= start and (not end or key[2] < end)
            ]
            rows = [self._row(key) for key in keys[:limit]]
            return 200, {"rows": rows, "HasMore": len(keys) > limit, **self._clock()}

    def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        table, after = query["Table"], int(query["after"])
        until = time.monotonic() + min(30000, int(query["WaitMs"])) / 1000
        with self._changed:
            while True:
                keys = [
                    key
                    for key, (_, version) in self._rows.items()
                    if key[0] == table and version > after
                ]
                left = until - time.monotonic()
                if keys or left <= 0:
                    keys.sort(key=lambda key: self._rows[key][1])
                    rows = [self._row(key) for key in keys]
                    return 200, {"rows": rows, **self._clock()}
                self._changed.wait(left)

    def _exists(self, key: tuple[str, str, str]) -> bool:
        return self._rows.get(key, (None, 0))[0] is not None

    def _row(self, key: tuple[str, str, str]) -> dict:
        value, version = self._rows[key]
        row = {"Table": key[0], "part": key[1], "Key": key[2], "Ver": version}
        if value is None:
            return {**row, "Tombstone": True}
        return {**row, "Value": base64.b64encode(value).decode()}

    def _clock(self) -> dict:
        return {"Ver": self._version, "NowMs": int(time.monotonic() * 1000)}


def _key(entry: dict) -> tuple[str, str, str]:
    return entry["Table"], entry.get("part", ""), entry["Key"]
