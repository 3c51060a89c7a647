"""Abstract base class of what runs the statements of connected sessions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Generic, TypeVar

from guavabarrow_daemon.front.statement_context import TransactionHandle
from guavabarrow_daemon.kernel import Service

if TYPE_CHECKING:
    from guavabarrow_core.session_messages import Reply, Statement
    from guavabarrow_core.session_values import PreparedShape
    from guavabarrow_daemon.front.statement_context import StatementContext

TransactionT = TypeVar("TransactionT", bound=TransactionHandle)


class StatementRunner(Service, ABC, Generic[TransactionT]):
    """Runs statements, on targets or by way of another VM."""

    @abstractmethod
    async def run_read(
        self,
        context: StatementContext,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a read-only statement on any target that is fresh enough.

        Raises
        ------
        SessionError
            If no target could run it.
        RouteChanged
            If the route or team changed or was withdrawn before an attempt.
        """

    @abstractmethod
    async def run_write(
        self,
        context: StatementContext,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a single write on the primary.

        Raises
        ------
        SessionError
            If the write wasn't run, or its outcome is unknown.
        RouteChanged
            If it wasn't run and the route or team changed or was withdrawn.
        """

    @abstractmethod
    async def begin(
        self, context: StatementContext, *, is_read_only: bool
    ) -> TransactionT:
        """Open a transaction on a target.

        Raises
        ------
        SessionError
            If none could be opened; nothing was run.
        RouteChanged
            If none was opened and the route or team changed or was withdrawn.
        """

    @abstractmethod
    async def run_in_transaction(
        self,
        context: StatementContext,
        transaction: TransactionT,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a statement on the connection of its transaction.

        Raises
        ------
        SessionError
            If the transaction can't go on and is rolled back, or if the outcome of
            COMMIT is unknown.
        """

    @abstractmethod
    async def roll_back(self, transaction: TransactionT) -> None:
        """Roll back a transaction, unless it has ended."""

    @abstractmethod
    def end(self, transaction: TransactionT) -> None:
        """Release what a transaction holds; it can't go on afterwards."""
