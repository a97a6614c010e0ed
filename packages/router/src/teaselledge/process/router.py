"""A router process without its command line."""

import secrets
import time
from datetime import UTC, datetime
from typing import Any

from tornado.netutil import bind_sockets

from teaselledge.connection.auth import Authenticator
from teaselledge.connection.bodybudget import BodyBudget
from teaselledge.connection.caller import make_application
from teaselledge.connection.endpoint import EndpointClient, HttpEndpointClient
from teaselledge.connection.operator import OperatorContext, OperatorServer
from teaselledge.connection.peer import PeerMesh
from teaselledge.connection.server import CallerServer
from teaselledge.log import get_log
from teaselledge.metrics import Metrics, NullMetrics, StatsdMetrics
from teaselledge.platform import TableService
from teaselledge.process.drain import Drain, DrainGate
from teaselledge.process.engineadmin import HttpEngineAdmin
from teaselledge.process.enginefeed import HttpFeedSource
from teaselledge.process.httpplatform import (
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
)
from teaselledge.process.member import RANDOM_BITS, Member, new_incarnation
from teaselledge.process.mesh import Origin
from teaselledge.process.node import Node, PlatformClients
from teaselledge.process.settings import Settings
from teaselledge.process.shares import DispatcherShares
from teaselledge.process.status import Status
from teaselledge.process.tally import RecordingMetrics
from teaselledge.process.tls import client_context, server_context, warn_if_plaintext
from teaselledge.request.orderadmin import JournalAdmin
from teaselledge.version.document import Version
from teaselledge.version.publish import Publisher

__all__ = ["Router"]

_log = get_log("router")

HARD_LIMIT_FACTOR = 4
"""Factor over a limit at which a connection is closed without a response."""


class Router:
    """A node with its listeners and its clients of the platform."""

    def __init__(
        self,
        settings: Settings,
        platform: PlatformClients,
        client: EndpointClient,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._incarnation = new_incarnation(time.time(), secrets.randbits(RANDOM_BITS))
        self._request_count = 0
        self._server: CallerServer | None = None
        self._caller_address = ""
        self._peer_address = ""
        self._listening_peer_address = ""
        self.metrics = self._tally = RecordingMetrics(metrics)
        self.authenticator = Authenticator()
        self.bodies = BodyBudget(settings.limits.waiting_bytes)
        origin = Origin(settings.vm, self._incarnation)
        self._mesh = PeerMesh(
            origin,
            self._address_of,
            self.metrics,
            server_context(settings.peers.tls),
            client_context(settings.peers.tls),
        )
        own = Member(
            settings.vm, settings.zone, settings.region, incarnation=self._incarnation
        )
        self.node = Node(
            settings,
            own,
            self._mesh,
            platform,
            client,
            self.metrics,
            engines=HttpEngineAdmin(),
            feed=HttpFeedSource(),
        )
        self._mesh.on_connection_refused = (
            self.node.membership.report_connection_refused
        )
        self._mesh.make_hello = self.node.membership.hello
        self._tables = platform.tables
        self._operators: OperatorServer | None = None
        self._operator_address = ""

    @classmethod
    def from_config(cls, settings: Settings) -> "Router":
        """Return a router with clients over HTTP."""
        metrics: Metrics = NullMetrics()
        if settings.statsd is not None:
            statsd = settings.statsd
            prefix = f"teaselledge.{settings.vm}"
            metrics = StatsdMetrics(statsd.host, statsd.port, prefix)
        platform = PlatformClients(
            HttpTableService(settings.platform.tables),
            HttpObjectStore(settings.platform.objects),
            HttpVmList(settings.platform.vms),
        )
        return cls(settings, platform, HttpEndpointClient(), metrics)

    @property
    def settings(self) -> Settings:
        """The settings of this process."""
        return self._settings

    @property
    def tables(self) -> TableService:
        """The platform's table service."""
        return self._tables

    @property
    def drain(self) -> Drain:
        """The graceful shutdown."""
        return self.node.drain

    @property
    def request_runner(self) -> DrainGate:
        """Runs the callers' requests."""
        return self.node.request_runner

    @property
    def version(self) -> Version | None:
        """The configuration in force."""
        return self.node.version

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force, so that requests can be served."""
        return self.node.ready

    @property
    def caller_address(self) -> str:
        """Advertised ``host:port`` for callers."""
        return self._caller_address

    @property
    def peer_address(self) -> str:
        """Advertised ``host:port`` for other routers."""
        return self._peer_address

    @property
    def listening_peer_address(self) -> str:
        """Local ``host:port`` of the listener for other routers."""
        return self._listening_peer_address

    @property
    def operator_address(self) -> str:
        """Advertised ``host:port`` for operators."""
        return self._operator_address

    def next_request_id(self) -> str:
        """Return a unique identifier for a request."""
        self._request_count += 1
        return f"{self._settings.vm}-{self._incarnation:x}-{self._request_count}"

    def listen(self) -> None:
        """Open the listeners and set the router's addresses."""
        settings = self._settings
        warn_if_plaintext("callers'", settings.callers)
        warn_if_plaintext("peers'", settings.peers)
        warn_if_plaintext("operators'", settings.operators)
        # the handlers answer requests over the limits with an error; tornado's
        # limits close the connection and only apply far beyond
        self._server = CallerServer(
            make_application(self),
            ssl_options=server_context(settings.callers.tls),
            max_connections=settings.limits.connections,
            max_body_size=HARD_LIMIT_FACTOR * settings.limits.upload_bytes,
            max_header_size=HARD_LIMIT_FACTOR * settings.limits.header_bytes,
        )
        sockets = bind_sockets(settings.callers.port, settings.callers.host)
        self._server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self._caller_address = settings.callers.advertised(port)
        peer_port = self._mesh.listen(settings.peers.host, settings.peers.port)
        self._peer_address = settings.peers.advertised(peer_port)
        self._listening_peer_address = f"{settings.peers.host}:{peer_port}"
        operators = settings.operators
        self._operators = OperatorServer(
            self._operator_context(), server_context(operators.tls)
        )
        operator_port = self._operators.listen(operators.host, operators.port)
        self._operator_address = operators.advertised(operator_port)
        self.node.set_addresses(
            self._peer_address, self._caller_address, self._operator_address
        )

    async def start(self) -> None:
        """Start the node; `listen` must have been called."""
        await self.node.start()
        _log.info(f"Router {self._settings.vm} serves {self._caller_address}.")

    async def stop(self) -> None:
        """Announce the end of this process, and stop without draining."""
        self.node.membership.announce_shutdown()
        await self.node.stop()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        if self._operators is not None:
            await self._operators.close()
        await self._mesh.close()

    def addresses(self, zone: str | None = None) -> dict[str, Any]:
        """Return the address list for a caller in a zone."""
        return self.node.addresses.resolve(zone).as_json()

    def _operator_context(self) -> OperatorContext:
        node = self.node
        publisher = Publisher(
            self._tables,
            lambda: datetime.now(UTC),
            lambda: node.config_watcher.state.known,
        )
        shares = DispatcherShares(
            lambda: node.dispatchers.running, lambda: node.version
        )
        status = Status(
            node.config_watcher, node.membership, node.ingress, self._tally, shares
        )
        return OperatorContext(
            lambda: node.version,
            lambda: node.config_watcher.state.known,
            publisher,
            status,
            node.objectives,
            self._settings.first_key,
            drainer=node.drain,
            orders=JournalAdmin(self._tables, lambda: datetime.now(UTC).timestamp()),
        )

    def _address_of(self, vm: str) -> str | None:
        return self.node.membership.address_of(vm)
