"""Abstract base class of what callers connect to, over any protocol."""

from __future__ import annotations

from abc import ABC, abstractmethod

from guavabarrow_daemon.kernel import Service


class CallerFront(Service, ABC):
    """Owner of the listening port for callers.

    Attributes
    ----------
    address : str
        Where it listens, as HOST:PORT.
    """

    address: str

    @property
    @abstractmethod
    def is_ready(self) -> bool:
        """Whether the balancer should send new callers here."""

    @property
    @abstractmethod
    def open_work(self) -> int:
        """Statements and transactions that are not over."""

    @abstractmethod
    async def start(self) -> None:
        """Listen for callers."""

    @abstractmethod
    async def drain(self) -> None:
        """Take no new callers, and wait for running work within the grace."""

    @abstractmethod
    async def stop(self) -> None:
        """Close what is left."""
