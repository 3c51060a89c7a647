"""Runs one coroutine in a reactor; a failure exits the process."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_cli.console import EXIT_FAILED

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.python.failure import Failure


def run_in_reactor(
    reactor: Any, create_coroutine: Callable[[], Coroutine[Any, Any, object]]
) -> Any:
    """Run a coroutine in a reactor until it completes.

    Parameters
    ----------
    reactor : object
        Reactor that has not been started.
    create_coroutine : callable
        Creates the coroutine; called once the reactor runs.

    Returns
    -------
    object
        Result of the coroutine. If it fails, the traceback is printed and the process
        exits with status 1.
    """
    results: list[Any] = []
    failures: list[Failure] = []

    def run() -> None:
        completion = Deferred.fromCoroutine(create_coroutine())
        completion.addCallbacks(results.append, failures.append)
        completion.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(run)
    reactor.run()
    if failures:
        failures[0].printTraceback(sys.stderr)
        sys.exit(EXIT_FAILED)
    return results[0]
