"""Abstract base classes of the platform services that session VMs use."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_core.store_position import StorePosition
from guavabarrow_daemon.store.exceptions import HistoryDropped

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.operator_rows import TableRow
    from guavabarrow_core.session_configuration import SessionConfiguration
    from guavabarrow_core.target_directory import TargetEntry


@dataclass(frozen=True, slots=True)
class TableReadResult:
    """Result of a read or a watch.

    Parameters
    ----------
    rows : list of TableRow
        Rows in the order in which the store returned them.
    version : StorePosition
        Newest position of the store.
    store_s : float
        Time on the store's monotonic clock, in s.
    """

    rows: list[TableRow]
    version: StorePosition
    store_s: float

    def require_era_of(self, after: StorePosition) -> None:
        """Check that these can be the changes since a position.

        Raises
        ------
        HistoryDropped
            If the store has returned from a copy since. It may then have given out
            versions up to that one again, and answers as if nothing was missing.
        """
        if StorePosition(self.version).era != StorePosition(after).era:
            raise HistoryDropped(f"The store has returned from a copy since {after}.")


@dataclass(frozen=True, slots=True)
class TableWriteResult:
    """Result of a conditional write.

    Parameters
    ----------
    is_applied : bool
        Whether the row had the expected version and was written.
    version : StorePosition
        New position of the row if applied, else the newest one of the store.
    store_s : float
        Time on the store's monotonic clock, in s.
    """

    is_applied: bool
    version: StorePosition
    store_s: float


class WatchedTable(ABC):
    """A table of the platform's store whose changes can be watched."""

    @abstractmethod
    async def read(self) -> TableReadResult:
        """Read all rows as of one point in time."""

    @abstractmethod
    async def watch(self, after: StorePosition, wait_s: float) -> TableReadResult:
        """Wait up to ``wait_s`` seconds for rows that changed after a position.

        A result of another era doesn't have the changes since that position.

        Raises
        ------
        HistoryDropped
            If the store no longer keeps the changes since that position.
        StoreUnavailable
            If no usable response arrived.
        """

    @abstractmethod
    async def write(
        self, key: str, value: bytes | None, expected: StorePosition
    ) -> TableWriteResult:
        """Write or delete a row if its version is that of ``expected``, 0 for no row.

        A result of another era than that of the condition proves nothing.
        """


@dataclass(frozen=True, slots=True)
class TargetListing:
    """The list of registered targets.

    Parameters
    ----------
    entries : list of TargetEntry
        Valid entries.
    problems : list of str
        Reasons why others were skipped.
    era : int
        Era of the store that has it.
    """

    entries: list[TargetEntry]
    problems: list[str]
    era: int = 0


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Operators' order that the targets of a failure domain receive no statements."""

    domain: str


class OperatorSource(ABC):
    """Reads the operators' table, which has the configuration and the evacuations."""

    @abstractmethod
    async def read(self) -> TableReadResult:
        """Read all rows as of one point in time."""

    @abstractmethod
    async def watch(self, after: StorePosition, wait_s: float) -> TableReadResult:
        """Wait for changes; see :meth:`WatchedTable.watch`."""

    @abstractmethod
    def decode(self, row: TableRow) -> SessionConfiguration | Evacuation | None:
        """Decode a row that was not deleted; None if it is of another kind.

        Raises
        ------
        UndecodableValue
            If its value is malformed.
        """


class DirectorySource(ABC):
    """Reads the list of registered targets."""

    @abstractmethod
    async def read(self) -> TargetListing:
        """Read all entries."""


class PromotionRefused(GuavabarrowError):
    """The target is unknown or not running."""


class PromotionUnanswered(GuavabarrowError):
    """No response arrived; the promotion may or may not have been carried out."""


class PromotionWithdrawn(GuavabarrowError):
    """The request wasn't sent, because the sender no longer holds the duty."""


class UsageReportRefused(GuavabarrowError):
    """The platform rejects a usage report; repeating it is useless.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"The usage report was refused with status {status}.")
        self.status = status


class UsageReportUnanswered(GuavabarrowError):
    """No usable response arrived; the report may or may not have been accepted."""


class UsageReportWithdrawn(GuavabarrowError):
    """The report wasn't sent, because the sender no longer holds the duty."""


class UsageAuthority(ABC):
    """Platform service that accepts the usage of each team."""

    @abstractmethod
    async def report(
        self,
        window: int,
        count_by_team: dict[str, int],
        *,
        holder: str,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> None:
        """Report the operations of each team in a window.

        Parameters
        ----------
        window : int
            Number of the window.
        count_by_team : dict of str to int
            Operations of each team.
        holder : str
            VM that holds the duty.
        fencing_token : int
            Version of the duty's row.
        may_send : callable
            Called immediately before the request is sent; returns whether this VM
            still holds the duty under this token.

        Raises
        ------
        UsageReportRefused
            If the platform rejects the report.
        UsageReportUnanswered
            If no usable response arrived, or too many calls were made.
        UsageReportWithdrawn
            If ``may_send`` returned false.
        """


class PromotionAuthority(ABC):
    """Platform service that makes a target the primary of its service."""

    @abstractmethod
    async def promote(
        self,
        service: str,
        target_id: str,
        *,
        holder: str,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> None:
        """Promote a target and return once it is the primary.

        Parameters
        ----------
        service, target_id : str
            Service, and the target to promote.
        holder : str
            VM that holds the duty.
        fencing_token : int
            Version of the duty's row.
        may_send : callable
            Called immediately before the request is sent; returns whether this VM
            still holds the duty under this token.

        Raises
        ------
        PromotionRefused
            If the target is unknown or not running.
        PromotionUnanswered
            If no usable response arrived.
        PromotionWithdrawn
            If ``may_send`` returned false.
        """
