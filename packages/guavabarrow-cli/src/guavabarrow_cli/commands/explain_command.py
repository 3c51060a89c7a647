"""Command ``guavabarrow explain``."""

from __future__ import annotations

from itertools import chain
from pathlib import Path

from guavabarrow_cli.console import EXIT_USAGE, fail, print_line
from guavabarrow_cli.log_search import explain_request


def explain(request_id: str, *files: str) -> None:
    """Show the log lines of one request and the preceding state changes of its VMs.

    Parameters
    ----------
    request_id : str
        Request id sent by the caller.
    *files : str
        Log files of the VMs, searched together.
    """
    if not files:
        fail("At least one log file is required.", EXIT_USAGE)
    try:
        contents = [
            Path(name).read_text(encoding="utf-8", errors="replace") for name in files
        ]
    except OSError as error:
        fail(str(error), EXIT_USAGE)
    lines = chain.from_iterable(content.splitlines() for content in contents)
    explanation = explain_request(str(request_id), lines)
    if not explanation.request_lines:
        fail(
            f"No log line contains {request_id}. Failures are logged in full and "
            f"successes sampled; {explanation.dropped} lines exceeded the log limits."
        )
    print_line("Answers:")
    for line in explanation.request_lines:
        print_line(f"  {line.describe()}")
    print_line("Recent state changes of the VMs that answered:")
    for line in explanation.view_changes:
        print_line(f"  {line.describe()}")
    if explanation.dropped:
        print_line(f"{explanation.dropped} lines exceeded the log limits.")
