"""Records the decisions of group monitors in a file for replay."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from guavabarrow_core.trace import TraceStart, encode_step

if TYPE_CHECKING:
    from guavabarrow_core.group_monitor import Action, Event

FLUSH_INTERVAL_LINES = 20


class TraceRecorder:
    """Writes a trace file, one JSON line per record.

    Parameters
    ----------
    path : str
        Trace file; an existing file is overwritten.
    """

    def __init__(self, path: str) -> None:
        self._file = Path(path).open("wb")  # noqa: SIM115 (closed by close)
        self._line_count = 0

    def start(self, start: TraceStart) -> None:
        """Record the initial state of a monitor."""
        self._write(msgspec.json.encode(start) + b"\n")

    def step(self, group: str, now: float, event: Event, actions: list[Action]) -> None:
        """Record an event and the actions that it triggered."""
        self._write(encode_step(group, now, event, actions))

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _write(self, line: bytes) -> None:
        self._file.write(line)
        self._line_count += 1
        if self._line_count % FLUSH_INTERVAL_LINES == 0:
            self._file.flush()
