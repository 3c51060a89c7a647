"""Counts the operations that this VM sends to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.usage_counts import UsageCounter
from guavabarrow_daemon.front.session_admission import ANONYMOUS_TEAM
from guavabarrow_daemon.front.target_exchange import TargetExchange
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.usage.true_clock import TrueClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.front.statement_context import (
        OpenTransaction,
        StatementContext,
    )

COUNTED_PER_OPERATION = True
"""Whether a transaction counts once, with the first of its statements that a target
ran, or each of its statements counts. The platform doesn't specify it."""

GATHERING_TIME_S = 2.5
"""Time before a window is closed at which its counts must be final, so that they reach
the duty holder: two hops of up to 0.5 s each, and a slow link."""


class UsageCounting(Service):
    """Counts operations at the moment at which they are sent to a target.

    Parameters
    ----------
    kernel : Kernel
        Registry of services.
    window_s : float
        Length of a window, in s.
    close_after_s : float
        Time after the end of a window at which it is closed, in s.

    Attributes
    ----------
    counter : UsageCounter
        This process's counts.
    """

    name = "usage_counting"

    def __init__(self, kernel: Kernel, window_s: float, close_after_s: float) -> None:
        super().__init__(kernel)
        wait_s = max(0.0, close_after_s - GATHERING_TIME_S)
        self.counter = UsageCounter(window_s, wait_s)
        self._clock = kernel.find(TrueClock)
        self._exchange = kernel.find(TargetExchange)
        self._metric = kernel.find(SessionMetrics).usage_operations

    async def start(self) -> None:
        """Begin to count."""
        self._exchange.on_sent.append(self.on_sent)

    def on_sent(
        self, context: StatementContext, transaction: OpenTransaction | None
    ) -> Callable[[bool], None]:
        """Record that a statement was sent; the result records whether it ran."""
        is_repeated = (
            COUNTED_PER_OPERATION and transaction is not None and transaction.is_counted
        )
        if is_repeated or context.team == ANONYMOUS_TEAM:
            return _ignore
        operation = self.counter.begin(context.team, self._clock.true_s())

        def finish(has_run: bool) -> None:
            self.counter.finish(operation, has_run=has_run)
            if has_run:
                self._metric.inc()
                if transaction is not None:
                    transaction.is_counted = True

        return finish


def _ignore(has_run: bool) -> None:
    pass
