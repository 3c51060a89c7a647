"""Decoding of bytes from outside of the process, with one typed error."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from guavabarrow_core.exceptions import GuavabarrowError

if TYPE_CHECKING:
    from msgspec.json import Decoder as JsonDecoder
    from msgspec.msgpack import Decoder as MessagePackDecoder

T = TypeVar("T")

MAX_DETAIL_LENGTH = 200
"""Length of a reason in characters; reasons quote values of any length."""


class UndecodableValue(GuavabarrowError):
    """Bytes that are malformed or do not hold the expected fields.

    Parameters
    ----------
    detail : str
        Reason, shortened to ``MAX_DETAIL_LENGTH``.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(shorten(detail))


def shorten(text: str) -> str:
    """Return a text for a log line, cut to ``MAX_DETAIL_LENGTH`` characters.

    Examples
    --------
    >>> len(shorten("x" * 100_000))
    200
    """
    if len(text) <= MAX_DETAIL_LENGTH:
        return text
    return f"{text[: MAX_DETAIL_LENGTH - 3]}..."


def decode_value(decoder: JsonDecoder[T] | MessagePackDecoder[T], data: bytes) -> T:
    """Decode bytes that another process wrote.

    Parameters
    ----------
    decoder : Decoder
        Decoder of the expected type.
    data : bytes
        Received bytes.

    Raises
    ------
    UndecodableValue
        If the bytes are malformed, nested too deeply or of another type.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError) as error:
        raise UndecodableValue(str(error)) from error
    except RecursionError as error:
        raise UndecodableValue("The value is nested too deeply.") from error
