"""Errors of a platform's store."""

from __future__ import annotations

from guavabarrow_core.exceptions import GuavabarrowError


class StoreUnavailable(GuavabarrowError):
    """The store gave no usable answer.

    Parameters
    ----------
    detail : str
        What happened.
    is_undone : bool
        Whether it is certain that nothing was changed.
    """

    def __init__(self, detail: str, *, is_undone: bool = False) -> None:
        super().__init__(detail)
        self.is_undone = is_undone


class HistoryDropped(GuavabarrowError):
    """Changes since the given version are no longer known; read everything."""
