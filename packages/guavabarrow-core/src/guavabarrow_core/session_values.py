"""Values and prepared statements of a session, and how to restore them elsewhere.

A target connection is shared by sessions in turn. Before a session's statement runs,
the connection is given exactly the values that the session was told are set.
Prepared statements get a name that depends on their shape alone, so that sessions
with different names for one shape share it and never collide.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PreparedShape:
    """A prepared statement.

    Parameters
    ----------
    shape : str
        Shape of the statement.
    writes : bool
        Whether it writes.

    Examples
    --------
    >>> PreparedShape("q2c", writes=True).shared_name
    'gw_q2c'
    """

    shape: str
    writes: bool

    @property
    def shared_name(self) -> str:
        """Name under which target connections know it."""
        return f"g{'w' if self.writes else 'r'}_{self.shape}"


@dataclass(slots=True)
class SessionValues:
    """Values and prepared statements that a session was told are in force."""

    by_name: dict[str, str] = field(default_factory=dict)
    prepared_by_name: dict[str, PreparedShape] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RestorePlan:
    """Steps that bring a connection to the values of a session.

    Parameters
    ----------
    reset : bool
        Whether to drop everything first.
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
    """Values and prepared statements that a target connection holds.

    Examples
    --------
    >>> held = ConnectionValues()
    >>> session = SessionValues(by_name={"zone": "north"})
    >>> plan = held.plan(session, None)
    >>> plan.values
    (('zone', 'north'),)
    >>> held.apply(plan)
    >>> held.plan(SessionValues(), None).reset
    True
    """

    by_name: dict[str, str] = field(default_factory=dict)
    shared_names: set[str] = field(default_factory=set)

    def plan(self, session: SessionValues, needed: PreparedShape | None) -> RestorePlan:
        """Plan the steps before a statement of ``session``.

        Parameters
        ----------
        session : SessionValues
            Values in force.
        needed : PreparedShape or None
            Prepared statement that is about to run.

        Returns
        -------
        RestorePlan
            Empty if the connection already matches.
        """
        reset = any(name not in session.by_name for name in self.by_name)
        held = {} if reset else self.by_name
        values = tuple(
            (name, value)
            for name, value in session.by_name.items()
            if held.get(name) != value
        )
        is_held = needed is None or (
            not reset and needed.shared_name in self.shared_names
        )
        prepare = () if needed is None or is_held else (needed,)
        return RestorePlan(reset, values, prepare)

    def apply(self, plan: RestorePlan) -> None:
        """Record that a plan was sent."""
        if plan.reset:
            self.by_name.clear()
            self.shared_names.clear()
        self.by_name.update(plan.values)
        self.shared_names.update(shape.shared_name for shape in plan.prepare)
