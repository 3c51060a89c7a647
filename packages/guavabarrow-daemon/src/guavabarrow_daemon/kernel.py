"""Service registry: starts and stops services and delivers messages to them."""

from __future__ import annotations

from typing import TypeVar

from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_daemon.background import BackgroundTasks

ServiceType = TypeVar("ServiceType", bound="Service")


class UnknownService(GuavabarrowError):
    """No service of the requested name and type is registered."""


class Service:
    """Base class of services, which own sockets and state; hooks default to no-ops.

    Attributes
    ----------
    name : str
        Name under which the service is registered.
    """

    name = ""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    async def start(self) -> None:
        """Open sockets and start tasks."""

    async def stop(self) -> None:
        """Stop tasks and close sockets."""

    def receive(self, reply_to: str, message: object) -> None:
        """Handle a message that the same service of another VM sent.

        Parameters
        ----------
        reply_to : str
            Address of the sending VM.
        message : object
            Decoded message.
        """


class Kernel:
    """Registry of services in the order in which they start.

    Attributes
    ----------
    tasks : BackgroundTasks
        Background work of all services.
    """

    def __init__(self) -> None:
        self.tasks = BackgroundTasks()
        self._service_by_name: dict[str, Service] = {}

    def register(self, service: Service) -> None:
        """Add a service under its name."""
        self._service_by_name[service.name] = service

    def find(self, service_type: type[ServiceType]) -> ServiceType:
        """Return the service registered under the type's name.

        Raises
        ------
        UnknownService
            If no service of this name and type is registered.
        """
        service = self._service_by_name.get(service_type.name)
        if not isinstance(service, service_type):
            raise UnknownService(f"No service {service_type.name!r} is registered.")
        return service

    def deliver(self, name: str, reply_to: str, message: object) -> None:
        """Deliver a message to a service; drop it if the name is not registered."""
        service = self._service_by_name.get(name)
        if service is not None:
            service.receive(reply_to, message)

    async def start(self) -> None:
        """Start all services in the order of registration."""
        for service in self._service_by_name.values():
            await service.start()

    async def stop(self) -> None:
        """Stop all services in reverse order, the others also if one of them fails."""
        for service in reversed(list(self._service_by_name.values())):
            await self.tasks.start(f"{service.name}_stop", service.stop())
