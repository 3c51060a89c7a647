"""Supervision of work that nothing awaits: tasks, loops and periodic calls.

A failure is logged with its traceback and counted. Loops are restarted and periodic
calls go on, so that one unexpected value can't disable a VM that keeps running.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.python.failure import Failure

from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

MIN_RESTART_PAUSE_S = 0.25
"""Pause before a loop that failed is restarted."""

MAX_RESTART_PAUSE_S = 4.0
"""Longest pause; each failure in a row doubles it up to here."""

STABLE_AFTER_S = 10.0
"""Time after which a loop counts as recovered, so that its pause is the shortest."""

FAILING_AFTER = 3
"""Failures in a row after which a loop counts as failing."""

LOG_INTERVAL_S = 5.0
"""Interval between log lines on the failures of one task."""


class BackgroundTasks:
    """Runs coroutines and functions in the background, and reports their failures.

    Attributes
    ----------
    on_failure : list of callable
        Called with the name of each task that failed, each time it fails.
    log : callable
        Writes a log line, given an event and its fields.
    """

    def __init__(self) -> None:
        self.on_failure: list[Callable[[str], None]] = []
        self.log: Callable[..., None] = log_decision
        self._logged_at_by_task: dict[str, float] = {}
        self._unlogged_by_task: dict[str, int] = {}
        self._failures_by_loop: dict[str, int] = {}
        self._failed_at_by_loop: dict[str, float] = {}

    def failing_loops(self) -> list[str]:
        """Return the loops that fail each time they are restarted."""
        now = now_s()
        return [
            name
            for name, count in self._failures_by_loop.items()
            if count >= FAILING_AFTER
            and now - self._failed_at_by_loop[name] < STABLE_AFTER_S
        ]

    def start(self, name: str, coroutine: Coroutine[Any, Any, Any]) -> Deferred[Any]:
        """Run a coroutine.

        Parameters
        ----------
        name : str
            Stable name of the task for logs and metrics.
        coroutine : coroutine
            Coroutine to run.

        Returns
        -------
        Deferred
            Fires when the coroutine has ended, with None if it failed.
        """
        task = Deferred.fromCoroutine(coroutine)
        task.addErrback(self._record_failure, name)
        return task

    def start_loop(
        self,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        reactor: Any,
    ) -> Deferred[None]:
        """Run a coroutine that ends only when its owner stops.

        It is restarted whenever it fails, after a pause that grows from
        ``MIN_RESTART_PAUSE_S`` to ``MAX_RESTART_PAUSE_S``; see :meth:`failing_loops`.

        Parameters
        ----------
        name : str
            Stable name of the loop for logs and metrics.
        run : callable
            Creates the coroutine.
        reactor : object
            Reactor of the pauses.
        """
        return self.start(name, self._keep_running(name, run, reactor))

    def create_periodic(
        self, name: str, function: Callable[[], Any], reactor: Any
    ) -> LoopingCall:
        """Create a periodic call that goes on after a failure.

        Parameters
        ----------
        name : str
            Stable name of the call for logs and metrics.
        function : callable
            Function to call; if it returns a Deferred, the next call waits for it.
        reactor : object
            Reactor of the interval.

        Returns
        -------
        LoopingCall
            The call, not started yet.
        """

        def call() -> Any:
            try:
                result = function()
            except Exception:
                self._record_failure(Failure(), name)
                return None
            if isinstance(result, Deferred):
                result.addErrback(self._record_failure, name)
            return result

        periodic = LoopingCall(call)
        periodic.clock = reactor
        return periodic

    async def _keep_running(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]], reactor: Any
    ) -> None:
        pause_s = MIN_RESTART_PAUSE_S
        while True:
            started_at = now_s()
            try:
                await run()
                return
            except Exception:
                self._record_failure(Failure(), name)
            if now_s() - started_at > STABLE_AFTER_S:
                pause_s = MIN_RESTART_PAUSE_S
                self._failures_by_loop[name] = 0
            self._failures_by_loop[name] = self._failures_by_loop.get(name, 0) + 1
            self._failed_at_by_loop[name] = now_s()
            await deferLater(reactor, pause_s, lambda: None)
            pause_s = min(MAX_RESTART_PAUSE_S, 2.0 * pause_s)

    def _record_failure(self, failure: Failure, name: str) -> None:
        for callback in self.on_failure:
            callback(name)
        now = now_s()
        unlogged = self._unlogged_by_task.get(name, 0)
        if now - self._logged_at_by_task.get(name, float("-inf")) < LOG_INTERVAL_S:
            self._unlogged_by_task[name] = unlogged + 1
            return
        self._logged_at_by_task[name] = now
        self._unlogged_by_task[name] = 0
        self.log(
            "background_task_failed",
            task=name,
            error=failure.getTraceback(),
            unlogged_failures=unlogged,
        )
