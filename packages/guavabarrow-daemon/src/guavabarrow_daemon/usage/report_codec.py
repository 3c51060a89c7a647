"""Encoding of stored usage reports."""

from __future__ import annotations

import msgspec

from guavabarrow_core.usage_report import ReportPhase, StoredReport
from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.operations.decision_log import log_decision

KEY_PREFIX = "window/"


class StoredUsage(msgspec.Struct, frozen=True):
    """Stored form of a report."""

    count_by_team: dict[str, int]
    phase: ReportPhase
    holder: str = ""


DECODER = msgspec.json.Decoder(StoredUsage)


def report_key(window: int) -> str:
    """Return the key of a window's row."""
    return f"{KEY_PREFIX}{window}"


def encode_report(report: StoredReport) -> bytes:
    """Encode a report as the value to store."""
    return msgspec.json.encode(
        StoredUsage(report.count_by_team, report.phase, report.holder)
    )


def decode_report(key: str, value: bytes | None, version: int) -> StoredReport | None:
    """Decode a stored report.

    Parameters
    ----------
    key : str
        Key of the row.
    value : bytes or None
        Stored value, None if the row was deleted.
    version : int
        Version of the row.

    Returns
    -------
    StoredReport or None
        None if the row was deleted or its key is no window. A report that can't be read
        counts as refused, because its counts can't be repeated.
    """
    number = key.removeprefix(KEY_PREFIX)
    if value is None:
        return None
    if not number.isdecimal():
        log_decision("usage_row_unreadable", key=key, detail="the key is no window")
        return None
    try:
        stored = decode_value(DECODER, value)
    except UndecodableValue as error:
        log_decision("usage_row_unreadable", key=key, detail=str(error))
        return StoredReport(int(number), {}, ReportPhase.REFUSED, version)
    return StoredReport(
        int(number), stored.count_by_team, stored.phase, version, stored.holder
    )
