"""Changes of the configuration, as operators state them."""

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

Part = TypeVar("Part")
Named = TypeVar("Named", Template, Team, Service, FailureDomain, OpenRoute)


class PutTemplate(msgspec.Struct, tag=True, frozen=True):
    """Create or replace a template."""

    template: Template


class PutTeam(msgspec.Struct, tag=True, frozen=True):
    """Create or replace a team; its keys are kept."""

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
    """Take a failure domain out of service or back."""

    domain: str
    state: DomainState


class SetTargetState(msgspec.Struct, tag=True, frozen=True):
    """Mark a target as leaving or active."""

    service: str
    target: str
    state: TargetState


class GiveKey(msgspec.Struct, tag=True, frozen=True):
    """Give a team a further key."""

    team: str
    key_id: str
    key_hash: str


class WithdrawKey(msgspec.Struct, tag=True, frozen=True):
    """Withdraw a key of a team."""

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
    """One link of the configuration chain.

    Parameters
    ----------
    version : int
        Version that the change produces.
    operation_id : str
        Identifies the operator's request, so that a lost answer can be resolved.
    author : str
        Who made the change.
    changes : tuple of Change
        Applied in order, all or none.
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
        Version before.
    revision : Revision
        Link whose version follows.

    Returns
    -------
    Fleet
        Version after.

    Raises
    ------
    ConfigurationError
        If versions do not follow or the result is not valid.
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
            return replace(fleet, templates=_put(fleet.templates, template))
        case PutTeam(team):
            return replace(fleet, teams=_put(fleet.teams, _keep_keys(fleet, team)))
        case PutService(service):
            return replace(fleet, services=_put(fleet.services, service))
        case PutDomain(domain):
            return replace(fleet, domains=_put(fleet.domains, domain))
        case PutOpenRoute(route):
            return replace(fleet, open_routes=_put(fleet.open_routes, route))
        case SetDomainState(name, state):
            domain = _find(fleet.domains, name, "failure domain")
            return replace(
                fleet, domains=_put(fleet.domains, replace(domain, state=state))
            )
        case SetTargetState():
            return _set_target_state(fleet, change)
        case GiveKey(team_name, key_id, key_hash):
            team = _find(fleet.teams, team_name, "team")
            hashes = {**team.key_hash_by_id, key_id: key_hash}
            return _with_keys(fleet, team, hashes)
        case WithdrawKey(team_name, key_id):
            team = _find(fleet.teams, team_name, "team")
            _find(team.key_hash_by_id, key_id, "key")
            hashes = {
                name: value
                for name, value in team.key_hash_by_id.items()
                if name != key_id
            }
            return _with_keys(fleet, team, hashes)
        case RemoveTeam(team_name):
            _find(fleet.teams, team_name, "team")
            teams = {
                name: team for name, team in fleet.teams.items() if name != team_name
            }
            return replace(fleet, teams=teams)
    raise ConfigurationError(f"Unknown change {type(change).__name__}.")


def _set_target_state(fleet: Fleet, change: SetTargetState) -> Fleet:
    service = _find(fleet.services, change.service, "service")
    by_name: dict[str, Target] = {target.name: target for target in service.targets}
    target = _find(by_name, change.target, "target")
    by_name[change.target] = replace(target, state=change.state)
    updated = replace(service, targets=tuple(by_name.values()))
    return replace(fleet, services=_put(fleet.services, updated))


def _with_keys(fleet: Fleet, team: Team, hashes: dict[str, str]) -> Fleet:
    return replace(fleet, teams=_put(fleet.teams, replace(team, key_hash_by_id=hashes)))


def _keep_keys(fleet: Fleet, team: Team) -> Team:
    known = fleet.teams.get(team.name)
    if known is None or team.key_hash_by_id:
        return team
    return replace(team, key_hash_by_id=known.key_hash_by_id)


def _put(parts: dict[str, Named], part: Named) -> dict[str, Named]:
    return {**parts, part.name: part}


def _find(parts: dict[str, Part], name: str, kind: str) -> Part:
    if name not in parts:
        known = ", ".join(sorted(parts)) or "none"
        raise ConfigurationError(f"No {kind} is named {name!r}; known: {known}.")
    return parts[name]
