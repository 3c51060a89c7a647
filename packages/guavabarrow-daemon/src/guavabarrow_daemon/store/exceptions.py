"""Errors of the platform's store."""

from __future__ import annotations

from guavabarrow_core.exceptions import GuavabarrowError


class StoreUnavailable(GuavabarrowError):
    """The store is unreachable or returned no usable response.

    Parameters
    ----------
    detail : str
        Description of the failure.
    is_not_applied : bool
        Whether it is certain that the call changed nothing.
    """

    def __init__(self, detail: str, *, is_not_applied: bool = False) -> None:
        super().__init__(detail)
        self.is_not_applied = is_not_applied


class HistoryDropped(GuavabarrowError):
    """The store no longer keeps the changes since a version; read the whole table."""
