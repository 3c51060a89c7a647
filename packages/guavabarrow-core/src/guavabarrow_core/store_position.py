"""Position in the history of a store that may return from an older copy.

A store counts its transactions in versions. If it returns from a copy, transactions are
lost and their versions are given out again; the store then counts one era more.
"""

from __future__ import annotations

VERSION_BITS = 40
"""A store that applies 1,000 transactions a second gives out that many in 34 years."""

MAX_VERSION = 2**VERSION_BITS - 1
MAX_ERA = 2 ** (63 - VERSION_BITS) - 1
"""Positions are signed integers of 64 bits in messages and fencing tokens."""


class StorePosition(int):
    """Era and version in one number that orders by era, then by version.

    Positions of a store without eras are its versions. 0 stands for no position.

    Examples
    --------
    >>> lost = StorePosition.at(1, 26)
    >>> given_out_again = StorePosition.at(2, 26)
    >>> given_out_again > lost, str(given_out_again)
    (True, '2.26')
    >>> StorePosition(26).era, StorePosition(26).version
    (0, 26)
    """

    __slots__ = ()

    @classmethod
    def at(cls, era: int, version: int) -> StorePosition:
        """Return the position of a version in an era.

        Raises
        ------
        ValueError
            If one of them is negative or too large.
        """
        if not (0 <= era <= MAX_ERA and 0 <= version <= MAX_VERSION):
            raise ValueError(f"not a position of a store: era {era}, version {version}")
        return cls(era << VERSION_BITS | version)

    @property
    def era(self) -> int:
        """Number of times that the store has returned from a copy."""
        return self >> VERSION_BITS

    @property
    def version(self) -> int:
        """Version within the era."""
        return self & MAX_VERSION

    def __str__(self) -> str:
        return f"{self.era}.{self.version}"


NO_POSITION = StorePosition(0)
