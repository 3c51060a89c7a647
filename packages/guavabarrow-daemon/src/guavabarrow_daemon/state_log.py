"""Structured log: one line per state change; other events only count in metrics."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from guavabarrow_daemon.settings import LogSettings


def configure_log(settings: LogSettings) -> None:
    """Replace all log sinks with one on standard error.

    Parameters
    ----------
    settings : LogSettings
        Format and level.
    """
    logger.remove()
    if settings.format == "console":
        line = "{time:HH:mm:ss.SSS} {level: <7} {message} {extra}"
        logger.add(sys.stderr, level=settings.level, format=line)
    else:
        logger.add(_write_json, level=settings.level)


def log_state(vm: str, event: str, **fields: object) -> None:
    """Log a state change.

    Parameters
    ----------
    vm : str
        VM whose state changed.
    event : str
        Stable name of the event.
    **fields : object
        Details, which must not include keys or statement parameters.
    """
    logger.bind(vm=vm, **fields).info(event)


def _write_json(message: Message) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
