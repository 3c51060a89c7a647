"""Command ``guavabarrow replay``."""

from __future__ import annotations

from pathlib import Path

from guavabarrow_cli.console import EXIT_USAGE, fail, print_line
from guavabarrow_core.trace import TraceError
from guavabarrow_core.trace import replay as replay_trace


def replay(trace: str) -> None:
    """Replay a recorded trace through the core and compare its decisions.

    Parameters
    ----------
    trace : str
        Trace file recorded by a VM with the setting ``trace``. Lines with expected
        outcomes may be appended: {"type": "outcome", "group": NAME, "promoted": [...]}.
    """
    try:
        with Path(trace).open("rb") as trace_file:
            steps, differences = replay_trace(trace_file)
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
