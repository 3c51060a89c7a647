"""Commands that change or show the configuration of the fleet."""

from __future__ import annotations

from secrets import token_urlsafe

from guavabarrow_cli.admin_client import AdminRequestFailed
from guavabarrow_cli.commands.operator_command import OperatorCommand
from guavabarrow_cli.console import (
    EXIT_USAGE,
    fail,
    print_json,
    print_line,
    print_table,
)
from guavabarrow_cli.fleet_file import FleetFile
from guavabarrow_core.fleet import (
    DomainState,
    FailureDomain,
    TargetState,
    Team,
    Template,
    hash_key,
)
from guavabarrow_core.fleet_change import (
    GiveKey,
    PutDomain,
    PutTeam,
    PutTemplate,
    RemoveTeam,
    SetDomainState,
    SetTargetState,
    WithdrawKey,
)
from guavabarrow_daemon.settings import SettingsError

KEY_BYTES = 24


class FleetCommand(OperatorCommand):
    """Fleet configuration.

    Example: guavabarrow fleet apply examples/association/fleet.jsonc
    """

    def apply(self, file: str) -> None:
        """Apply a fleet file to the configuration; existing keys are kept."""
        try:
            content = FleetFile.from_file(file)
        except SettingsError as error:
            fail(str(error), EXIT_USAGE)
        self._apply_changes(*content.to_changes())

    def check(self, file: str) -> None:
        """Validate a fleet file and list all errors."""
        try:
            content = FleetFile.from_file(file)
        except SettingsError as error:
            fail(str(error), EXIT_USAGE)
        services, teams = len(content.services), len(content.teams)
        print_line(f"{file}: valid; {services} services, {teams} teams")

    def show(self) -> None:
        """Print the current configuration as JSON."""
        try:
            print_json(self._client().fleet())
        except AdminRequestFailed as error:
            fail(str(error))


class TemplateCommand(OperatorCommand):
    """Team templates.

    Example: guavabarrow template put small --rate_per_s 50 --burst 100
    """

    def put(
        self,
        name: str,
        rate_per_s: float = 100.0,
        burst: float = 100.0,
        weight: float = 1.0,
        read_max_age_ms: float | None = None,
    ) -> None:
        """Create or replace a template."""
        self._apply_changes(
            PutTemplate(Template(name, rate_per_s, burst, weight, read_max_age_ms))
        )

    def list(self) -> None:
        """List the templates."""
        templates = self._client().fleet().templates.values()
        if self._json:
            print_json(list(templates))
            return
        print_table(
            ("template", "rate/s", "burst", "weight", "read age ms"),
            [
                (
                    item.name,
                    item.rate_per_s,
                    item.burst,
                    item.weight,
                    _format_max_age(item),
                )
                for item in templates
            ],
        )


class TeamCommand(OperatorCommand):
    """Teams.

    Example: guavabarrow team put kilima --template small --services orders-db-1
    """

    def put(
        self,
        name: str,
        template: str,
        services: str | tuple[str, ...] = (),
        rate_per_s: float | None = None,
        burst: float | None = None,
        weight: float | None = None,
        read_max_age_ms: float | None = None,
    ) -> None:
        """Create or replace a team; existing keys are kept."""
        names = tuple(services.split(",")) if isinstance(services, str) else services
        team = Team(
            name,
            template,
            services=names,
            rate_per_s=rate_per_s,
            burst=burst,
            weight=weight,
            read_max_age_ms=read_max_age_ms,
        )
        self._apply_changes(PutTeam(team))

    def remove(self, name: str) -> None:
        """Remove a team and its keys."""
        self._apply_changes(RemoveTeam(name))

    def list(self) -> None:
        """List the teams with their effective limits."""
        fleet = self._client().fleet()
        if self._json:
            print_json(list(fleet.teams.values()))
            return
        rows = []
        for team in fleet.teams.values():
            limits = fleet.limits_of(team.name)
            keys = ",".join(team.key_hash_by_id) or "none"
            services = ",".join(team.services) or "none"
            rows.append((team.name, limits.rate_per_s, limits.burst, services, keys))
        print_table(("team", "rate/s", "burst", "services", "key ids"), rows)


class KeyCommand(OperatorCommand):
    """API keys of teams; only their hashes are stored.

    Example: guavabarrow key give kilima --key_id 2026-12
    """

    def give(self, team: str, key_id: str) -> None:
        """Create a key, print it once and activate it."""
        key = f"gb_{token_urlsafe(KEY_BYTES)}"
        print_line(f"key (shown once): {key}")
        self._apply_changes(GiveKey(team, str(key_id), hash_key(key)))

    def withdraw(self, team: str, key_id: str) -> None:
        """Revoke a key; connected callers are rejected and disconnected too."""
        self._apply_changes(WithdrawKey(team, str(key_id)))


class DomainCommand(OperatorCommand):
    """Failure domains.

    Example: guavabarrow domain out dar-ubungo
    """

    def put(self, name: str, region: str = "") -> None:
        """Create a failure domain, or change its region."""
        self._apply_changes(PutDomain(FailureDomain(name, region)))

    def out(self, name: str) -> None:
        """Take a failure domain out of service; running requests complete."""
        self._apply_changes(SetDomainState(name, DomainState.OUT_OF_SERVICE))

    def back(self, name: str) -> None:
        """Return a failure domain to service."""
        self._apply_changes(SetDomainState(name, DomainState.IN_SERVICE))


class TargetCommand(OperatorCommand):
    """Targets.

    Example: guavabarrow target leave orders-db-1 orders-db-1-a
    """

    def leave(self, service: str, target: str) -> None:
        """Assign no new work to a target; its primary role is transferred first."""
        self._apply_changes(SetTargetState(service, target, TargetState.LEAVING))

    def back(self, service: str, target: str) -> None:
        """Return a target to service."""
        self._apply_changes(SetTargetState(service, target, TargetState.ACTIVE))


def _format_max_age(template: Template) -> str:
    age_ms = template.read_max_age_ms
    return "none" if age_ms is None else f"{age_ms:g}"
