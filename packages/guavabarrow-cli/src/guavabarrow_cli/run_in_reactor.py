"""Runs one coroutine in a reactor and ends the process with its result."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_cli.console import EXIT_FAILED

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.python.failure import Failure


def run_in_reactor(
    reactor: Any, start: Callable[[], Coroutine[Any, Any, object]]
) -> Any:
    """Run a coroutine until it ends.

    Parameters
    ----------
    reactor : object
        Reactor that is not running yet.
    start : callable
        Returns the coroutine.

    Returns
    -------
    object
        Result of the coroutine; a failure ends the process with status 1.
    """
    results: list[Any] = []
    failures: list[Failure] = []

    def run() -> None:
        done = Deferred.fromCoroutine(start())
        done.addCallbacks(results.append, failures.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(run)
    reactor.run()
    if failures:
        failures[0].printTraceback(sys.stderr)
        sys.exit(EXIT_FAILED)
    return results[0]
