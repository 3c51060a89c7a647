"""Changes of the configuration and evacuations, as an operator makes them."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from soak.record import Evacuation, Record, Version

if TYPE_CHECKING:
    from numpy.random import Generator
    from platform_adapter.standin_platform import StandInStore

KINDS = ("primary", "bounded_staleness", "read_your_writes")
MAX_RECENT = 12
IDLE_ROUTES = 8


def pick(random: Generator, values):
    """Return a random element."""
    values = list(values)
    return values[int(random.integers(len(values)))]


@dataclass
class Operator:
    """Writes versions of the configuration to the store.

    Attributes
    ----------
    recent_databases, recent_keys : list of str
        Databases and keys that were just added or removed.
    """

    store: StandInStore
    record: Record
    services: list[str]
    random: Generator
    service_by_database: dict[str, str] = field(default_factory=dict)
    keys_by_team: dict[str, list[str]] = field(default_factory=dict)
    recent_databases: list[str] = field(default_factory=list)
    recent_keys: list[str] = field(default_factory=list)
    timeout_ms: int = 1500
    rate_per_s: int = 400

    def __post_init__(self) -> None:
        self._lock = threading.Lock()
        self._names = 0
        for number in range(9):
            service = self.services[number % len(self.services)]
            self.service_by_database[f"db{number}"] = service
        for _ in range(IDLE_ROUTES):
            self._add_route()
        for number in range(3):
            self.keys_by_team[f"team{number}"] = [self._name("key")]
        self._publish()

    @property
    def version(self) -> Version:
        """Newest confirmed version."""
        return self.record.versions[-1]

    def loaded_databases(self) -> list[str]:
        """Return the databases that callers use all the time."""
        return [
            name for name in self.version.service_by_database if name.startswith("db")
        ]

    def change(self) -> None:
        """Make one to three random changes and write them as one version."""
        with self._lock:
            for _ in range(int(self.random.integers(1, 4))):
                action = pick(
                    self.random,
                    [self._move_route] * 3
                    + [self._replace_key] * 2
                    + [self._add_route, self._remove_route] * 2
                    + [self._add_team, self._change_limits],
                )
                action()
            self._publish()

    def change_evacuation(self) -> None:
        """Lift the evacuation in force, or evacuate a failure domain."""
        with self._lock:
            active = self.active_evacuation()
            if active is not None:
                active.lifted_at = time.monotonic()
                self.store.remove("op", f"evacuate/{active.domain}")
                return
            domain = pick(
                self.random, sorted(set(self.record.domain_by_target.values()))
            )
            self.store.put("op", f"evacuate/{domain}", {})
            self.record.evacuations.append(Evacuation(domain, time.monotonic()))

    def active_evacuation(self) -> Evacuation | None:
        """Return the evacuation in force."""
        for evacuation in self.record.evacuations:
            if evacuation.lifted_at == float("inf"):
                return evacuation
        return None

    def _wait_for_store(self) -> None:
        while self.store.is_down or self.store.is_silent:
            time.sleep(0.01)

    def _name(self, prefix: str) -> str:
        self._names += 1
        return f"{prefix}{self._names}x{int(self.random.integers(16**4)):x}"

    def _move_route(self) -> None:
        database = pick(self.random, self.service_by_database)
        present = self.service_by_database[database]
        others = [name for name in self.services if name != present]
        self.service_by_database[database] = pick(self.random, others)

    def _replace_key(self) -> None:
        team = pick(self.random, self.keys_by_team)
        keys = self.keys_by_team[team]
        new = self._name("key")
        if self.random.random() < 0.7 or len(keys) > 2:
            self._remember(self.recent_keys, keys.pop(0))
        keys.append(new)
        self._remember(self.recent_keys, new)

    def _add_team(self) -> None:
        team, key = self._name("team"), self._name("key")
        self.keys_by_team[team] = [key]
        self._remember(self.recent_keys, key)

    def _add_route(self) -> None:
        database = self._name("idle")
        self.service_by_database[database] = pick(self.random, self.services)
        self._remember(self.recent_databases, database)

    def _remove_route(self) -> None:
        idle = [name for name in self.service_by_database if name.startswith("idle")]
        if idle:
            database = pick(self.random, idle)
            del self.service_by_database[database]
            self._remember(self.recent_databases, database)

    def _change_limits(self) -> None:
        self.timeout_ms = int(self.random.integers(900, 2000))
        self.rate_per_s = int(self.random.integers(300, 600))

    def _remember(self, recent: list[str], name: str) -> None:
        recent.append(name)
        del recent[:-MAX_RECENT]

    def _publish(self) -> None:
        versions = self.record.versions
        step = int(self.random.integers(1, 6))
        number = versions[-1].number + step if versions else 1
        document = {
            "Version": number,
            "Routes": [
                {
                    "Name": f"r-{database}",
                    "Host": database,
                    "Service": service,
                    "Kind": KINDS[i % 3],
                    "TimeoutMs": self.timeout_ms,
                    "TargetLatencyMs": 400,
                    "MaxStalenessMs": 1500,
                    "Priority": 1,
                    "NoAuth": False,
                }
                for i, (database, service) in enumerate(
                    self.service_by_database.items()
                )
            ],
            "Services": [
                {"Name": name, "MaxConns": 24, "SyncReplicas": 0}
                for name in self.services
            ],
            "Limits": {"MaxBodyBytes": 262144, "IdleTxMs": 3000},
            "Tenants": [
                {
                    "Name": team,
                    "ApiKeys": list(keys),
                    "RatePerS": self.rate_per_s,
                    "Burst": self.rate_per_s,
                }
                for team, keys in self.keys_by_team.items()
            ],
        }
        self._wait_for_store()
        sent_at = time.monotonic()
        services = dict(self.service_by_database)
        teams = {key: team for team, keys in self.keys_by_team.items() for key in keys}
        pending = Version(number, services, teams, sent_at, float("inf"))
        with self.record.lock:
            versions.append(pending)
        self.store.put("op", "config", document)
        confirmed = Version(number, services, teams, sent_at, time.monotonic())
        versions[-1] = confirmed
