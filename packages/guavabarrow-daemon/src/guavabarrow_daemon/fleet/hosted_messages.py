"""Messages between a VM and the host of a service, about single statements.

They are sent for each statement, so their fields have short names on the wire and are
omitted while they have their defaults.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from guavabarrow_core.session_configuration import Consistency
from guavabarrow_core.session_messages import (
    FailureCode,
    StatementKind,
    TransactionState,
)


class HostedOperation(Enum):
    """What a host does with a statement. Values are part of the message format."""

    READ = 1
    WRITE = 2
    BEGIN = 3
    BEGIN_READ_ONLY = 4
    IN_TRANSACTION = 5
    ROLL_BACK = 6


class HostedStatement(
    msgspec.Struct,
    frozen=True,
    tag="run",
    omit_defaults=True,
    rename={
        "number": "n",
        "operation": "o",
        "transaction": "x",
        "service": "s",
        "sent_at": "@",
        "remaining_s": "l",
        "request_id": "i",
        "kind": "k",
        "text": "t",
        "argument_size": "a",
        "writes": "w",
        "shape": "p",
        "team": "g",
        "consistency": "c",
        "max_age_s": "m",
        "priority": "y",
        "timeout_s": "d",
        "objective_s": "b",
        "values": "v",
        "position": "z",
    },
):
    """Asks the host of a service to run a statement.

    Parameters
    ----------
    number : int
        Identifies the statement in the reply, and a transaction that it begins.
    operation : HostedOperation
        What to do.
    transaction : int
        Number of the statement that began the transaction, 0 outside of one.
    service : str
        The service.
    sent_at : float
        Time of sending on the sender's clock, in s.
    remaining_s : float
        Time until the statement times out, in s.
    request_id : str
        Caller's id of the statement.
    kind : StatementKind
        Kind of the statement.
    text : str
        Text of the statement.
    argument_size : int
        Length of its argument, which is the end of the text.
    writes : bool
        Whether it writes.
    shape : tuple of (str, bool) or None
        Shape of the prepared statement that it executes, and whether that writes.
    team : str
        Team that it runs for.
    consistency, max_age_s, priority, timeout_s, objective_s
        As in ``Route``.
    values : dict of str to str
        Session values.
    position : tuple of (int, int) or None
        Term and index of the session's last commit.
    """

    number: int
    operation: HostedOperation
    transaction: int = 0
    service: str = ""
    sent_at: float = 0.0
    remaining_s: float = 0.0
    request_id: str = ""
    kind: StatementKind = StatementKind.READ
    text: str = ""
    argument_size: int = 0
    writes: bool = False
    shape: tuple[str, bool] | None = None
    team: str = ""
    consistency: Consistency = Consistency.PRIMARY
    max_age_s: float = 0.0
    priority: int = 1
    timeout_s: float = 1.0
    objective_s: float = 0.5
    values: dict[str, str] = {}
    position: tuple[int, int] | None = None


class HostedReply(
    msgspec.Struct,
    frozen=True,
    tag="ran",
    omit_defaults=True,
    rename={
        "number": "n",
        "rows": "r",
        "signature": "g",
        "code": "c",
        "detail": "d",
        "is_refusal": "f",
        "retry_after_s": "a",
        "state": "s",
        "position": "z",
        "at_primary": "p",
        "has_ended": "e",
        "failed_attempts": "t",
        "was_sent_to_target": "w",
        "is_superseded": "u",
    },
):
    """Answer to :class:`HostedStatement`.

    Parameters
    ----------
    number : int
        Number of the statement.
    rows : tuple of str
        Rows of the result.
    signature : str
        Signature of the target.
    code : FailureCode or None
        Why the statement failed, None if it succeeded.
    detail : str
        What happened if it failed.
    is_refusal : bool
        Whether the failure is the host's, not a reply of the target.
    retry_after_s : float or None
        Time after which a retry may succeed, in s.
    state : TransactionState
        Transaction state after the statement.
    position : tuple of (int, int) or None
        Term and index of the target's log.
    at_primary : bool
        Whether the target of a transaction was chosen as the primary.
    has_ended : bool
        Whether the statement's transaction can't go on.
    failed_attempts : tuple of str
        Target and failure code of each failed attempt.
    was_sent_to_target : bool
        Whether the caller's statement was sent to a target.
    is_superseded : bool
        Whether it was not run because the configuration changed while it waited, and
        the sender, which knows its route and key, must decide. Older versions take
        the answer for a refusal.
    """

    number: int
    rows: tuple[str, ...] = ()
    signature: str = ""
    code: FailureCode | None = None
    detail: str = ""
    is_refusal: bool = False
    retry_after_s: float | None = None
    state: TransactionState = TransactionState.IDLE
    position: tuple[int, int] | None = None
    at_primary: bool = False
    has_ended: bool = False
    failed_attempts: tuple[str, ...] = ()
    was_sent_to_target: bool = False
    is_superseded: bool = False


class HostPing(msgspec.Struct, frozen=True, tag="ping"):
    """Asks a silent host for any sign of life."""


class HostPong(msgspec.Struct, frozen=True, tag="pong"):
    """Answer to :class:`HostPing`."""
