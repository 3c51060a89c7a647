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
    """A target refused a request or a session; the request had no effect.

    Parameters
    ----------
    code : str
        Error code of the target protocol.
    detail : str
        Human-readable explanation.
    """

    def __init__(self, code: str, detail: str = "") -> None:
        super().__init__(f"{code}: {detail}" if detail else code)
        self.code = code
        self.detail = detail


class TargetConnectionBroken(GuavabarrowError):
    """A connection was lost or timed out; a write may have taken effect."""


class TargetUnreachable(GuavabarrowError):
    """No connection to the target could be opened; nothing was sent.

    Parameters
    ----------
    detail : str
        Human-readable explanation.
    is_refused : bool
        Whether the target's machine answered that no process listens on the port.
    is_replaced : bool
        Whether another target answered at the address.
    """

    def __init__(
        self, detail: str, *, is_refused: bool = False, is_replaced: bool = False
    ) -> None:
        super().__init__(detail)
        self.is_refused = is_refused
        self.is_replaced = is_replaced


class TargetConnection(ABC):
    """One client connection with at most one open transaction."""

    @property
    @abstractmethod
    def is_open(self) -> bool:
        """Whether the connection can take a request."""

    @abstractmethod
    def set_on_lost(self, callback: Callable[[], None]) -> None:
        """Set the callback for the loss of the connection."""

    @abstractmethod
    def abort(self) -> None:
        """Close at once; the target rolls back an open transaction."""


class SqlConnection(TargetConnection):
    """Connection to a database whose writes name the term of the primary."""

    @abstractmethod
    async def execute(self, message: Execute, *, timeout_s: float) -> Result:
        """Run a statement.

        Raises
        ------
        TargetRefused
            If the database refused the statement, which had no effect.
        TargetConnectionBroken
            If the outcome is unknown.
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
    """Control requests to one database, separate from its client connections."""

    @abstractmethod
    async def watch(self, message: Watch, *, timeout_s: float) -> Status:
        """Return the status once it changes or the hold time ends."""

    @abstractmethod
    async def status(self, *, timeout_s: float) -> Status:
        """Return the current status at once, even while a watch is running."""

    @abstractmethod
    async def fence(self, term: int, owner: str, *, timeout_s: float) -> FenceAnswer:
        """Request a promise of ``term`` to ``owner``."""

    @abstractmethod
    async def promote(self, term: int, owner: str, *, timeout_s: float) -> bool:
        """Request that the database becomes primary; return whether it accepted."""

    @abstractmethod
    def close(self) -> None:
        """Close the control connections."""


class TargetDriver(ABC, Generic[ConnectionType]):
    """Opens connections to targets of one kind."""

    @abstractmethod
    async def connect(
        self, host: str, port: int, open_message: OpenSession | None = None
    ) -> ConnectionType:
        """Open a client connection.

        Parameters
        ----------
        host, port : str, int
            Address of the target.
        open_message : OpenSession, optional
            Service, team and expected target, for targets whose connections are
            sessions.

        Raises
        ------
        TargetRefused
            If the target refuses the connection.
        TargetConnectionBroken or TargetUnreachable
            If the target cannot be reached.
        """


class SqlDriver(TargetDriver[SqlConnection]):
    """Driver for databases whose writes name the term of the primary."""

    @abstractmethod
    def control(self, host: str, port: int) -> TargetControl:
        """Return a control client, which connects on first use."""
