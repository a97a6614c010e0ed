"""Complete routers in one process, on loopback, with an in-memory store."""

import math
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial

from teaselledge_fleet.connection.pages import Page
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.router import FleetRouter
from teaselledge_fleet.process.settings import FleetSettings, Listeners, Place
from teaselledge_fleet.request.call import HeaderCodec
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from teaselledge_fleet.version.routes import RoutingConfiguration

from teaselledge_standins.processes import free_ports
from teaselledge_standins.statestore import MemoryStateStore, StoreClient, make_store

__all__ = ["RunningRouter", "SaturatedLoopMonitor", "running_routers"]

ZONE, REGION = "north-a", "north"


class LocalPages:
    """Page of router addresses, with one address per line."""

    addresses_path = "/addresses"

    def caller_location(self, arguments: dict[str, str]) -> tuple[str, str]:
        """Return the only zone."""
        return ZONE, REGION

    def addresses_page(self, addresses: list[str], seconds: float) -> Page:
        """Return the page with the addresses."""
        return Page(200, "\n".join(addresses).encode())


@dataclass
class SaturatedLoopMonitor:
    """Event-loop monitor of a router whose CPU is saturated."""

    recently_blocked: bool = False
    overloaded: bool = True
    utilisation: float = 1.0
    peak_utilisation: float = 1.0
    rebalance_fraction: float = 1.0
    loop_utilisation: float = 0.0

    def responsive_since(self, at: float) -> bool:
        """Return False: the event loop is always behind."""
        return False

    def pop_longest_iteration(self) -> float:
        """Return 0, so that the limit of new connections is not applied."""
        return 0.0


@dataclass
class RunningRouter:
    """A router and the port of its callers' listener."""

    router: FleetRouter
    port: int
    make_router: Callable[[], FleetRouter]
    store: MemoryStateStore

    async def restart(self) -> None:
        """Close the router without notice, and start one that knows nothing yet."""
        await self.router.close()
        self.router = self.make_router()
        await self.router.start()

    def simulate_uptime(self) -> None:
        """Make the router use its whole part of the retries, as after some time."""
        self.router._budget._started = -math.inf

    def simulate_saturation(self) -> None:
        """Make the router consider its CPU saturated."""
        self.router._event_loop = SaturatedLoopMonitor()  # type: ignore[assignment]


def _settings(number: int, seeds: tuple[str, ...]) -> FleetSettings:
    callers, ready, addresses, relays = free_ports(4)
    return FleetSettings(
        Place(f"r{number}", "127.0.0.1", ZONE, REGION),
        {ZONE: REGION},
        Listeners(
            callers=f"127.0.0.1:{callers}",
            ready=f"127.0.0.1:{ready}",
            peers=seeds[number],
            addresses=f"127.0.0.1:{addresses}",
            relays=f"127.0.0.1:{relays}",
        ),
        seeds=seeds,
    )


@asynccontextmanager
async def running_routers(
    count: int,
    routing: RoutingConfiguration,
    endpoints: Iterable[Endpoint],
    codec: HeaderCodec | None = None,
) -> AsyncIterator[list[RunningRouter]]:
    """Run ``count`` routers in one zone as a context manager."""
    store = make_store(endpoints)
    seeds = tuple(f"127.0.0.1:{port}" for port in free_ports(count))
    running = []
    for number in range(count):
        settings = _settings(number, seeds)
        make_router = partial(
            FleetRouter,
            settings,
            StoreClient(store, settings.place.vm),
            codec or DefaultHeaderCodec(),
            LocalPages(),
            lambda data: routing,
        )
        port = int(settings.listeners.callers.rpartition(":")[2])
        running.append(RunningRouter(make_router(), port, make_router, store))
    for entry in running:
        await entry.router.start()
    try:
        yield running
    finally:
        for entry in running:
            await entry.router.close()
