"""A blocking HTTP caller, and a threaded workload that records a history."""

from __future__ import annotations

import json
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from typing import Any

from guavabarrow_cli.embedded_fleet import LOOPBACK
from guavabarrow_core.exceptions import ExecutionStatus
from guavabarrow_core.history import History, ObservedRead, ObservedWrite
from guavabarrow_core.request_id import create_request_id

SERVICE = "orders-db"


@dataclass
class Response:
    """Status, JSON body and headers of a response; status 0: no response."""

    status: int
    body: dict[str, Any]
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def ok(self) -> bool:
        return 200 <= self.status < 300

    @property
    def ran(self) -> ExecutionStatus:
        if self.status == 0:
            return ExecutionStatus.OUTCOME_UNKNOWN
        return ExecutionStatus(self.body.get("ran", "ran" if self.ok else "not_run"))


class Caller:
    """One session; it keeps its session token when it switches to another VM."""

    def __init__(
        self, ports: list[int], key: str, *, name: str = "s", deadline_s: float = 15.0
    ) -> None:
        self.name = name
        self.token: str | None = None
        self.vm_index = 0
        self._ports = ports
        self._key = key
        self.deadline_s = deadline_s
        self._connection: HTTPConnection | None = None

    def switch_vm(self, vm_index: int | None = None) -> None:
        self.close()
        next_index = self.vm_index + 1 if vm_index is None else vm_index
        self.vm_index = next_index % len(self._ports)

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def post(
        self, path: str, body: Any, headers: dict[str, str] | None = None
    ) -> Response:
        request_headers = {
            "Authorization": f"Bearer {self._key}",
            "Deadline-Ms": str(self.deadline_s * 1000),
            **(headers or {}),
        }
        if self.token:
            request_headers["Session-Token"] = self.token
        if self._connection is None:
            port = self._ports[self.vm_index]
            self._connection = HTTPConnection(
                LOOPBACK, port, timeout=self.deadline_s + 10
            )
        try:
            self._connection.request("POST", path, json.dumps(body), request_headers)
            http_response = self._connection.getresponse()
            content = json.loads(http_response.read())
        except (OSError, HTTPException, ValueError) as error:
            self.close()
            return Response(0, {"code": "broken", "detail": repr(error)})
        self.token = http_response.headers.get("Session-Token", self.token)
        if http_response.will_close:
            self.close()
        return Response(http_response.status, content, dict(http_response.headers))

    def write(
        self, sql: str, *params: Any, request_id: str = "", service: str = SERVICE
    ) -> Response:
        headers = {"Request-Id": request_id or create_request_id(time.time())}
        body = {"sql": sql, "params": params}
        return self.post(f"/v1/services/{service}/statements", body, headers)

    def read(
        self,
        sql: str,
        *params: Any,
        max_age_ms: float | None = None,
        service: str = SERVICE,
    ) -> Response:
        body: dict[str, Any] = {"sql": sql, "params": params, "read": True}
        if max_age_ms is not None:
            body["max_age_ms"] = max_age_ms
        return self.post(f"/v1/services/{service}/statements", body)

    def begin(self, service: str = SERVICE) -> str:
        response = self.post(f"/v1/services/{service}/transactions", {})
        assert response.ok, response
        return response.body["transaction_id"]

    def execute(self, transaction: str, sql: str, *params: Any) -> Response:
        path = f"/v1/transactions/{transaction}/statements"
        return self.post(path, {"sql": sql, "params": params})

    def commit(self, transaction: str, request_id: str = "") -> Response:
        headers = {"Request-Id": request_id} if request_id else {}
        return self.post(f"/v1/transactions/{transaction}/commit", {}, headers)


class Workload:
    """Sessions that insert rows and read them back until the workload ends."""

    def __init__(
        self,
        ports: list[int],
        key: str,
        *,
        session_count: int = 6,
        pause_s: float = 0.01,
    ) -> None:
        self.history = History()
        self.failures: list[Response] = []
        self._ports = ports
        self._key = key
        self.deadline_s = 15.0
        self._pause_s = pause_s
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(session_count)
        ]

    def __enter__(self) -> Workload:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(timeout=60)

    @property
    def acknowledged(self) -> int:
        return sum(write.ran is ExecutionStatus.RAN for write in self.history.writes)

    def _run(self, number: int) -> None:
        caller = Caller(self._ports, self._key, name=f"session-{number}")
        caller.vm_index = number % len(self._ports)
        # The observer never writes: read-your-writes would exclude stale replicas.
        observer = Caller(self._ports, self._key, name=f"observer-{number}")
        observer.vm_index = number % len(self._ports)
        count = 0
        while not self._stop.is_set():
            count += 1
            caller.deadline_s = self.deadline_s
            self._write(caller, f"{caller.name}/{count}")
            if count % 2:
                caller.switch_vm()
            self._read(caller, f"{caller.name}/{count}", None)
            if count % 3 == 0:
                observer.switch_vm()
                observer.deadline_s = self.deadline_s
                self._read(observer, f"{observer.name}/{count}", 2000.0)
            time.sleep(self._pause_s)

    def _write(self, caller: Caller, row: str) -> None:
        """Write a row; retry with the same request id while the outcome is unknown."""
        request_id = create_request_id(time.time())
        sent_at = time.monotonic()
        has_unknown_attempt = False
        ran = ExecutionStatus.OUTCOME_UNKNOWN
        for _ in range(5):
            response = caller.write(
                "INSERT INTO entry VALUES (?)", row, request_id=request_id
            )
            if response.status and not response.ok:
                self.failures.append(response)
            if response.ran is ExecutionStatus.OUTCOME_UNKNOWN:
                has_unknown_attempt = True
                caller.switch_vm()
                time.sleep(0.05)
                continue
            # An error on a retry doesn't show whether an earlier attempt ran.
            if response.ok or not has_unknown_attempt:
                ran = response.ran
            if response.ok:
                break
            if not has_unknown_attempt:
                break
        with self._lock:
            self.history.writes.append(
                ObservedWrite(caller.name, row, sent_at, time.monotonic(), ran)
            )

    def _read(self, caller: Caller, nonce: str, max_age_ms: float | None) -> None:
        sent_at = time.monotonic()
        response = caller.read("SELECT row, ? FROM entry", nonce, max_age_ms=max_age_ms)
        if response.status == 0:
            caller.switch_vm()
            return
        if not response.ok:
            self.failures.append(response)
            return
        rows = response.body["rows"]
        read = ObservedRead(
            caller.name,
            frozenset(row for row, _ in rows),
            sent_at,
            time.monotonic(),
            None if max_age_ms is None else max_age_ms / 1000,
            nonce,
            rows[0][1] if rows else nonce,
        )
        with self._lock:
            self.history.reads.append(read)

    def final_rows(self, caller: Caller) -> list[str]:
        with suppress(TimeoutError):
            response = caller.read("SELECT row FROM entry", max_age_ms=0)
            assert response.ok, response
            return [row for (row,) in response.body["rows"]]
        return []
