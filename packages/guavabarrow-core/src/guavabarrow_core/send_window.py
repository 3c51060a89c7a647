"""How many statements a VM has under way at one target.

Pattern: replicas fall behind, all reads go to the primary, and its own queue fills with
statements and handshakes whose callers give up before it gets to them. The window keeps
the queue at the VM, where it is ordered by priority and where a statement that would
come too late is refused at once. It grows while answers are quick and shrinks when the
target refuses or slows down, as congestion windows do.
"""

from __future__ import annotations

from dataclasses import dataclass

GROWTH = 0.5
"""Added per window of quick answers."""

SLOW_FACTOR = 0.95
"""Factor for each answer that took too long."""

REFUSED_FACTOR = 0.7
"""Factor for each refusal by the target."""

SLOW_S = 0.12
"""Answers above this had to wait: the slowest kind of work takes 40 ms on average."""

MIN_WINDOW = 1.0


@dataclass(slots=True)
class SendWindow:
    """Window of one target.

    Parameters
    ----------
    max_size : float
        Largest window.
    size : float
        Statements that may be under way.

    Examples
    --------
    >>> window = SendWindow(max_size=4.0, size=4.0)
    >>> window.on_refused()
    >>> round(window.size, 1), window.allows(1), window.allows(2)
    (2.8, True, False)
    """

    max_size: float
    size: float

    def allows(self, running: int) -> bool:
        """Tell whether another statement may be sent beside ``running`` ones."""
        return running < max(MIN_WINDOW, int(self.size))

    def on_answer(self, response_s: float) -> None:
        """Take the time of an answer, in s."""
        if response_s > SLOW_S:
            self.size = max(MIN_WINDOW, self.size * SLOW_FACTOR)
        else:
            self.size = min(self.max_size, self.size + GROWTH / self.size)

    def on_refused(self) -> None:
        """Take a refusal because the target was full."""
        self.size = max(MIN_WINDOW, self.size * REFUSED_FACTOR)

    def wait_s(self, waiting: int, response_s: float) -> float:
        """Return the expected wait of a statement behind ``waiting`` ones, in s."""
        return waiting * response_s / max(MIN_WINDOW, self.size)
