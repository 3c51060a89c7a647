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
            If no usable response arrived.
        """

    @abstractmethod
    async def read(self, message: Read) -> ReadAnswer:
        """Read rows.

        Raises
        ------
        StoreUnavailable
            If no usable response arrived.
        """


class ObjectStore(ABC):
    """Store of named objects."""

    @abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Store an object."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""


class VmDirectory(ABC):
    """List of live and leaving VMs; may be out of date."""

    @abstractmethod
    async def list_vms(self) -> VmList:
        """Return the current list."""
