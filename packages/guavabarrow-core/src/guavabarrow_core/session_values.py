"""Session values and prepared statements, and how to restore them on a connection.

Target connections are pooled and serve several sessions in turn. Before a session's
statement runs, the connection is set to exactly the values that were acknowledged to
the session. Prepared statements get a name derived from their shape alone, so that
sessions with different names for one shape share it and their names never collide. The
name is a digest, because spaces in a shape would split it into several words.
"""

from __future__ import annotations

from base64 import urlsafe_b64encode
from dataclasses import dataclass, field
from hashlib import blake2b

NAME_DIGEST_BYTES = 16
"""Length of the digest; callers choose the shapes, so collisions must be infeasible."""


@dataclass(frozen=True, slots=True)
class PreparedShape:
    """A prepared statement.

    Parameters
    ----------
    shape : str
        Shape of the statement: any text.
    writes : bool
        Whether it writes.

    Attributes
    ----------
    shared_name : str
        Name of the prepared statement on target connections: one word, whatever the
        shape contains, and another one for each shape and mode.

    Examples
    --------
    >>> PreparedShape("orders by day", writes=False).shared_name
    'rjeaeuEh7OKaGcJLPkPPqsA'
    """

    shape: str
    writes: bool
    shared_name: str = field(init=False, compare=False)

    def __post_init__(self) -> None:
        digest = blake2b(self.shape.encode(), digest_size=NAME_DIGEST_BYTES).digest()
        name = urlsafe_b64encode(digest).decode().rstrip("=")
        mode = "w" if self.writes else "r"
        object.__setattr__(self, "shared_name", f"{mode}{name}")


ENTRY_OVERHEAD_BYTES = 400
"""Memory of an entry beside its text: objects, a slot of the dictionary, the digest."""


@dataclass(slots=True)
class SessionValues:
    """Values and prepared statements that were acknowledged to a session.

    Examples
    --------
    >>> values = SessionValues(by_name={"zone": "north"})
    >>> values.growth_of_value("zone", "south-east")
    5
    """

    by_name: dict[str, str] = field(default_factory=dict)
    prepared_by_name: dict[str, PreparedShape] = field(default_factory=dict)

    def growth_of_value(self, name: str, value: str) -> int:
        """Return how many bytes more a session holds once a value is set."""
        former = self.by_name.get(name)
        return _entry_bytes(name, value) - _entry_bytes(name, former)

    def growth_of_prepared(self, name: str, shape: PreparedShape | None) -> int:
        """Return the same of a prepared statement, None if it is removed."""
        former = self.prepared_by_name.get(name)
        former_text = former.shape if former is not None else None
        text = shape.shape if shape is not None else None
        return _entry_bytes(name, text) - _entry_bytes(name, former_text)


def _entry_bytes(name: str, text: str | None) -> int:
    if text is None:
        return 0
    return ENTRY_OVERHEAD_BYTES + len(name.encode()) + len(text.encode())


@dataclass(frozen=True, slots=True)
class RestorePlan:
    """Steps that give a connection the state that a session's statement needs.

    Parameters
    ----------
    reset : bool
        Whether to discard all values and prepared statements first.
    values : tuple of (str, str)
        Values to set.
    prepare : tuple of PreparedShape
        Statements to prepare.
    """

    reset: bool = False
    values: tuple[tuple[str, str], ...] = ()
    prepare: tuple[PreparedShape, ...] = ()


@dataclass(slots=True)
class ConnectionValues:
    """Values and prepared statements that are set on a target connection.

    Examples
    --------
    >>> connection = ConnectionValues()
    >>> session = SessionValues(by_name={"zone": "north"})
    >>> plan = connection.plan(session, None)
    >>> plan.values
    (('zone', 'north'),)
    >>> connection.apply(plan)
    >>> connection.plan(SessionValues(), None).reset
    True
    """

    by_name: dict[str, str] = field(default_factory=dict)
    shared_names: set[str] = field(default_factory=set)

    def plan(self, session: SessionValues, needed: PreparedShape | None) -> RestorePlan:
        """Plan the steps before a statement of ``session``.

        Parameters
        ----------
        session : SessionValues
            Values that the session has set.
        needed : PreparedShape or None
            Prepared statement that is about to run.

        Returns
        -------
        RestorePlan
            Empty if the connection already matches.
        """
        reset = any(name not in session.by_name for name in self.by_name)
        current = {} if reset else self.by_name
        values = tuple(
            (name, value)
            for name, value in session.by_name.items()
            if current.get(name) != value
        )
        is_prepared = needed is None or (
            not reset and needed.shared_name in self.shared_names
        )
        prepare = () if needed is None or is_prepared else (needed,)
        return RestorePlan(reset, values, prepare)

    def apply(self, plan: RestorePlan) -> None:
        """Record that a plan was sent."""
        if plan.reset:
            self.by_name.clear()
            self.shared_names.clear()
        self.by_name.update(plan.values)
        self.shared_names.update(shape.shared_name for shape in plan.prepare)
