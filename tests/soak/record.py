"""What callers, databases, the operator and the fault injection recorded in a run."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

REFUSAL_CODES = ("NODB", "NOAUTH")
RESET = "reset"
"""Start of the detail of a request that its VM had not read when it closed."""


@dataclass(frozen=True)
class Version:
    """A version of the configuration; times are monotonic, in s."""

    number: int
    service_by_database: dict[str, str]
    team_by_key: dict[str, str]
    sent_at: float
    confirmed_at: float

    def allows(self, database: str, key: str, service: str, team: str) -> bool:
        """Return whether a request may run at a service for a team."""
        return (
            self.service_by_database.get(database) == service
            and self.team_by_key.get(key) == team
        )

    def refuses(self, database: str, key: str, code: str) -> bool:
        """Return whether a request may be refused with a code."""
        if code == "NODB":
            return database not in self.service_by_database
        return key not in self.team_by_key


@dataclass
class Request:
    """A request of a caller; ``code`` is empty if the connection broke.

    ``operation_at`` is the time at which the request's transaction began, or the
    request itself was sent.
    """

    request_id: str
    vm: str
    lifetime: int
    database: str
    key: str
    text: str
    sent_at: float
    operation_at: float
    code: str = ""
    detail: str = ""
    ended_at: float = float("inf")


@dataclass(frozen=True)
class Run:
    """A statement that a database ran."""

    at: float
    service: str
    target_id: str
    request_id: str
    team: str
    text: str


@dataclass
class Lifetime:
    """The time from the start of a VM process to its end."""

    vm: str
    started_at: float
    ended_at: float = float("inf")
    stopped_at: float = float("inf")
    has_failed: bool = False


@dataclass
class Fault:
    """A fault: at a VM, on the link of two ends, at the store, or at a database."""

    kind: str
    ends: tuple[str, ...]
    start: float
    end: float = float("inf")


@dataclass
class Write:
    """Data of an operation, and whether it must or may be kept."""

    data: str
    request_id: str
    must_be_kept: bool = False
    may_be_kept: bool = True


@dataclass
class Evacuation:
    """The time for which a failure domain was evacuated."""

    domain: str
    confirmed_at: float
    lifted_at: float = float("inf")


@dataclass
class Record:
    """Everything that was seen in one run."""

    versions: list[Version] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    lifetimes: list[Lifetime] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    kept_data: list[str] = field(default_factory=list)
    domain_by_target: dict[str, str] = field(default_factory=dict)
    settled_at: float = float("inf")
    signals: list[tuple[float, str, int]] = field(default_factory=list)
    stalls: list[tuple[float, float]] = field(default_factory=list)
    """Time and duration, in s, of pauses of the soak's own event loop."""

    lock: threading.Lock = field(default_factory=threading.Lock)

    def begin_fault(self, kind: str, *ends: str) -> Fault:
        """Record the start of a fault."""
        fault = Fault(kind, ends, time.monotonic())
        self.faults.append(fault)
        return fault
