"""Adaptive limit on the statements that a VM runs concurrently at one target.

When replicas lag, all reads go to the primary, and its queue fills with statements and
handshakes whose callers time out before it processes them. The window keeps the queue
at the VM, where it is ordered by priority and where a statement that cannot meet its
deadline is refused at once. The window grows while responses are fast and shrinks when
the target refuses statements or slows down, like a congestion window (AIMD).
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.target_pace import PaceSample

INCREASE = 0.5
"""Additive increase per window of fast responses."""

SLOW_FACTOR = 0.95
"""Multiplicative decrease for each slow response."""

REFUSED_FACTOR = 0.7
"""Multiplicative decrease for each refusal by the target."""

SLOW_RESPONSE_S = 0.12
"""Response time above which a statement must have been queued at the target, in s: the
slowest kind of statement takes 40 ms on average."""

MIN_WINDOW = 1.0


class ConcurrencyWindow(ABC):
    """Limit on the statements that a VM runs concurrently at one target.

    Attributes
    ----------
    size : float
        Number of statements that may run concurrently.
    """

    size: float

    @abstractmethod
    def allows(self, running: int) -> bool:
        """Return whether a statement may be sent while ``running`` others run."""

    @abstractmethod
    def on_answer(self, response_s: float, sample: PaceSample | None = None) -> None:
        """Adjust the window to a response time, in s.

        Parameters
        ----------
        response_s : float
            Time from sending the statement to its answer, in s.
        sample : PaceSample or None
            What was run and under which load; None if it isn't known.
        """

    @abstractmethod
    def on_refused(self, now: float = 0.0) -> None:
        """Shrink the window after a refusal because the target was full.

        Parameters
        ----------
        now : float
            Local time, in s.
        """

    @abstractmethod
    def wait_s(self, waiting: int, response_s: float) -> float:
        """Return the expected wait of a statement behind ``waiting`` others, in s."""


@dataclass(slots=True)
class SendWindow(ConcurrencyWindow):
    """Concurrency window of one target, from response times in s.

    Parameters
    ----------
    max_size : float
        Largest window.
    size : float
        Number of statements that may run concurrently.

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
        """Return whether a statement may be sent while ``running`` others run."""
        return running < max(MIN_WINDOW, int(self.size))

    def on_answer(self, response_s: float, sample: PaceSample | None = None) -> None:
        """Adjust the window to a response time, in s."""
        if response_s > SLOW_RESPONSE_S:
            self.size = max(MIN_WINDOW, self.size * SLOW_FACTOR)
        else:
            self.size = min(self.max_size, self.size + INCREASE / self.size)

    def on_refused(self, now: float = 0.0) -> None:
        """Shrink the window after a refusal because the target was full."""
        self.size = max(MIN_WINDOW, self.size * REFUSED_FACTOR)

    def wait_s(self, waiting: int, response_s: float) -> float:
        """Return the expected wait of a statement behind ``waiting`` others, in s."""
        return waiting * response_s / max(MIN_WINDOW, self.size)
