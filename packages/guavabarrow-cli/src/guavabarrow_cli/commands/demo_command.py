"""Command ``guavabarrow demo``."""

from __future__ import annotations

from loguru import logger
from twisted.internet import reactor

from guavabarrow_cli.demo import Demo
from guavabarrow_cli.run_in_reactor import run_in_reactor
from guavabarrow_daemon.settings import LogSettings
from guavabarrow_daemon.state_log import configure_log


def demo(verbose: bool = False) -> None:
    """Run a fleet in this process and show its behaviour during failures.

    Parameters
    ----------
    verbose : bool
        Also print the log of the VMs.
    """
    if verbose:
        configure_log(LogSettings(format="console"))
    else:
        logger.remove()
    run_in_reactor(reactor, lambda: Demo(reactor).run())
