"""Abstract base classes of the platform's services."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_daemon.store.messages import (
        Read,
        ReadAnswer,
        Transact,
        TransactAnswer,
        VmList,
    )


class TableService(ABC):
    """Transactional table service."""

    @abstractmethod
    async def transact(self, message: Transact) -> TransactAnswer:
        """Apply a conditional transaction.

        Raises
        ------
        StoreUnavailable
            If there was no answer.
        """

    @abstractmethod
    async def read(self, message: Read) -> ReadAnswer:
        """Read rows.

        Raises
        ------
        StoreUnavailable
            If there was no answer.
        """


class ObjectStore(ABC):
    """Object store."""

    @abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Store an object."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""


class VmDirectory(ABC):
    """List of live and leaving VMs, which lags."""

    @abstractmethod
    async def list_vms(self) -> VmList:
        """Return the list."""
