"""Output of the commands: tables, JSON and exit codes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NoReturn

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_NOT_APPLIED = 3


def print_json(value: object) -> None:
    """Print a value as one indented JSON document."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    sys.stdout.write(text.decode() + "\n")


def print_line(text: str) -> None:
    """Print one line and flush the output."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print aligned columns.

    Examples
    --------
    >>> print_table(("vm", "state"), [("vm-1", "alive")])
    vm    state
    vm-1  alive
    """
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print_line("  ".join(padded).rstrip())


def fail(message: str, exit_code: int = EXIT_FAILED) -> NoReturn:
    """Print a message to standard error and exit."""
    sys.stderr.write(message + "\n")
    sys.exit(exit_code)
