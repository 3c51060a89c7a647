"""Configuration changes that operators submit."""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

import msgspec

from guavabarrow_core.exceptions import ConfigurationError
from guavabarrow_core.fleet import (
    DomainState,
    FailureDomain,
    Fleet,
    OpenRoute,
    Service,
    Target,
    TargetState,
    Team,
    Template,
)

Entry = TypeVar("Entry")
NamedEntry = TypeVar("NamedEntry", Template, Team, Service, FailureDomain, OpenRoute)


class PutTemplate(msgspec.Struct, tag=True, frozen=True):
    """Create or replace a template."""

    template: Template


class PutTeam(msgspec.Struct, tag=True, frozen=True):
    """Create or replace a team; it keeps its keys unless the new entry has some."""

    team: Team


class PutService(msgspec.Struct, tag=True, frozen=True):
    """Create or replace a service."""

    service: Service


class PutDomain(msgspec.Struct, tag=True, frozen=True):
    """Create or replace a failure domain."""

    domain: FailureDomain


class PutOpenRoute(msgspec.Struct, tag=True, frozen=True):
    """Create or replace an open route."""

    route: OpenRoute


class SetDomainState(msgspec.Struct, tag=True, frozen=True):
    """Take a failure domain out of service or return it to service."""

    domain: str
    state: DomainState


class SetTargetState(msgspec.Struct, tag=True, frozen=True):
    """Mark a target as leaving or active."""

    service: str
    target: str
    state: TargetState


class GiveKey(msgspec.Struct, tag=True, frozen=True):
    """Add a key to a team."""

    team: str
    key_id: str
    key_hash: str


class WithdrawKey(msgspec.Struct, tag=True, frozen=True):
    """Revoke a key of a team."""

    team: str
    key_id: str


class RemoveTeam(msgspec.Struct, tag=True, frozen=True):
    """Remove a team and its keys."""

    team: str


Change = (
    PutTemplate
    | PutTeam
    | PutService
    | PutDomain
    | PutOpenRoute
    | SetDomainState
    | SetTargetState
    | GiveKey
    | WithdrawKey
    | RemoveTeam
)


class Revision(msgspec.Struct, frozen=True):
    """One revision in the configuration chain.

    Parameters
    ----------
    version : int
        Version that the revision produces.
    operation_id : str
        Identifies the operator's request, so that its outcome can be looked up if the
        response was lost.
    author : str
        Who made the change.
    changes : tuple of Change
        Changes, applied in order and atomically.
    """

    version: int
    operation_id: str
    author: str
    changes: tuple[Change, ...]


def apply_revision(fleet: Fleet, revision: Revision) -> Fleet:
    """Return the configuration after ``revision``.

    Parameters
    ----------
    fleet : Fleet
        Configuration before the revision.
    revision : Revision
        Revision with the next version.

    Returns
    -------
    Fleet
        Configuration after the revision.

    Raises
    ------
    ConfigurationError
        If the versions are not consecutive or the result is not valid.
    """
    if revision.version != fleet.version + 1:
        raise ConfigurationError(
            f"Revision {revision.version} does not follow version {fleet.version}."
        )
    for change in revision.changes:
        fleet = apply_change(fleet, change)
    fleet = replace(fleet, version=revision.version)
    fleet.check()
    return fleet


def apply_change(fleet: Fleet, change: Change) -> Fleet:
    """Return the configuration after one change, with the version unchanged."""
    match change:
        case PutTemplate(template):
            return replace(fleet, templates=_with_entry(fleet.templates, template))
        case PutTeam(team):
            return replace(
                fleet, teams=_with_entry(fleet.teams, _with_existing_keys(fleet, team))
            )
        case PutService(service):
            return replace(fleet, services=_with_entry(fleet.services, service))
        case PutDomain(domain):
            return replace(fleet, domains=_with_entry(fleet.domains, domain))
        case PutOpenRoute(route):
            return replace(fleet, open_routes=_with_entry(fleet.open_routes, route))
        case SetDomainState(name, state):
            domain = _get_entry(fleet.domains, name, "failure domain")
            return replace(
                fleet, domains=_with_entry(fleet.domains, replace(domain, state=state))
            )
        case SetTargetState():
            return _set_target_state(fleet, change)
        case GiveKey(team_name, key_id, key_hash):
            team = _get_entry(fleet.teams, team_name, "team")
            hashes = {**team.key_hash_by_id, key_id: key_hash}
            return _replace_keys(fleet, team, hashes)
        case WithdrawKey(team_name, key_id):
            team = _get_entry(fleet.teams, team_name, "team")
            _get_entry(team.key_hash_by_id, key_id, "key")
            hashes = {
                name: value
                for name, value in team.key_hash_by_id.items()
                if name != key_id
            }
            return _replace_keys(fleet, team, hashes)
        case RemoveTeam(team_name):
            _get_entry(fleet.teams, team_name, "team")
            teams = {
                name: team for name, team in fleet.teams.items() if name != team_name
            }
            return replace(fleet, teams=teams)
    raise ConfigurationError(f"Unknown change {type(change).__name__}.")


def _set_target_state(fleet: Fleet, change: SetTargetState) -> Fleet:
    service = _get_entry(fleet.services, change.service, "service")
    by_name: dict[str, Target] = {target.name: target for target in service.targets}
    target = _get_entry(by_name, change.target, "target")
    by_name[change.target] = replace(target, state=change.state)
    updated = replace(service, targets=tuple(by_name.values()))
    return replace(fleet, services=_with_entry(fleet.services, updated))


def _replace_keys(fleet: Fleet, team: Team, hashes: dict[str, str]) -> Fleet:
    return replace(
        fleet, teams=_with_entry(fleet.teams, replace(team, key_hash_by_id=hashes))
    )


def _with_existing_keys(fleet: Fleet, team: Team) -> Team:
    existing = fleet.teams.get(team.name)
    if existing is None or team.key_hash_by_id:
        return team
    return replace(team, key_hash_by_id=existing.key_hash_by_id)


def _with_entry(
    entries: dict[str, NamedEntry], entry: NamedEntry
) -> dict[str, NamedEntry]:
    return {**entries, entry.name: entry}


def _get_entry(entries: dict[str, Entry], name: str, kind: str) -> Entry:
    if name not in entries:
        known = ", ".join(sorted(entries)) or "none"
        raise ConfigurationError(f"No {kind} is named {name!r}; known: {known}.")
    return entries[name]
