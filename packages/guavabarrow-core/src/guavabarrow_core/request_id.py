"""Request ids that contain their creation time (UUID version 7, RFC 9562)."""

from __future__ import annotations

import os
from uuid import UUID

from guavabarrow_core.exceptions import BadRequest, RequestIdExpired

RETENTION_S = 24 * 3600.0
FUTURE_TOLERANCE_S = 300.0
UUID_VERSION = 7


def create_request_id(unix_s: float, entropy: bytes | None = None) -> str:
    """Return a new request id.

    Parameters
    ----------
    unix_s : float
        Time of creation, seconds since 1970.
    entropy : bytes of length 10, optional
        Random part; taken from the operating system by default.

    Returns
    -------
    str
        Canonical text of the UUID.

    Examples
    --------
    >>> create_request_id(1.5, bytes(10))
    '00000000-05dc-7000-8000-000000000000'
    """
    tail = bytearray(entropy if entropy is not None else os.urandom(10))
    tail[0] = (tail[0] & 0x0F) | (UUID_VERSION << 4)
    tail[2] = (tail[2] & 0x3F) | 0x80
    return str(UUID(bytes=int(unix_s * 1000).to_bytes(6, "big") + bytes(tail)))


def check_request_id(text: str, *, unix_s: float) -> str:
    """Validate a request id against the retention window of outcomes.

    Parameters
    ----------
    text : str
        Header value as received.
    unix_s : float
        Current time, seconds since 1970.

    Returns
    -------
    str
        Canonical text of the id.

    Raises
    ------
    BadRequest
        If it is not a UUID of version 7.
    RequestIdExpired
        If its outcome may no longer be retained, or its time is in the future.
    """
    try:
        parsed = UUID(text)
    except ValueError:
        raise BadRequest("Request-Id must be a UUID of version 7.") from None
    if parsed.version != UUID_VERSION:
        raise BadRequest("Request-Id must be a UUID of version 7.")
    created_s = int.from_bytes(parsed.bytes[:6], "big") / 1000
    if created_s < unix_s - RETENTION_S:
        raise RequestIdExpired(
            "Request-Id is older than the retention of outcomes (24 h); not run."
        )
    if created_s > unix_s + FUTURE_TOLERANCE_S:
        raise RequestIdExpired("Request-Id lies in the future; set the clock; not run.")
    return str(parsed)
