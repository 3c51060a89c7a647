"""Positions in the replicated log of a database group."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, order=True, slots=True)
class LogPosition:
    """A log entry, named by the term that wrote it and its index.

    Parameters
    ----------
    term : int
        Term of the primary that wrote the entry.
    index : int
        Index of the entry, counted from 1; 0 is the empty log.
    """

    term: int
    index: int


@dataclass(frozen=True, slots=True)
class TermStart:
    """The first index that a term wrote."""

    term: int
    index: int


@dataclass(frozen=True, slots=True)
class Lineage:
    """Which term wrote which part of one database's log.

    Parameters
    ----------
    starts : tuple of TermStart
        Ascending starts of the retained terms.
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
        """Tell whether the log holds exactly this entry.

        Parameters
        ----------
        position : LogPosition
            Entry to look for.

        Returns
        -------
        bool
            Entries older than the retained terms count as held.
        """
        if position.index == 0:
            return True
        if position.index > self.last_index or not self.starts:
            return False
        if position.index < self.starts[0].index:
            return position.term < self.starts[0].term
        return self._term_at(position.index) == position.term

    def satisfies(self, position: LogPosition) -> bool:
        """Tell whether a session that has seen ``position`` may read this log.

        A log whose last term is newer holds every acknowledged entry of the older
        term, because a promotion starts from a majority. What it lacks of that
        term was never acknowledged.

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
