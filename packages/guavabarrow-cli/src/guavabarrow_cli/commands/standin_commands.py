"""Commands that run a stand-in for an external system as a separate process."""

from __future__ import annotations

import json
from pathlib import Path

from twisted.internet import reactor

from guavabarrow_cli.console import print_line
from guavabarrow_cli.standins.database_server import (
    DatabaseServer,
    DatabaseSettings,
    Faults,
)
from guavabarrow_cli.standins.platform_server import PlatformServer
from guavabarrow_cli.standins.relay_server import RelayServer

LOOPBACK = "127.0.0.1"


class StandinCommand:
    """Stand-ins for tests and experiments, listening on the loopback address only.

    Example: guavabarrow standin platform --port 9000 --credential 0123456789abcdef
    """

    def platform(self, port: int, credential: str) -> None:
        """Run the platform: table service, object store and VM list."""
        server = PlatformServer(reactor, credential=credential)
        reactor.callWhenRunning(lambda: self._print_port(server.listen(LOOPBACK, port)))
        reactor.run()

    def database(
        self,
        name: str,
        port: int,
        directory: str,
        credential: str,
        peers: str = "",
        max_connections: int = 20,
        slots: int = 3,
        lag_ms: float = 0.0,
        statement_ms: float = 0.0,
        connect_ms: float = 12.0,
    ) -> None:
        """Run one database of a group.

        Parameters
        ----------
        name : str
            Name of the database.
        port : int
            Port on the loopback address.
        directory : str
            Directory of the database file, which persists across restarts.
        credential : str
            Credential required from VMs.
        peers : str
            Other databases of the group: ``name=port,name=port``.
        max_connections, slots : int
            Maximum number of client connections and of concurrent statements.
        lag_ms, statement_ms, connect_ms : float
            Initial replication lag, statement duration and connect time, in ms.
        """
        settings = DatabaseSettings(
            name=name,
            path=Path(directory) / f"{name}.sqlite",
            peer_by_name=parse_peers(peers),
            credential=credential,
            max_connections=max_connections,
            slots=slots,
            faults=Faults(
                lag_ms=lag_ms, statement_ms=statement_ms, connect_ms=connect_ms
            ),
        )
        server = DatabaseServer(settings, reactor)
        reactor.callWhenRunning(lambda: self._print_port(server.listen(LOOPBACK, port)))
        reactor.run()

    def relay(self, control_port: int, links: str) -> None:
        """Run TCP relays that can block, freeze or delay links.

        Parameters
        ----------
        control_port : int
            Port of the HTTP route ``/faults``.
        links : str
            ``name=port:target_port,...``, all on the loopback address.
        """
        server = RelayServer(reactor, parse_links(links))
        reactor.callWhenRunning(
            lambda: self._print_port(server.listen(LOOPBACK, control_port))
        )
        reactor.run()

    def _print_port(self, port: int) -> None:
        print_line(json.dumps({"event": "listening", "port": port}))


def parse_peers(text: str) -> dict[str, tuple[str, int]]:
    """Parse ``name=port,name=port``.

    Examples
    --------
    >>> parse_peers("b=7001,c=7002")
    {'b': ('127.0.0.1', 7001), 'c': ('127.0.0.1', 7002)}
    """
    peers = {}
    for part in filter(None, text.split(",")):
        name, _, port = part.partition("=")
        peers[name] = (LOOPBACK, int(port))
    return peers


def parse_links(text: str) -> dict[str, tuple[int, int]]:
    """Parse ``name=port:target_port,...``.

    Examples
    --------
    >>> parse_links("a=1:2")
    {'a': (1, 2)}
    """
    links = {}
    for part in filter(None, text.split(",")):
        name, _, ports = part.partition("=")
        port, _, target = ports.partition(":")
        links[name] = (int(port), int(target))
    return links
