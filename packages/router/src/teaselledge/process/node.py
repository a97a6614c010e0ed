"""The components of a router that open no sockets themselves."""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from teaselledge.connection.endpoint import EndpointClient
from teaselledge.errors import Fault
from teaselledge.metrics import Metrics
from teaselledge.platform import ObjectStore, TableService, VmList
from teaselledge.process.addresses import RouterResolver
from teaselledge.process.dispatch import DispatcherManager
from teaselledge.process.drain import Drain, DrainGate
from teaselledge.process.endpointobserver import ObservingEndpointClient
from teaselledge.process.endpointstatus import EndpointStatus
from teaselledge.process.enginefeed import EngineFeed, FeedSource
from teaselledge.process.enginekeeper import LEASE_NAME, EngineController
from teaselledge.process.engineorders import EngineAdmin, EngineReconciler
from teaselledge.process.ingress import Ingress, IngressLimits
from teaselledge.process.lease import Lease
from teaselledge.process.member import Member
from teaselledge.process.membership import Membership
from teaselledge.process.mesh import Mesh
from teaselledge.process.objectives import ObjectiveTracker
from teaselledge.process.settings import Settings
from teaselledge.request.forward import Forwarder
from teaselledge.request.journal import Journal
from teaselledge.request.order import OrderExecutor
from teaselledge.request.sweep import Sweeper
from teaselledge.version.document import Version
from teaselledge.version.follow import ConfigWatcher

__all__ = ["Node", "PlatformClients"]


@dataclass(frozen=True)
class PlatformClients:
    """Clients of the platform's services."""

    tables: TableService
    objects: ObjectStore
    vms: VmList


class Node:
    """Membership, configuration, dispatch and forwarding of one router.

    The router process passes a mesh over TCP and clients over HTTP; tests and
    benchmarks pass stand-ins and a virtual clock.
    """

    def __init__(
        self,
        settings: Settings,
        own: Member,
        mesh: Mesh,
        platform: PlatformClients,
        client: EndpointClient,
        metrics: Metrics,
        clock: Callable[[], float] = time.time,
        engines: EngineAdmin | None = None,
        feed: FeedSource | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.mesh = mesh
        self._tasks: list[asyncio.Task[None]] = []
        self.config_watcher = ConfigWatcher(
            platform.tables, mesh, self._live, self._apply_version, metrics
        )
        self.objectives = ObjectiveTracker(self._version)
        self.membership = Membership(
            own,
            mesh,
            platform.vms,
            self._load,
            self._version_number,
            settings.seeds,
        )
        self.dispatchers = DispatcherManager(
            mesh,
            self._version,
            self._live,
            metrics,
            self.membership.blocked_endpoints,
        )
        self.ingress = Ingress(
            settings.zone,
            mesh,
            self._version,
            self._reachable,
            IngressLimits.from_config(settings.limits),
            metrics,
        )
        self.membership.on_change(self.dispatchers.refresh_placement)
        self.membership.on_change(self.ingress.refresh_placement)
        client = ObservingEndpointClient(client, self._report_endpoint)
        journal = Journal(platform.tables, platform.objects, metrics, clock)
        owner = f"{own.vm}/{own.incarnation:x}"
        self.orders = OrderExecutor(self.ingress, client, journal, metrics, owner)
        self.sweeper = Sweeper(journal, self._is_sweeper)
        self.runner = Forwarder(self.ingress, client, self.orders, metrics)
        self.request_runner = DrainGate(self.runner, self.orders)
        self.addresses = RouterResolver(
            settings.zone, settings.address_seconds, self._live, self._version
        )
        self.drain = Drain(
            self,
            lambda: self.request_runner.in_progress,
            settings.address_seconds,
            settings.drain_seconds,
        )
        self.request_runner.rejection = self.drain.rejection
        self.feed: EngineFeed | None = None
        if feed is not None:
            self.feed = EngineFeed(self.dispatchers, self._version, feed)
        self.engine_controller: EngineController | None = None
        if engines is not None:
            lease = Lease(platform.tables, LEASE_NAME, owner)
            reconciler = EngineReconciler(
                platform.tables, lease, engines, self.membership.is_terminated, metrics
            )
            self.engine_controller = EngineController(
                lease, reconciler, self.membership, self._version
            )

    @property
    def version(self) -> Version | None:
        """The configuration in force."""
        return self.config_watcher.current

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force, so that requests can be served."""
        return self.version is not None

    def set_addresses(
        self, peer_address: str, caller_address: str, operator_address: str = ""
    ) -> None:
        """Set the addresses of the listeners, once they are open."""
        own = replace(
            self.membership.own,
            peer_address=peer_address,
            caller_address=caller_address,
            operator_address=operator_address,
        )
        self.membership.update_own(own)

    def announce_leaving(self) -> None:
        """Announce to the other routers that this one accepts no new work."""
        self.membership.announce_leaving()

    def reject_waiting(self, fault: Fault) -> None:
        """Reject waiting requests that no endpoint has tried."""
        self.ingress.reject_waiting(fault)

    def alternative_address(self) -> str:
        """Return the caller address of another router, or an empty string."""
        return self.addresses.alternative_address(self.membership.own.vm)

    async def start(self) -> None:
        """Read the configuration once and start the tasks."""
        self.objectives.start()
        await self.config_watcher.start()
        parts = (
            self.membership,
            self.config_watcher,
            self.ingress,
            self.dispatchers,
            self.sweeper,
        )
        for part in parts:
            self._tasks.append(asyncio.create_task(part.run()))
        if self.feed is not None:
            self._tasks.append(asyncio.create_task(self.feed.run()))
        if self.engine_controller is not None:
            self._tasks.append(asyncio.create_task(self.engine_controller.run()))

    async def stop(self) -> None:
        """Cancel all tasks without draining."""
        self.orders.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _report_endpoint(self, address: str, reason: EndpointStatus) -> None:
        """Report the status of the endpoints at an address to the fleet."""
        version = self.version
        if version is None:
            return
        blocked = self.membership.blocked_endpoints()
        if reason is EndpointStatus.BACK and not blocked:
            return
        for name, service in version.document.services.items():
            for endpoint, entry in service.endpoints.items():
                if entry.address != address:
                    continue
                known = blocked.get((name, endpoint))
                if reason is not EndpointStatus.BACK or known is EndpointStatus.REFUSED:
                    self.membership.report_endpoint(name, endpoint, reason)

    def _version(self) -> Version | None:
        return self.config_watcher.current

    def _version_number(self) -> int:
        current = self.config_watcher.current
        return current.number if current else 0

    def _load(self) -> float:
        return float(self.ingress.running)

    def _live(self) -> Iterable[Member]:
        return self.membership.live()

    def _is_sweeper(self) -> bool:
        staying = [member.vm for member in self._live() if not member.leaving]
        return min(staying, default="") == self.membership.own.vm

    def _reachable(self) -> Iterable[Member]:
        return self.membership.reachable_members()

    def _apply_version(self, version: Version) -> None:
        self.dispatchers.apply_version(version)
