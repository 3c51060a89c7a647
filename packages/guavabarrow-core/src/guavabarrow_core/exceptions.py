"""Exceptions shared by all packages.

Every error that reaches a caller over HTTP is a :class:`RequestError`, which has a
stable code, an HTTP status and the execution status of the request.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavabarrow_core.session_messages import FailureCode


class ExecutionStatus(Enum):
    """Whether a request was executed."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RAN = "ran"


class GuavabarrowError(Exception):
    """Base class of all exceptions raised by guavabarrow."""


class TokenError(GuavabarrowError):
    """A session token that is malformed, forged or belongs to another team."""


class InvalidEntry(GuavabarrowError):
    """A registration that names no target that can be used."""


class ConfigurationError(GuavabarrowError):
    """A configuration document or change that is not valid."""


class ConfigurationConflict(GuavabarrowError):
    """A change was based on a version that is no longer the head.

    Parameters
    ----------
    expected : int
        Version that the change was based on.
    actual : int
        Version found at the head of the chain.
    """

    def __init__(self, *, expected: int, actual: int) -> None:
        super().__init__(
            f"The change was based on version {expected}, the head is {actual}. "
            "Read the configuration again and repeat the change."
        )
        self.expected = expected
        self.actual = actual


class RequestError(GuavabarrowError):
    """A failed request.

    Parameters
    ----------
    detail : str
        What happened and what the caller can do about it.
    retry_after_s : float or None
        Seconds after which a retry may succeed.

    Attributes
    ----------
    code : str
        Stable machine-readable name.
    status : int
        HTTP status code.
    ran : ExecutionStatus
        Whether the request was executed.
    """

    code = "internal"
    status = 500
    ran = ExecutionStatus.NOT_RUN

    def __init__(self, detail: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = retry_after_s


class BadRequest(RequestError):
    """The request is malformed."""

    code = "bad_request"
    status = 400


class BodyTooLarge(RequestError):
    """The body exceeds the configured limit."""

    code = "body_too_large"
    status = 413


class RequestIdRequired(RequestError):
    """A non-idempotent write has no request id."""

    code = "request_id_required"
    status = 400


class RequestIdExpired(RequestError):
    """The request id lies outside of the retention window of outcomes."""

    code = "request_id_expired"
    status = 400


class RequestIdReused(RequestError):
    """The request id was already used with a different body."""

    code = "request_id_reused"
    status = 409


class BadToken(RequestError):
    """The session token cannot be used."""

    code = "bad_session_token"
    status = 400


class KeyInStatement(RequestError):
    """The body contains the caller's key, which must never be sent to targets."""

    code = "key_in_statement"
    status = 400


class Unauthenticated(RequestError):
    """The key is missing, unknown or revoked."""

    code = "unauthenticated"
    status = 401


class ServiceNotAllowed(RequestError):
    """The team may not use the named service."""

    code = "service_not_allowed"
    status = 403


class UnknownRoute(RequestError):
    """No resource has this path."""

    code = "unknown_route"
    status = 404


class UnknownTransaction(RequestError):
    """The transaction has ended, has expired or was opened on another VM."""

    code = "unknown_transaction"
    status = 404


class StatementFailed(RequestError):
    """The database rejected the statement; it had no effect."""

    code = "statement_failed"
    status = 422


class RateExceeded(RequestError):
    """The team exceeds its rate and burst."""

    code = "rate_exceeded"
    status = 429


class Draining(RequestError):
    """This VM or its failure domain accepts no new work."""

    code = "draining"
    status = 503


class NoConfiguration(RequestError):
    """This VM has no configuration yet."""

    code = "no_configuration"
    status = 503


class Overloaded(RequestError):
    """The queue in front of the database is full or the deadline cannot be met."""

    code = "overloaded"
    status = 503


class DeadlineExceeded(RequestError):
    """The deadline passed before the request was sent to a database."""

    code = "deadline_exceeded"
    status = 504


class NoPrimary(RequestError):
    """The database group has no primary that this VM can use."""

    code = "no_primary"
    status = 503


class NoFreshDatabase(RequestError):
    """No reachable database satisfies the session token or the maximum age."""

    code = "no_database_fresh_enough"
    status = 503


class OutcomeUnknown(RequestError):
    """The request may have run; a retry with the same request id resolves this."""

    code = "outcome_unknown"
    status = 504
    ran = ExecutionStatus.OUTCOME_UNKNOWN


class TransactionLost(RequestError):
    """The connection of an open transaction broke; the database rolls it back."""

    code = "transaction_lost"
    status = 409


class SessionError(GuavabarrowError):
    """A failed statement or connection-based session.

    Parameters
    ----------
    code : FailureCode
        Code that is reported to the caller.
    detail : str
        What happened.
    retry_after_s : float or None
        Seconds after which a retry may succeed.
    """

    def __init__(
        self, code: FailureCode, detail: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(f"{code.value}: {detail}")
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s
