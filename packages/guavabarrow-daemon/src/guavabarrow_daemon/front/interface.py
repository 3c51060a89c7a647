"""Abstract base class of the frontends that callers connect to, for any protocol."""

from __future__ import annotations

from abc import ABC, abstractmethod

from guavabarrow_daemon.kernel import Service


class CallerFront(Service, ABC):
    """Frontend that owns the listening port for callers.

    Attributes
    ----------
    address : str
        Address that it listens on, as HOST:PORT.
    """

    address: str

    @property
    @abstractmethod
    def is_ready(self) -> bool:
        """Whether the load balancer should send new callers to this VM."""

    @property
    @abstractmethod
    def open_work(self) -> int:
        """Number of statements and transactions that are still running."""

    @abstractmethod
    async def start(self) -> None:
        """Start listening for callers."""

    @abstractmethod
    async def drain(self) -> None:
        """Stop taking callers and wait for running work within the grace period."""

    @abstractmethod
    async def stop(self) -> None:
        """Close the remaining connections."""
