"""Micro-kernel: starts and stops services, which find each other by name."""

from __future__ import annotations

from typing import TypeVar

from guavabarrow_core.exceptions import GuavabarrowError

ServiceType = TypeVar("ServiceType", bound="Service")


class UnknownService(GuavabarrowError):
    """No service of this name and type is registered."""


class Service:
    """A part of the daemon that owns its sockets and state; its hooks do nothing.

    Attributes
    ----------
    name : str
        Name by which others find it.
    """

    name = ""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    async def start(self) -> None:
        """Open sockets and start tasks."""

    async def stop(self) -> None:
        """End tasks and close sockets."""

    def receive(self, reply_to: str, message: object) -> None:
        """Take a message that a peer's service of the same name sent.

        Parameters
        ----------
        reply_to : str
            Address of the VM that sent it.
        message : object
            Typed message.
        """


class Kernel:
    """Registry of services in order of their start."""

    def __init__(self) -> None:
        self._by_name: dict[str, Service] = {}

    def register(self, service: Service) -> None:
        """Add a service under its name."""
        self._by_name[service.name] = service

    def find(self, service_type: type[ServiceType]) -> ServiceType:
        """Return the service registered under the type's name.

        Raises
        ------
        UnknownService
            If there is none.
        """
        service = self._by_name.get(service_type.name)
        if not isinstance(service, service_type):
            raise UnknownService(f"No service {service_type.name!r} is registered.")
        return service

    def post(self, name: str, reply_to: str, message: object) -> None:
        """Deliver a message to the named service; unknown names are dropped."""
        service = self._by_name.get(name)
        if service is not None:
            service.receive(reply_to, message)

    async def start(self) -> None:
        """Start all services in the order of registration."""
        for service in self._by_name.values():
            await service.start()

    async def stop(self) -> None:
        """Stop all services in reverse order."""
        for service in reversed(list(self._by_name.values())):
            await service.stop()
