"""Runs one database group for each service of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from guavabarrow_core.exceptions import ServiceNotAllowed
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.group import Group, GroupContext
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.membership_service import MembershipService
from guavabarrow_daemon.metrics import Metrics
from guavabarrow_daemon.permit_service import PermitService
from guavabarrow_daemon.trace_recorder import TraceRecorder

if TYPE_CHECKING:
    from guavabarrow_core.fleet import Fleet
    from guavabarrow_daemon.settings import Settings
    from guavabarrow_daemon.targets.interface import SqlDriver


class GroupService(Service):
    """Creates, configures and stops the groups of this VM.

    Parameters
    ----------
    kernel : Kernel
        Service registry.
    settings : Settings
        Names, policies and address overrides.
    driver : SqlDriver
        Opens connections to databases.
    reactor : object
        Clock.
    incarnation : int
        Incarnation number of this process; part of the owner name that is sent with
        fence and promote requests.
    """

    name = "groups"

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        driver: SqlDriver,
        reactor: Any,
        *,
        incarnation: int,
    ) -> None:
        super().__init__(kernel)
        self._configuration = kernel.find(ConfigurationService)
        self._context = GroupContext(
            settings,
            driver,
            kernel.find(PermitService),
            kernel.find(Metrics),
            kernel.find(MembershipService),
            reactor,
            kernel.tasks,
            owner=f"{settings.vm}/{incarnation}",
            recorder=TraceRecorder(settings.trace) if settings.trace else None,
        )
        self.by_name: dict[str, Group] = {}

    async def start(self) -> None:
        """Subscribe to configuration and membership changes."""
        self._configuration.on_change.append(self._configure)
        self._context.membership.on_change.append(
            lambda: self._configure(self._configuration.fleet)
        )
        self._configure(self._configuration.fleet)

    async def stop(self) -> None:
        """Stop all groups and close the trace."""
        for group in self.by_name.values():
            group.stop()
        self.by_name.clear()
        if self._context.recorder is not None:
            self._context.recorder.close()

    def find(self, name: str) -> Group:
        """Return the group of a service.

        Raises
        ------
        ServiceNotAllowed
            If the configuration has no such service.
        """
        group = self.by_name.get(name)
        if group is None:
            raise ServiceNotAllowed(f"No service is named {name!r}.")
        return group

    def _configure(self, fleet: Fleet) -> None:
        for name in set(self.by_name) - set(fleet.services):
            self.by_name.pop(name).stop()
        for name, entry in fleet.services.items():
            if name not in self.by_name:
                self.by_name[name] = Group(entry, self._context)
            self.by_name[name].configure(entry, fleet.leaving_targets(name))
