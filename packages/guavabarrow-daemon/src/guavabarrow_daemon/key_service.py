"""Authenticates callers against the keys of the current configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavabarrow_core.fleet import OPEN_TEAM
from guavabarrow_core.key_ring import KeyOwner, KeyRing
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.kernel import Kernel, Service

if TYPE_CHECKING:
    from guavabarrow_core.fleet import Fleet

OPEN_OWNER = KeyOwner(OPEN_TEAM, "")


class KeyService(Service):
    """Key ring of the current configuration.

    Parameters
    ----------
    kernel : Kernel
        Service registry.
    """

    name = "keys"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._configuration = kernel.find(ConfigurationService)
        self._ring = KeyRing({})

    async def start(self) -> None:
        """Subscribe to the configuration, ahead of services that close connections."""
        self._configuration.on_change.insert(0, self._apply)
        self._apply(self._configuration.fleet)

    def find(self, key: str) -> KeyOwner | None:
        """Return the owner of a key, None if it is unknown or withdrawn."""
        return self._ring.find(key)

    def is_valid(self, owner: KeyOwner) -> bool:
        """Return whether a key that was accepted earlier is still valid."""
        return owner == OPEN_OWNER or self._ring.contains(owner)

    def _apply(self, fleet: Fleet) -> None:
        self._ring = KeyRing.from_fleet(fleet)
