"""Checks of a statement's text that need no SQL parser."""

from __future__ import annotations

import re

from guavabarrow_core.exceptions import BadRequest

CONTROL_KEYWORDS = frozenset(
    {
        "attach",
        "begin",
        "commit",
        "detach",
        "end",
        "pragma",
        "release",
        "rollback",
        "savepoint",
        "vacuum",
    }
)
FIRST_WORD = re.compile(r"(?:\s|--[^\n]*\n|/\*.*?\*/|;)*([A-Za-z]+)", re.DOTALL)


def check_statement(sql: str) -> None:
    """Reject statements that would escape their transaction.

    Parameters
    ----------
    sql : str
        Statement as received.

    Raises
    ------
    BadRequest
        If it is empty, controls transactions or connections, or uses a reserved name.

    Examples
    --------
    >>> check_statement("SELECT 1")
    >>> check_statement("/* x */ commit")
    Traceback (most recent call last):
    ...
    guavabarrow_core.exceptions.BadRequest: COMMIT is not allowed in a statement; \
use the transaction routes.
    """
    match = FIRST_WORD.match(sql)
    if match is None:
        raise BadRequest("The statement is empty.")
    word = match.group(1)
    if word.lower() in CONTROL_KEYWORDS:
        raise BadRequest(
            f"{word.upper()} is not allowed in a statement; use the transaction routes."
        )
    if "_gb_" in sql.lower():
        raise BadRequest("Names with _gb_ are reserved.")
