"""Command ``guavabarrow explain``."""

from __future__ import annotations

from itertools import chain
from pathlib import Path

from guavabarrow_cli.console import EXIT_USAGE, fail, print_line
from guavabarrow_cli.log_search import explain_request


def explain(request_id: str, *files: str) -> None:
    """Gather the log lines of one request and the beliefs that it relied on.

    Parameters
    ----------
    request_id : str
        Id under which the caller sent the request.
    *files : str
        Logs of the VMs; several are searched together.
    """
    if not files:
        fail("Name at least one log file.", EXIT_USAGE)
    try:
        contents = [
            Path(name).read_text(encoding="utf-8", errors="replace") for name in files
        ]
    except OSError as error:
        fail(str(error), EXIT_USAGE)
    lines = chain.from_iterable(content.splitlines() for content in contents)
    explanation = explain_request(str(request_id), lines)
    if not explanation.answers:
        fail(
            f"No line names {request_id}. Failures are logged in full and successes by "
            f"sample; {explanation.dropped} lines were left out because of the bound."
        )
    print_line("Answers:")
    for line in explanation.answers:
        print_line(f"  {line.describe()}")
    print_line("What the VMs that answered came to believe shortly before:")
    for line in explanation.beliefs:
        print_line(f"  {line.describe()}")
    if explanation.dropped:
        print_line(f"{explanation.dropped} lines were left out because of the bound.")
