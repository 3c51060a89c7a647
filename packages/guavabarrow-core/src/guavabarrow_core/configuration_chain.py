"""The chain of configuration revisions: copies on VMs, and changes by operators."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import ConfigurationConflict, ConfigurationError
from guavabarrow_core.fleet import Fleet
from guavabarrow_core.fleet_change import Change, Revision, apply_revision

if TYPE_CHECKING:
    from collections.abc import Iterable

RETAINED_REVISIONS = 256
MAX_WRITE_ATTEMPTS = 8


class ConfigurationChain:
    """Copy of the configuration, to which revisions are applied in order.

    The version never decreases.

    Examples
    --------
    >>> chain = ConfigurationChain()
    >>> [chain.install_snapshot(Fleet(version=number)) for number in (4, 3)]
    [True, False]
    >>> chain.fleet.version
    4
    """

    def __init__(self) -> None:
        self.fleet = Fleet()
        self._revisions: deque[Revision] = deque(maxlen=RETAINED_REVISIONS)

    @property
    def version(self) -> int:
        """Version in effect on this VM, 0 if it has none."""
        return self.fleet.version

    def install_snapshot(self, fleet: Fleet) -> bool:
        """Replace the configuration with a newer snapshot.

        Parameters
        ----------
        fleet : Fleet
            Snapshot from the store or a peer.

        Returns
        -------
        bool
            False if it is not newer than the version in effect.
        """
        if fleet.version <= self.version:
            return False
        self.fleet = fleet
        self._revisions.clear()
        return True

    def extend(self, revisions: Iterable[Revision]) -> int:
        """Apply the revisions that follow the version in effect.

        Parameters
        ----------
        revisions : iterable of Revision
            May include revisions already applied; those after a gap are ignored.

        Returns
        -------
        int
            Number of revisions applied.
        """
        applied = 0
        for revision in sorted(revisions, key=lambda item: item.version):
            if revision.version <= self.version:
                continue
            if revision.version != self.version + 1:
                break
            self.fleet = apply_revision(self.fleet, revision)
            self._revisions.append(revision)
            applied += 1
        return applied

    def revisions_after(self, version: int) -> list[Revision] | None:
        """Return the revisions after ``version``.

        Returns
        -------
        list of Revision or None
            None if they are no longer retained and a snapshot is needed.
        """
        if version >= self.version:
            return []
        newer = [item for item in self._revisions if item.version > version]
        if not newer or newer[0].version != version + 1:
            return None
        return newer


@dataclass(frozen=True, slots=True)
class ReadChain:
    """Read the head and the revisions after ``after_version`` from the store."""

    after_version: int


@dataclass(frozen=True, slots=True)
class WriteRevision:
    """Append ``revision`` if the head is still the version before it."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change was committed as ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class ChainRead:
    """Response to :class:`ReadChain`: revisions in order up to the head."""

    revisions: tuple[Revision, ...]


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """Response to :class:`WriteRevision`; not written if the head had changed."""

    written: bool


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The store did not respond; a write may have taken effect."""


OperationEvent = ChainRead | WriteAnswered | AnswerLost
OperationAction = ReadChain | WriteRevision | Accepted


class ChangeOperation:
    """One operator's change, carried through lost responses and concurrent changes.

    Parameters
    ----------
    base : Fleet
        Configuration that the change is based on.
    changes : tuple of Change
        Changes, applied atomically.
    operation_id : str
        Unique id of this request.
    author : str
        Who made the change.
    """

    def __init__(
        self,
        base: Fleet,
        changes: tuple[Change, ...],
        *,
        operation_id: str,
        author: str,
    ) -> None:
        self._base = base
        self._attempts = 0
        self.revision = Revision(base.version + 1, operation_id, author, changes)
        apply_revision(base, self.revision)

    def start(self) -> OperationAction:
        """Return the first action."""
        return ReadChain(self._base.version)

    def step(self, event: OperationEvent) -> OperationAction:
        """Process the response to the last action.

        Parameters
        ----------
        event : OperationEvent
            Response of the store.

        Returns
        -------
        OperationAction
            Next action; :class:`Accepted` ends the operation.

        Raises
        ------
        ConfigurationConflict
            If another change was committed first.
        ConfigurationError
            If the store does not respond. The change may have been committed;
            repeating it with the same operation id resolves the outcome.
        """
        match event:
            case ChainRead(revisions):
                return self._handle_revisions(revisions)
            case WriteAnswered(written):
                if written:
                    return Accepted(self.revision.version)
                return ReadChain(self._base.version)
            case AnswerLost():
                return self._retry()

    def _handle_revisions(self, revisions: tuple[Revision, ...]) -> OperationAction:
        for revision in revisions:
            if revision.operation_id == self.revision.operation_id:
                return Accepted(revision.version)
        if revisions:
            raise ConfigurationConflict(
                expected=self._base.version, actual=revisions[-1].version
            )
        return WriteRevision(self.revision)

    def _retry(self) -> OperationAction:
        self._attempts += 1
        if self._attempts >= MAX_WRITE_ATTEMPTS:
            raise ConfigurationError(
                "The platform's store does not answer, so the outcome of the change "
                "is unknown. Repeat it with the same operation id "
                f"{self.revision.operation_id}."
            )
        return ReadChain(self._base.version)
