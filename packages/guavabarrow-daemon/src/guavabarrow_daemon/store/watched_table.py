"""Abstract base classes of what a platform gives to VMs with connected sessions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import GuavabarrowError

if TYPE_CHECKING:
    from guavabarrow_core.session_configuration import SessionConfiguration
    from guavabarrow_core.target_directory import TargetEntry


@dataclass(frozen=True, slots=True)
class TableRow:
    """One row; ``value`` is None if it was dropped."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class TableReading:
    """Answer about rows.

    Parameters
    ----------
    rows : list of TableRow
        Rows in order.
    version : int
        Newest version of the store.
    store_s : float
        The store's steady clock, in s.
    """

    rows: list[TableRow]
    version: int
    store_s: float


@dataclass(frozen=True, slots=True)
class Written:
    """Result of a conditional write.

    Parameters
    ----------
    is_applied : bool
        Whether the conditions held.
    version : int
        Version of the rows written, if applied.
    store_s : float
        The store's steady clock, in s.
    """

    is_applied: bool
    version: int
    store_s: float


class WatchedTable(ABC):
    """One table of the platform's store."""

    @abstractmethod
    async def read(self) -> TableReading:
        """Read all rows as of one moment."""

    @abstractmethod
    async def watch(self, after: int, wait_s: float) -> TableReading:
        """Wait for rows that changed after a version.

        Raises
        ------
        HistoryDropped
            If the version is too old.
        StoreUnavailable
            If there was no answer.
        """

    @abstractmethod
    async def write(self, key: str, value: bytes | None, expected: int) -> Written:
        """Write or remove a row whose version must be ``expected``, 0 for no row."""


@dataclass(frozen=True, slots=True)
class OperatorOrders:
    """What operators want, as of one moment.

    Parameters
    ----------
    configuration : SessionConfiguration or None
        Newest configuration, None if unchanged or not written yet.
    evacuated : frozenset of str
        Failure domains whose targets get nothing.
    """

    configuration: SessionConfiguration | None
    evacuated: frozenset[str]


class OperatorSource(ABC):
    """Reads what operators wrote."""

    @abstractmethod
    async def read(self) -> tuple[OperatorOrders, TableReading]:
        """Read everything."""

    @abstractmethod
    async def watch(
        self, after: int, wait_s: float
    ) -> tuple[OperatorOrders | None, TableReading]:
        """Wait for changes; None if there were none."""

    @abstractmethod
    def decode(self, rows: list[TableRow]) -> OperatorOrders | None:
        """Translate changed rows and return everything as known now."""


class DirectorySource(ABC):
    """Reads the list of registered targets."""

    @abstractmethod
    async def read(self) -> tuple[list[TargetEntry], list[str]]:
        """Return usable entries, and the reasons why others were left out."""


class PromotionRefused(GuavabarrowError):
    """The target does not run or is unknown."""


class PromotionUnanswered(GuavabarrowError):
    """The order may or may not have been carried out."""


class PromotionAuthority(ABC):
    """Lets a target lead its service."""

    @abstractmethod
    async def promote(
        self, service: str, target_id: str, *, holder: str, fencing_token: int
    ) -> None:
        """Order that a target leads; returns once it does.

        Raises
        ------
        PromotionRefused
            If the target does not run.
        PromotionUnanswered
            If there was no answer.
        """
