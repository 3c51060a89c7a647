"""Decoding of bytes from outside of the process, with one typed error."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from guavabarrow_core.exceptions import GuavabarrowError

if TYPE_CHECKING:
    from msgspec.json import Decoder as JsonDecoder
    from msgspec.msgpack import Decoder as MessagePackDecoder

T = TypeVar("T")


class UndecodableValue(GuavabarrowError):
    """Bytes that are malformed or do not hold the expected fields."""


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
