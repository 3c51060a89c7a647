"""Positions in the replicated log of a database group."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, order=True, slots=True)
class LogPosition:
    """Position of a log entry: the term that wrote it and its index.

    Parameters
    ----------
    term : int
        Term of the primary that wrote the entry.
    index : int
        Index of the entry, starting at 1; 0 denotes the empty log.
    """

    term: int
    index: int


def reaches(end: LogPosition | None, required: LogPosition | None) -> bool:
    """Return whether a log that ends at ``end`` contains a position.

    Parameters
    ----------
    end : LogPosition or None
        End of the log, None if it holds nothing.
    required : LogPosition or None
        The position, None if nothing is required.

    Examples
    --------
    >>> reaches(LogPosition(2, 1), LogPosition(1, 9)), reaches(None, LogPosition(1, 0))
    (True, False)
    >>> reaches(None, None)
    True
    """
    return required is None or (end is not None and end >= required)


@dataclass(frozen=True, slots=True)
class TermStart:
    """First index that was written in a term."""

    term: int
    index: int


@dataclass(frozen=True, slots=True)
class Lineage:
    """History of the terms that wrote one database's log.

    Parameters
    ----------
    starts : tuple of TermStart
        Starts of the retained terms, in ascending order.
    last_index : int
        Index of the last entry.

    Attributes
    ----------
    last : LogPosition
        Position of the last entry.

    Examples
    --------
    >>> lineage = Lineage((TermStart(1, 1), TermStart(3, 8)), last_index=9)
    >>> lineage.contains(LogPosition(1, 7))
    True
    >>> lineage.contains(LogPosition(1, 8))
    False
    >>> lineage.satisfies(LogPosition(1, 8))
    True
    >>> lineage.satisfies(LogPosition(3, 10))
    False
    """

    starts: tuple[TermStart, ...] = ()
    last_index: int = 0
    last: LogPosition = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        last = LogPosition(0, 0)
        if self.starts:
            last = LogPosition(self.starts[-1].term, self.last_index)
        object.__setattr__(self, "last", last)

    def contains(self, position: LogPosition) -> bool:
        """Return whether the log holds exactly this entry.

        Parameters
        ----------
        position : LogPosition
            Entry to look for.

        Returns
        -------
        bool
            True also for entries of terms before the retained ones.
        """
        if position.index == 0:
            return True
        if position.index > self.last_index or not self.starts:
            return False
        if position.index < self.starts[0].index:
            return position.term < self.starts[0].term
        return self._term_at(position.index) == position.term

    def satisfies(self, position: LogPosition) -> bool:
        """Return whether a session that has seen ``position`` may read this log.

        A log whose last term is newer holds every acknowledged entry of the older
        term, because a promotion requires the logs of a majority. Entries of that
        term that it lacks were never acknowledged.

        Parameters
        ----------
        position : LogPosition
            Highest position that the session has seen.

        Returns
        -------
        bool
            True if no acknowledged entry up to ``position`` is missing.
        """
        if self.last.term > position.term:
            return True
        return self.last.term == position.term and self.last_index >= position.index

    def _term_at(self, index: int) -> int:
        term = 0
        for start in self.starts:
            if start.index > index:
                break
            term = start.term
        return term
