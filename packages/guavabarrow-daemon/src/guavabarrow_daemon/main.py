"""Command line of the daemon ``guavabarrowd``."""

from __future__ import annotations

import signal
import sys
from typing import Any

import fire
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred

from guavabarrow_daemon.entry_vm import EntryVm
from guavabarrow_daemon.settings import Settings, SettingsError
from guavabarrow_daemon.state_log import configure_log

EXIT_USAGE = 2


class Commands:
    """Entry VM of the guavabarrow database proxy."""

    def run(self, config: str) -> None:
        """Run the entry VM until SIGTERM or SIGINT, which drain it.

        Parameters
        ----------
        config : str
            Settings file, JSON with comments.
        """
        settings = _load_settings(config)
        configure_log(settings.log)
        run_until_signal(settings, default_reactor)

    def check(self, config: str) -> None:
        """Validate a settings file and list all of its mistakes.

        Parameters
        ----------
        config : str
            Settings file, JSON with comments.
        """
        settings = _load_settings(config)
        sys.stdout.write(f"{config}: valid; VM {settings.vm} in {settings.domain}\n")


def run_until_signal(settings: Settings, reactor: Any) -> None:
    """Run an entry VM; the first signal drains it, a second stops it at once."""
    received_signals: list[int] = []

    def on_signal(number: int = 0, frame: object = None) -> None:
        received_signals.append(number)
        if len(received_signals) > 1:
            reactor.callFromThread(reactor.stop)
            return
        reactor.callFromThread(lambda: vm.kernel.tasks.start("shut_down", shut_down()))

    async def shut_down() -> None:
        # Its failure is logged; the services are stopped all the same.
        await vm.kernel.tasks.start("drain", vm.drain())
        await vm.stop()
        reactor.stop()

    vm = EntryVm(settings, reactor, on_drain=on_signal)
    reactor.callWhenRunning(lambda: _start_vm(vm, reactor))
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    reactor.run(installSignalHandlers=False)


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands(), name="guavabarrowd")


def _start_vm(vm: EntryVm, reactor: Any) -> None:
    started = Deferred.fromCoroutine(vm.start())

    def on_start_failure(failure: Any) -> None:
        sys.stderr.write(f"Cannot start: {failure.getErrorMessage()}\n")
        reactor.stop()

    started.addErrback(on_start_failure)


def _load_settings(path: str) -> Settings:
    try:
        return Settings.from_file(path)
    except SettingsError as error:
        for mistake in error.mistakes:
            sys.stderr.write(f"{mistake}\n")
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    main()
