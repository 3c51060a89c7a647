"""Abstract base classes of connections to databases."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import GuavabarrowError

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.target.messages import (
        Commit,
        Execute,
        FenceAnswer,
        Resolve,
        Resolved,
        Result,
        Status,
        Watch,
    )


class TargetRefused(GuavabarrowError):
    """A database refused a request, which therefore had no effect.

    Parameters
    ----------
    code : str
        Code of the target protocol.
    detail : str
        Text for people.
    """

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail


class TargetBroken(GuavabarrowError):
    """The connection broke or timed out; a write may have taken effect."""


class TargetConnection(ABC):
    """One client connection; it carries at most one transaction."""

    @property
    @abstractmethod
    def is_open(self) -> bool:
        """Whether the connection can take a request."""

    @abstractmethod
    def set_on_lost(self, callback: Callable[[], None]) -> None:
        """Set what is called when the connection is lost."""

    @abstractmethod
    async def execute(self, message: Execute, *, timeout_s: float) -> Result:
        """Run a statement.

        Raises
        ------
        TargetRefused
            If it had no effect.
        TargetBroken
            If its outcome is unknown.
        """

    @abstractmethod
    async def begin(self, term: int, *, timeout_s: float) -> None:
        """Open a transaction."""

    @abstractmethod
    async def commit(self, message: Commit, *, timeout_s: float) -> Result:
        """Commit the open transaction."""

    @abstractmethod
    async def reset(self, *, timeout_s: float) -> None:
        """Roll back and clear the state of the connection."""

    @abstractmethod
    async def resolve(self, message: Resolve, *, timeout_s: float) -> Resolved:
        """Look up the outcome of a request, or rule it out."""

    @abstractmethod
    def abort(self) -> None:
        """Close at once; the database rolls back."""


class TargetControl(ABC):
    """Control requests to one database, outside of its client connections."""

    @abstractmethod
    async def watch(self, message: Watch, *, timeout_s: float) -> Status:
        """Return the status once it changes or the hold ends."""

    @abstractmethod
    async def status(self, *, timeout_s: float) -> Status:
        """Return the status at once, beside a running watch."""

    @abstractmethod
    async def fence(self, term: int, owner: str, *, timeout_s: float) -> FenceAnswer:
        """Ask for a promise."""

    @abstractmethod
    async def promote(self, term: int, owner: str, *, timeout_s: float) -> bool:
        """Ask it to become primary."""

    @abstractmethod
    def close(self) -> None:
        """Close the control connections."""


class TargetDriver(ABC):
    """Opens connections to databases of one kind."""

    @abstractmethod
    async def connect(self, host: str, port: int) -> TargetConnection:
        """Open a client connection.

        Raises
        ------
        TargetRefused
            If the database accepts no more connections.
        TargetBroken
            If it cannot be reached.
        """

    @abstractmethod
    def control(self, host: str, port: int) -> TargetControl:
        """Return a control client; it connects when used."""
