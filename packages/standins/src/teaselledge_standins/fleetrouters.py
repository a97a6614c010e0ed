"""Whole routers in one process, over loopback, with a store in memory."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from teaselledge_fleet.connection.pages import Page
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.router import FleetRouter
from teaselledge_fleet.process.settings import FleetSettings, Listeners, Place
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from teaselledge_fleet.version.routes import RoutingConfiguration

from teaselledge_standins.processes import free_ports
from teaselledge_standins.statestore import StoreClient, make_store

__all__ = ["RunningRouter", "SaturatedLoopMonitor", "running_routers"]

ZONE, REGION = "north-a", "north"


class LocalPages:
    """Answers with the addresses, a line each."""

    addresses_path = "/addresses"

    def caller_location(self, arguments: dict[str, str]) -> tuple[str, str]:
        """Return the only zone."""
        return ZONE, REGION

    def addresses_page(self, addresses: list[str], seconds: float) -> Page:
        """Return the page that names routers."""
        return Page(200, "\n".join(addresses).encode())


@dataclass
class SaturatedLoopMonitor:
    """Stands for the busyness of a router that has no processor time left."""

    recently_blocked: bool = False
    overloaded: bool = True
    utilisation: float = 1.0
    rebalance_fraction: float = 1.0
    loop_utilisation: float = 0.0

    def responsive_since(self, at: float) -> bool:
        """Return that it is late all the time."""
        return False

    def pop_longest_iteration(self) -> float:
        """Return that turns are short: the limit of connections is not wanted here."""
        return 0.0


@dataclass(frozen=True)
class RunningRouter:
    """A router and the port for its callers."""

    router: FleetRouter
    port: int

    def simulate_saturation(self) -> None:
        """Take all its processor time from it."""
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
    count: int, routing: RoutingConfiguration, endpoints: Iterable[Endpoint]
) -> AsyncIterator[list[RunningRouter]]:
    """Run so many routers of one zone."""
    store = make_store(endpoints)
    seeds = tuple(f"127.0.0.1:{port}" for port in free_ports(count))
    running = []
    for number in range(count):
        settings = _settings(number, seeds)
        router = FleetRouter(
            settings,
            StoreClient(store, settings.place.vm),
            DefaultHeaderCodec(),
            LocalPages(),
            lambda data: routing,
        )
        port = int(settings.listeners.callers.rpartition(":")[2])
        running.append(RunningRouter(router, port))
    for each in running:
        await each.router.start()
    try:
        yield running
    finally:
        for each in running:
            await each.router.close()
