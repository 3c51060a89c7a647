"""Callers with long and short sessions, and probes that ask each VM directly."""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING

from soak.operators import pick
from soak.record import REFUSAL_CODES, RESET, Request, Write

if TYPE_CHECKING:
    from numpy.random import Generator

    from soak.deployment import SoakDeployment, SoakVm

ANSWER_TIMEOUT_S = 12.0
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY")
"""Codes of answers that promise that nothing of the operation is kept."""

PROBE_INTERVAL_S = 0.2
"""Interval between two sessions of one of a VM's two probes."""


class SessionEnded(Exception):
    """The session can't go on; the message is the code of the last answer."""


class Session:
    """One session at a VM; all its requests are recorded."""

    def __init__(
        self, deployment: SoakDeployment, vm: SoakVm, database: str, key: str
    ) -> None:
        self._record = deployment.record
        self._vm = vm
        self._database = database
        self._key = key
        self._prefix = f"{vm.name}-{time.monotonic_ns():x}"
        self._number = 0
        self._lifetime = vm.number_of_lifetime
        self._operation_at: float | None = None
        self._is_in_transaction = False
        self._socket = socket.create_connection(vm.front, timeout=ANSWER_TIMEOUT_S)
        self._file = self._socket.makefile("rb")
        if vm.number_of_lifetime != self._lifetime:
            self.close()
            raise SessionEnded

    def open(self) -> None:
        """Send the startup message.

        Raises
        ------
        SessionEnded
            If the session is refused.
        """
        request = self._begin("STARTUP")
        self._exchange(request, f"STARTUP {self._database} {self._key}")
        if request.code != "READY":
            self.close()
            raise SessionEnded(request.code)

    def execute(self, text: str) -> Request:
        """Execute a statement.

        Raises
        ------
        SessionEnded
            If the session ended before or with the answer.
        """
        request = self._begin(text)
        self._exchange(request, f"QUERY {request.request_id} {text}")
        if not request.code or request.code in REFUSAL_CODES:
            self.close()
            raise SessionEnded(request.code)
        return request

    def begin_operation(self) -> None:
        """Begin a transaction: its route is the one at this time."""
        self._operation_at = time.monotonic()

    def end_operation(self) -> None:
        """End a transaction."""
        self._operation_at = None

    def roll_back(self) -> None:
        """Roll back the transaction if it is open or has failed."""
        if self._is_in_transaction:
            self.execute("ROLLBACK")

    def next_id(self) -> str:
        """Return the id of the next request."""
        return f"{self._prefix}-{self._number + 1}"

    def close(self) -> None:
        """Close the connection."""
        self._file.close()
        self._socket.close()

    def _begin(self, text: str) -> Request:
        self._number += 1
        now = time.monotonic()
        request = Request(
            f"{self._prefix}-{self._number}",
            self._vm.name,
            self._lifetime,
            self._database,
            self._key,
            text,
            now,
            now if self._operation_at is None else self._operation_at,
        )
        self._record.requests.append(request)
        return request

    def _exchange(self, request: Request, line: str) -> None:
        try:
            self._socket.sendall(f"{line}\r\n".encode())
            answer = self._file.readline().decode().rstrip("\r\n")
            while answer.startswith("DATAROW "):
                answer = self._file.readline().decode().rstrip("\r\n")
            word, _, detail = answer.partition(" ")
            if word == "ERROR":
                word, _, detail = detail.partition(" ")
            request.code, request.detail = word, detail
            if word and line.startswith("QUERY") and word not in REFUSAL_CODES:
                ready = self._file.readline().decode().split(" ")
                self._is_in_transaction = ready[1:2] != ["I"]
        except TimeoutError:
            request.code = "SILENCE"
        except OSError as error:
            request.detail = f"{RESET}: {error}"
        request.ended_at = time.monotonic()


class Load:
    """Threads of callers and probes.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment to use.
    randoms : iterator of Generator
        Sources of the choices of the threads.
    """

    def __init__(self, deployment: SoakDeployment, randoms) -> None:
        self._deployment = deployment
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=run, args=(vm, next(randoms)), daemon=True)
            for vm in deployment.vms
            for run in (
                self._run_long_sessions,
                self._run_long_sessions,
                self._run_short_sessions,
                self._probe,
                self._probe,
            )
        ]

    def start(self) -> None:
        """Start all threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all threads."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(ANSWER_TIMEOUT_S)

    def _run_long_sessions(self, vm: SoakVm, random: Generator) -> None:
        while not self._is_stopped.wait(0.1):
            try:
                session = self._open(vm, random)
                for number in range(int(random.integers(20, 200))):
                    self._run_operation(session, random, number)
                    if self._is_stopped.wait(random.exponential(0.15)):
                        break
                session.close()
            except (SessionEnded, OSError):
                continue

    def _run_short_sessions(self, vm: SoakVm, random: Generator) -> None:
        while not self._is_stopped.wait(random.exponential(0.2)):
            try:
                session = self._open(vm, random)
                self._run_operation(session, random, 0)
                session.close()
            except (SessionEnded, OSError):
                continue

    def _open(self, vm: SoakVm, random: Generator) -> Session:
        operator = self._deployment.operator
        database = pick(random, operator.loaded_databases())
        key = pick(random, operator.version.team_by_key)
        session = Session(self._deployment, vm, database, key)
        session.open()
        return session

    def _probe(self, vm: SoakVm, random: Generator) -> None:
        operator = self._deployment.operator
        while not self._is_stopped.wait(PROBE_INTERVAL_S):
            if random.random() < 0.2:
                database = f"never{int(random.integers(1000))}"
            elif operator.recent_databases and random.random() < 0.6:
                database = pick(random, operator.recent_databases)
            else:
                database = pick(random, operator.version.service_by_database)
            key = pick(random, operator.version.team_by_key)
            if operator.recent_keys and random.random() < 0.4:
                key = pick(random, operator.recent_keys)
            try:
                session = Session(self._deployment, vm, database, key)
                session.open()
                session.execute("READ p")
                session.close()
            except (SessionEnded, OSError):
                continue

    def _run_operation(self, session: Session, random: Generator, number: int) -> None:
        kind = random.random()
        if kind < 0.35:
            session.execute(f"READ r{number}")
        elif kind < 0.6:
            self._write(session, "WRITE {item} {data}")
        elif kind < 0.75:
            name = f"s{int(random.integers(3))}"
            if session.execute(f"PREPARE {name} WRITE q1").code == "COMPLETE":
                self._write(session, f"EXECUTE {name} {{item}} {{data}}")
        else:
            self._run_transaction(session, random)

    def _new_write(self, session: Session) -> Write:
        request_id = session.next_id()
        write = Write(f"data-{request_id}", request_id)
        self._deployment.record.writes.append(write)
        return write

    def _write(self, session: Session, template: str) -> None:
        write = self._new_write(session)
        text = template.format(item=f"i{write.request_id}", data=write.data)
        self._conclude([write], session.execute(text))

    def _conclude(self, writes: list[Write], request: Request) -> None:
        for write in writes:
            write.must_be_kept = request.code == "COMPLETE"
            write.may_be_kept = request.code not in (*PROMISES, *REFUSAL_CODES)

    def _run_transaction(self, session: Session, random: Generator) -> None:
        writes: list[Write] = []
        commit = None
        session.begin_operation()
        try:
            is_read_only = random.random() < 0.2
            if session.execute("BEGIN READ" if is_read_only else "BEGIN").code != (
                "COMPLETE"
            ):
                return
            for _ in range(int(random.integers(1, 5))):
                pause_s = random.exponential(0.1)
                if random.random() < 0.15:
                    pause_s = random.uniform(0.5, 2.5)
                time.sleep(pause_s)
                if is_read_only or random.random() < 0.4:
                    answer = session.execute("READ t")
                else:
                    write = self._new_write(session)
                    # Nothing may be kept unless the commit is sent.
                    write.may_be_kept = False
                    writes.append(write)
                    answer = session.execute(f"WRITE i{write.request_id} {write.data}")
                if answer.code != "COMPLETE":
                    session.roll_back()
                    return
            if random.random() < 0.15:
                session.execute("ROLLBACK")
                return
            for write in writes:
                write.may_be_kept = True
            commit = session.execute("COMMIT")
        finally:
            session.end_operation()
        self._conclude(writes, commit)
