"""Records the decisions of group monitors to a file, for replay."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from guavabarrow_core.trace import TraceStart, encode_step

if TYPE_CHECKING:
    from guavabarrow_core.group_monitor import Action, Event

FLUSH_EVERY = 20


class TraceRecorder:
    """Appends lines to a trace file.

    Parameters
    ----------
    path : str
        File; an older trace is replaced.
    """

    def __init__(self, path: str) -> None:
        self._file = Path(path).open("wb")  # noqa: SIM115 (closed by close)
        self._lines = 0

    def start(self, start: TraceStart) -> None:
        """Record how a monitor was created."""
        self._write(msgspec.json.encode(start) + b"\n")

    def step(self, group: str, now: float, event: Event, actions: list[Action]) -> None:
        """Record an event and the actions that it caused."""
        self._write(encode_step(group, now, event, actions))

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _write(self, line: bytes) -> None:
        self._file.write(line)
        self._lines += 1
        if self._lines % FLUSH_EVERY == 0:
            self._file.flush()
