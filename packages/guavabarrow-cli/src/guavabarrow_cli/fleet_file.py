"""Fleet files: the desired configuration of a fleet, in JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import jsonc
from pydantic import Field, ValidationError, model_validator

from guavabarrow_core.fleet import (
    FailureDomain,
    OpenRoute,
    Service,
    Target,
    Team,
    Template,
)
from guavabarrow_core.fleet_change import (
    Change,
    PutDomain,
    PutOpenRoute,
    PutService,
    PutTeam,
    PutTemplate,
)
from guavabarrow_daemon.settings import (
    IpAddress,
    Port,
    SettingsError,
    SettingsModel,
    describe_mistakes,
)

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Positive = Annotated[float, Field(gt=0)]


class DomainModel(SettingsModel):
    """A failure domain."""

    name: Name
    region: str = ""


class TargetModel(SettingsModel):
    """A database."""

    name: Name
    domain: Name
    host: IpAddress
    port: Port


class ServiceModel(SettingsModel):
    """A database group."""

    name: Name
    connections: Annotated[int, Field(gt=0)] = 20
    slots: Annotated[int, Field(gt=0)] = 3
    targets: list[TargetModel]


class TemplateModel(SettingsModel):
    """Default parameters of the teams that use the template."""

    name: Name
    rate_per_s: Positive = 100.0
    burst: Positive = 100.0
    weight: Positive = 1.0
    read_max_age_ms: Annotated[float, Field(ge=0)] | None = None


class TeamModel(SettingsModel):
    """A team and its overrides; keys are created by command, never stored in a file."""

    name: Name
    template: Name
    services: list[Name] = []
    rate_per_s: Positive | None = None
    burst: Positive | None = None
    weight: Positive | None = None
    read_max_age_ms: Annotated[float, Field(ge=0)] | None = None


class OpenRouteModel(SettingsModel):
    """A read statement that callers can run without a key."""

    name: Name
    service: Name
    sql: str


class FleetFile(SettingsModel):
    """Content of a fleet file."""

    domains: list[DomainModel]
    services: list[ServiceModel]
    templates: list[TemplateModel] = []
    teams: list[TeamModel] = []
    open_routes: list[OpenRouteModel] = []

    @model_validator(mode="after")
    def _check_references(self) -> FleetFile:
        errors = self._find_reference_errors()
        if errors:
            raise ValueError("; ".join(errors))
        return self

    def _find_reference_errors(self) -> list[str]:
        domains = {domain.name for domain in self.domains}
        services = {service.name for service in self.services}
        templates = {template.name for template in self.templates}
        errors = [
            f"target {target.name}: domain {target.domain!r} is not listed"
            for service in self.services
            for target in service.targets
            if target.domain not in domains
        ]
        errors += [
            f"team {team.name}: template {team.template!r} is not listed"
            for team in self.teams
            if team.template not in templates
        ]
        errors += [
            f"team {team.name}: service {name!r} is not listed"
            for team in self.teams
            for name in team.services
            if name not in services
        ]
        return errors

    @classmethod
    def from_file(cls, path: str) -> FleetFile:
        """Read and validate a fleet file.

        Raises
        ------
        SettingsError
            Lists all errors of the file.
        """
        try:
            document = jsonc.loads(Path(path).read_text(encoding="utf-8"))
            return cls.model_validate(document)
        except OSError as error:
            raise SettingsError(
                [f"{path}: cannot be read: {error.strerror}"]
            ) from error
        except ValidationError as error:
            raise SettingsError(describe_mistakes(path, error)) from error
        except ValueError as error:
            raise SettingsError(
                [f"{path}: is not valid JSON with comments: {error}"]
            ) from error

    def to_changes(self) -> tuple[Change, ...]:
        """Return the changes that apply the file's content to a fleet."""
        changes: list[Change] = [
            PutDomain(FailureDomain(domain.name, domain.region))
            for domain in self.domains
        ]
        changes += [PutService(_create_service(service)) for service in self.services]
        changes += [
            PutTemplate(Template(**template.model_dump()))
            for template in self.templates
        ]
        changes += [PutTeam(_create_team(team)) for team in self.teams]
        changes += [
            PutOpenRoute(OpenRoute(**route.model_dump())) for route in self.open_routes
        ]
        return tuple(changes)


def _create_service(model: ServiceModel) -> Service:
    targets = tuple(Target(**target.model_dump()) for target in model.targets)
    return Service(model.name, targets, model.connections, model.slots)


def _create_team(model: TeamModel) -> Team:
    values = model.model_dump()
    values["services"] = tuple(model.services)
    return Team(**values)
