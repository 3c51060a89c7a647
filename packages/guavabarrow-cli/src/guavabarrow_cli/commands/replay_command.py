"""Command ``guavabarrow replay``."""

from __future__ import annotations

from pathlib import Path

from guavabarrow_cli.console import EXIT_USAGE, fail, print_line
from guavabarrow_core.trace import TraceError
from guavabarrow_core.trace import replay as replay_lines


def replay(trace: str) -> None:
    """Replay a recorded trace into the core and compare what it decides.

    Parameters
    ----------
    trace : str
        File that a VM recorded with the setting ``trace``. Lines that state an
        outcome may be appended: {"type": "outcome", "group": NAME, "promoted": [...]}.
    """
    try:
        with Path(trace).open("rb") as lines:
            steps, differences = replay_lines(lines)
    except (OSError, TraceError) as error:
        fail(f"{trace}: {error}", EXIT_USAGE)
    for difference in differences:
        print_line(
            f"line {difference.line}: expected {difference.expected}, "
            f"got {difference.actual}"
        )
    if differences:
        fail(f"{len(differences)} differences in {steps} steps")
    print_line(f"{steps} steps replayed without a difference")
