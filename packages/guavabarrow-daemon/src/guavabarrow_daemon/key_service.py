"""Authenticates callers against the keys in force."""

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
    """Owner of the key ring of the configuration in force.

    Parameters
    ----------
    kernel : Kernel
        Registry.
    """

    name = "keys"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._configuration = kernel.find(ConfigurationService)
        self._ring = KeyRing({})

    async def start(self) -> None:
        """Follow the configuration, before services that cut connections."""
        self._configuration.on_change.insert(0, self._apply)
        self._apply(self._configuration.fleet)

    def find(self, key: str) -> KeyOwner | None:
        """Return the owner of a key, None if it is unknown or withdrawn."""
        return self._ring.find(key)

    def is_in_force(self, owner: KeyOwner) -> bool:
        """Tell whether a key that was accepted earlier still is."""
        return owner == OPEN_OWNER or self._ring.contains(owner)

    def _apply(self, fleet: Fleet) -> None:
        self._ring = KeyRing.from_fleet(fleet)
