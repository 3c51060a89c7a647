"""Session values and prepared statements, and how to restore them on a connection.

Target connections are pooled and serve several sessions in turn. Before a session's
statement runs, the connection is set to exactly the values that were acknowledged to
the session. Prepared statements get a name derived from their shape alone, so that
sessions with different names for one shape share it and their names never collide.
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
        """Name of the prepared statement on target connections."""
        return f"g{'w' if self.writes else 'r'}_{self.shape}"


@dataclass(slots=True)
class SessionValues:
    """Values and prepared statements that were acknowledged to a session."""

    by_name: dict[str, str] = field(default_factory=dict)
    prepared_by_name: dict[str, PreparedShape] = field(default_factory=dict)


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
