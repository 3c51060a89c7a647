"""In-memory databases for tests of group monitors, without I/O and without SQL."""

from __future__ import annotations

from dataclasses import dataclass, field

from guavabarrow_core.group_view import DatabaseReport, Role
from guavabarrow_core.log_position import Lineage, LogPosition, TermStart


@dataclass
class FakeDatabase:
    """Stores a log of (term, row), promises terms and rejects lower ones."""

    name: str
    log: list[tuple[int, str]] = field(default_factory=list)
    starts: list[TermStart] = field(default_factory=list)
    promised: tuple[int, str] = (0, "")
    is_primary: bool = False
    is_up: bool = True
    last_message_at: float | None = None

    @property
    def last(self) -> LogPosition:
        return LogPosition(self.log[-1][0], len(self.log)) if self.log else self.empty

    empty = LogPosition(0, 0)

    @property
    def lineage(self) -> Lineage:
        return Lineage(tuple(self.starts), len(self.log))

    def append(self, term: int, row: str) -> None:
        self.log.append((term, row))
        if not self.starts or self.starts[-1].term != term:
            self.starts.append(TermStart(term, len(self.log)))

    def truncate(self, length: int) -> None:
        del self.log[length:]
        self.starts = [start for start in self.starts if start.index <= length]

    @property
    def term(self) -> int:
        return self.log[-1][0] if self.log else 0

    def fence(self, term: int, owner: str) -> bool:
        if (term, owner) == self.promised and not self.is_primary:
            return True
        if term <= self.promised[0]:
            return False
        self.promised = (term, owner)
        self.is_primary = False
        self.last_message_at = None
        return True

    def promote(self, term: int, owner: str) -> bool:
        if (term, owner) != self.promised:
            return False
        if not self.is_primary:
            self.append(term, "")
            self.is_primary = True
        return True

    def write(self, term: int, row: str) -> LogPosition | None:
        if not self.is_primary or not term == self.term == self.promised[0]:
            return None
        self.append(term, row)
        return self.last

    def replicate_to(self, peer: FakeDatabase, count: int, now: float) -> None:
        if not self.is_primary or self.term < peer.promised[0]:
            return
        if self.term > peer.promised[0]:
            peer.promised = (self.term, "")
        peer.is_primary = False
        peer.last_message_at = now
        common = min(len(self.log), len(peer.log))
        while common and self.log[common - 1] != peer.log[common - 1]:
            common -= 1
        entries = self.log[common : common + count]
        if entries and len(peer.log) > common:
            peer.truncate(common)
        for term, row in entries:
            peer.append(term, row)

    def report(self, sent_at: float, now: float) -> DatabaseReport:
        link_age_s = (
            None if self.last_message_at is None else now - self.last_message_at
        )
        return DatabaseReport(
            self.name,
            Role.PRIMARY if self.is_primary else Role.REPLICA,
            self.promised[0],
            self.lineage,
            link_age_s,
            0,
            sent_at,
            now,
        )

    def restart(self) -> None:
        self.is_primary = False
        self.last_message_at = None
        self.is_up = True
