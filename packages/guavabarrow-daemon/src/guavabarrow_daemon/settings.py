"""Settings of one entry VM, read from JSON with comments and validated."""

from __future__ import annotations

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any, Literal

import jsonc
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    ValidationError,
    model_validator,
)

from guavabarrow_core.exceptions import GuavabarrowError

MIN_SECRET_CHARS = 16
MAX_SECRET_CHARS = 64


class SettingsError(GuavabarrowError):
    """The settings are invalid.

    Parameters
    ----------
    mistakes : list of str
        One line for each mistake: its place, what is wrong and how to correct it.
    """

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


def _check_ip(value: str) -> str:
    ip_address(value)
    return value


def _check_secret(value: SecretStr) -> SecretStr:
    length = len(value.get_secret_value())
    if not MIN_SECRET_CHARS <= length <= MAX_SECRET_CHARS:
        raise ValueError(
            f"a secret needs {MIN_SECRET_CHARS} to {MAX_SECRET_CHARS} characters"
        )
    return value


IpAddress = Annotated[str, AfterValidator(_check_ip)]
Secret = Annotated[SecretStr, AfterValidator(_check_secret)]
Port = Annotated[int, Field(ge=0, le=65535)]


class SettingsModel(BaseModel):
    """Base class of all settings; unknown names are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(SettingsModel):
    """IP address and TCP port."""

    host: IpAddress
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PlatformSettings(SettingsModel):
    """Address and credential of the platform service."""

    host: IpAddress
    port: Port
    credential: Secret


class SecretSettings(SettingsModel):
    """Secrets shared by all VMs of the fleet.

    Parameters
    ----------
    token : SecretStr
        Key that signs session tokens.
    peer : SecretStr
        Key that authenticates messages between VMs.
    admin : SecretStr
        Secret that authenticates operators.
    target : SecretStr
        Credential that VMs present to targets.
    """

    token: Secret
    peer: Secret
    admin: Secret
    target: Secret


class LimitSettings(SettingsModel):
    """Limits of the caller interface.

    Parameters
    ----------
    max_body_bytes : int
        Largest accepted request body.
    default_deadline_ms, max_deadline_ms : float
        Deadline of requests without one, and the longest accepted deadline.
    transaction_idle_ms : float
        Time without a statement after which an open transaction is rolled back.
    max_requests : int
        Requests in progress above which new ones are refused.
    """

    max_body_bytes: Annotated[int, Field(gt=0)] = 262_144
    default_deadline_ms: Annotated[float, Field(gt=0)] = 10_000.0
    max_deadline_ms: Annotated[float, Field(gt=0)] = 60_000.0
    transaction_idle_ms: Annotated[float, Field(gt=0)] = 5_000.0
    max_requests: Annotated[int, Field(gt=0)] = 10_000


class DrainSettings(SettingsModel):
    """Durations of a graceful shutdown.

    Parameters
    ----------
    notice_ms : float
        Time for the load balancer to detect that this VM is not ready.
    limit_ms : float
        Longest wait for requests in progress.
    """

    notice_ms: Annotated[float, Field(ge=0)] = 2_000.0
    limit_ms: Annotated[float, Field(gt=0)] = 20_000.0


class LogSettings(SettingsModel):
    """Format and level of the log."""

    format: Literal["json", "console"] = "json"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class PolicySettings(SettingsModel):
    """Policies and their alternatives, which serve as baselines in measurements."""

    reads: Literal["adaptive", "fixed_wait", "primary_only"] = "adaptive"
    detection: Literal["corroborated", "timeout"] = "corroborated"
    queue: Literal["fair", "fifo"] = "fair"
    rates: Literal["ledger", "static"] = "ledger"


class Settings(SettingsModel):
    """Settings of one entry VM.

    Parameters
    ----------
    vm : str
        Name of this VM, unique in the fleet.
    domain : str
        Failure domain of this VM.
    callers, admin, peers : Address
        Addresses to listen on for callers, operators and other VMs.
    seed_peers : list of str
        ``ip:port`` of some other VMs, contacted while no other VM is alive.
    platform : PlatformSettings
        The platform service.
    address_overrides : dict of str to str
        Maps a configured or announced ``ip:port`` to the one to connect to, for
        networks with address translation.
    trace : str or None
        File that records the decisions of the data path.
    """

    vm: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    domain: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    callers: Address
    admin: Address
    peers: Address
    seed_peers: list[str] = []
    platform: PlatformSettings
    secrets: SecretSettings
    limits: LimitSettings = LimitSettings()
    drain: DrainSettings = DrainSettings()
    log: LogSettings = LogSettings()
    policies: PolicySettings = PolicySettings()
    address_overrides: dict[str, str] = {}
    trace: str | None = None

    @model_validator(mode="after")
    def _check_deadlines(self) -> Settings:
        if self.limits.default_deadline_ms > self.limits.max_deadline_ms:
            raise ValueError("limits.default_deadline_ms exceeds max_deadline_ms")
        return self

    @classmethod
    def from_file(cls, path: str) -> Settings:
        """Read and validate a settings file.

        Raises
        ------
        SettingsError
            If the file cannot be read or is invalid; lists all mistakes.
        """
        try:
            text = Path(path).read_text(encoding="utf-8")
        except OSError as error:
            message = f"{path}: cannot be read: {error.strerror}; check the path"
            raise SettingsError([message]) from error
        return cls.from_text(text, source=path)

    @classmethod
    def from_text(cls, text: str, *, source: str = "settings") -> Settings:
        """Parse and validate settings.

        Examples
        --------
        >>> Settings.from_text("{", source="vm.jsonc")  # doctest: +ELLIPSIS
        Traceback (most recent call last):
        ...
        guavabarrow_daemon.settings.SettingsError: vm.jsonc: is not JSON with...
        """
        try:
            document = jsonc.loads(text)
        except ValueError as error:
            message = f"{source}: is not JSON with comments: {error}"
            raise SettingsError([message]) from error
        try:
            return cls.model_validate(document)
        except ValidationError as error:
            raise SettingsError(describe_mistakes(source, error)) from error

    def resolve_address(self, host: str, port: int) -> tuple[str, int]:
        """Return the address to connect to for a configured or announced address."""
        override = self.address_overrides.get(f"{host}:{port}")
        if override is None:
            return host, port
        new_host, _, new_port = override.rpartition(":")
        return new_host, int(new_port)


def describe_mistakes(source: str, error: ValidationError) -> list[str]:
    """Return a line per mistake: its place, what is wrong and how to correct it.

    Parameters
    ----------
    source : str
        File that was read.
    error : ValidationError
        Errors reported by the validation.
    """
    return [_format_error(source, entry) for entry in error.errors()]


def _format_error(source: str, entry: Any) -> str:
    location = ".".join(str(part) for part in entry["loc"]) or "(top level)"
    if entry["type"] == "missing":
        return f"{source}: {location}: is missing; add it"
    if entry["type"] == "extra_forbidden":
        return f"{source}: {location}: is not a known name; remove or correct it"
    return f"{source}: {location}: {entry['msg']}; correct it"
