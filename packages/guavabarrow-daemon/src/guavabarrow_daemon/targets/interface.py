"""Abstract base classes of connections to targets."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Generic, TypeVar

from guavabarrow_core.exceptions import GuavabarrowError

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.session_messages import OpenSession
    from guavabarrow_daemon.targets.http_messages import (
        Commit,
        Execute,
        FenceAnswer,
        Resolve,
        Resolved,
        Result,
        Status,
        Watch,
    )


ConnectionType = TypeVar("ConnectionType", bound="TargetConnection")


class TargetRefused(GuavabarrowError):
    """A target refused a request or a session, which therefore had no effect.

    Parameters
    ----------
    code : str
        Code of the target protocol.
    detail : str
        Text for people.
    """

    def __init__(self, code: str, detail: str = "") -> None:
        super().__init__(f"{code}: {detail}" if detail else code)
        self.code = code
        self.detail = detail


class TargetBroken(GuavabarrowError):
    """The connection broke or timed out; a write may have taken effect."""


class TargetUnreachable(GuavabarrowError):
    """No connection to the target could be opened; nothing was sent.

    Parameters
    ----------
    detail : str
        What happened.
    is_refused : bool
        Whether its machine answered that nothing listens.
    """

    def __init__(self, detail: str, *, is_refused: bool = False) -> None:
        super().__init__(detail)
        self.is_refused = is_refused


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
    def abort(self) -> None:
        """Close at once; the target rolls back."""


class SqlConnection(TargetConnection):
    """Connection to a database that takes statements with their term."""

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


class TargetDriver(ABC, Generic[ConnectionType]):
    """Opens connections to targets of one kind."""

    @abstractmethod
    async def connect(
        self, host: str, port: int, opening: OpenSession | None = None
    ) -> ConnectionType:
        """Open a client connection.

        Parameters
        ----------
        host, port : str, int
            Address of the target.
        opening : OpenSession, optional
            Service, team and expected target, for kinds whose connections have one.

        Raises
        ------
        TargetRefused
            If the target does not take it.
        TargetBroken or TargetUnreachable
            If it cannot be reached.
        """


class SqlDriver(TargetDriver[SqlConnection]):
    """Driver for databases that take statements with their term."""

    @abstractmethod
    def control(self, host: str, port: int) -> TargetControl:
        """Return a control client; it connects when used."""
