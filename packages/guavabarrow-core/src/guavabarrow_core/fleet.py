"""Configuration of the fleet: services, databases, templates and teams."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256

import msgspec

from guavabarrow_core.exceptions import ConfigurationError

OPEN_TEAM = "open"


class DomainState(Enum):
    """Whether a failure domain accepts work."""

    IN_SERVICE = "in"
    OUT_OF_SERVICE = "out"


class TargetState(Enum):
    """Whether a database accepts work."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclass(frozen=True)
class FailureDomain:
    """A set of VMs and targets that fail together."""

    name: str
    region: str = ""
    state: DomainState = DomainState.IN_SERVICE


@dataclass(frozen=True)
class Target:
    """One database of a group.

    Parameters
    ----------
    name : str
        Name, unique in the fleet.
    domain : str
        Failure domain that it belongs to.
    host : str
        IP address.
    port : int
        TCP port.
    state : TargetState
        LEAVING targets get no new work.
    """

    name: str
    domain: str
    host: str
    port: int
    state: TargetState = TargetState.ACTIVE


@dataclass(frozen=True)
class Service:
    """A database group that callers address by name.

    Parameters
    ----------
    name : str
        Name that callers use.
    targets : tuple of Target
        Databases of the group.
    connections : int
        Client connections that each database accepts over the whole fleet.
    slots : int
        Statements that each database runs concurrently.
    """

    name: str
    targets: tuple[Target, ...] = ()
    connections: int = 20
    slots: int = 3


@dataclass(frozen=True)
class Template:
    """Default parameters from which teams are created.

    Parameters
    ----------
    name : str
        Name of the template.
    rate_per_s : float
        Statements per second over the whole fleet.
    burst : float
        Statements that may arrive at once over the whole fleet.
    weight : float
        Relative share of a busy database.
    read_max_age_ms : float or None
        Maximum age of the data, in ms, for reads that state none; None if there is
        no default.
    """

    name: str
    rate_per_s: float = 100.0
    burst: float = 100.0
    weight: float = 1.0
    read_max_age_ms: float | None = None


@dataclass(frozen=True)
class Team:
    """A customer of the fleet.

    Parameters
    ----------
    name : str
        Name of the team.
    template : str
        Template that supplies the parameters not set here.
    services : tuple of str
        Services that the team may use.
    key_hash_by_id : dict of str to str
        Hexadecimal SHA-256 of each valid key, keyed by key id.
    rate_per_s, burst, weight, read_max_age_ms : float or None
        Overrides of the template.
    """

    name: str
    template: str
    services: tuple[str, ...] = ()
    key_hash_by_id: dict[str, str] = field(default_factory=dict)
    rate_per_s: float | None = None
    burst: float | None = None
    weight: float | None = None
    read_max_age_ms: float | None = None


@dataclass(frozen=True)
class OpenRoute:
    """A read-only route that needs no API key.

    Parameters
    ----------
    name : str
        Last part of the path.
    service : str
        Service that is read.
    sql : str
        Statement to run.
    """

    name: str
    service: str
    sql: str


@dataclass(frozen=True)
class TeamLimits:
    """Effective parameters of a team: its overrides and its template's values."""

    rate_per_s: float
    burst: float
    weight: float
    read_max_age_s: float | None


@dataclass(frozen=True)
class Fleet:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Position in the configuration chain; 0 is the empty fleet.
    domains, services, templates, teams, open_routes : dict
        Entries, keyed by name.
    """

    version: int = 0
    domains: dict[str, FailureDomain] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    templates: dict[str, Template] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    open_routes: dict[str, OpenRoute] = field(default_factory=dict)

    def limits_of(self, team: str) -> TeamLimits:
        """Return the effective parameters of ``team``."""
        entry = self.teams[team]
        template = self.templates[entry.template]
        age_ms = entry.read_max_age_ms
        if age_ms is None:
            age_ms = template.read_max_age_ms
        return TeamLimits(
            rate_per_s=_value_or_default(entry.rate_per_s, template.rate_per_s),
            burst=_value_or_default(entry.burst, template.burst),
            weight=_value_or_default(entry.weight, template.weight),
            read_max_age_s=None if age_ms is None else age_ms / 1000,
        )

    def is_out(self, domain: str) -> bool:
        """Return whether operators took ``domain`` out of service."""
        entry = self.domains.get(domain)
        return entry is not None and entry.state is DomainState.OUT_OF_SERVICE

    def leaving_targets(self, service: str) -> frozenset[str]:
        """Return the targets of ``service`` that must not get new work."""
        return frozenset(
            target.name
            for target in self.services[service].targets
            if target.state is TargetState.LEAVING or self.is_out(target.domain)
        )

    def check(self) -> None:
        """Verify that all references between entries resolve.

        Raises
        ------
        ConfigurationError
            If some do not; the message lists all of them.
        """
        errors = self._reference_errors()
        if errors:
            raise ConfigurationError("; ".join(errors))

    def _reference_errors(self) -> list[str]:
        errors = []
        for team in self.teams.values():
            if team.template not in self.templates:
                errors.append(
                    f"team {team.name}: template {team.template!r} does not exist"
                )
            for service in team.services:
                if service not in self.services:
                    errors.append(
                        f"team {team.name}: service {service!r} does not exist"
                    )
        for entry in self.services.values():
            for target in entry.targets:
                if target.domain not in self.domains:
                    errors.append(
                        f"target {target.name}: domain {target.domain!r} does not exist"
                    )
        for route in self.open_routes.values():
            if route.service not in self.services:
                errors.append(
                    f"open route {route.name}: service {route.service!r} does not exist"
                )
        return errors


def hash_key(key: str) -> str:
    """Return the stored form of a key.

    Keys have 192 random bits, so an unsalted fast hash cannot be brute-forced.
    """
    return sha256(key.encode()).hexdigest()


def encode_fleet(fleet: Fleet) -> bytes:
    """Return the JSON document of a configuration version."""
    return msgspec.json.encode(fleet)


def decode_fleet(document: bytes) -> Fleet:
    """Parse a configuration document.

    Raises
    ------
    ConfigurationError
        If the document is not a valid configuration.
    """
    try:
        fleet = msgspec.json.decode(document, type=Fleet)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ConfigurationError(f"Invalid configuration document: {error}") from error
    fleet.check()
    return fleet


def _value_or_default(value: float | None, default: float) -> float:
    return default if value is None else value
