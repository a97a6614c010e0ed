"""A small fleet with its endpoints and platform, in one process."""

import asyncio
import hashlib
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from teaselledge.platform import VmEntry
from teaselledge.process.router import Router
from teaselledge.process.settings import Limits, Listener, Platform, Settings, Tls
from teaselledge.version.store import unchecked_writes

from teaselledge_standins.engine import EngineEndpoint
from teaselledge_standins.meter import CountingProxy
from teaselledge_standins.objects import MemoryObjects
from teaselledge_standins.plain import PlainEndpoint
from teaselledge_standins.platformserver import PlatformServer
from teaselledge_standins.tables import MemoryTables
from teaselledge_standins.vms import MemoryVms

__all__ = ["OPERATOR", "Fleet", "FleetPlan", "key_of", "running_fleet"]

OPERATOR = "dana"
"""Operator with the admin role; `key_of` returns the key."""

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}


def key_of(organisation: str) -> str:
    """Return the bearer key of an organisation or operator of the fleet."""
    return f"key-of-{organisation}"


@dataclass(frozen=True)
class FleetPlan:
    """Configuration of a fleet.

    Attributes
    ----------
    routers : mapping of str to str
        Zone of each router.
    shares : mapping of str to float
        Share of each organisation.
    engine_zones, plain_zones : tuple of str
        Zone of each endpoint.
    slots : int
        Slots of each endpoint.
    limits : Limits
        Limits of each router.
    count_peer_bytes : bool
        Whether a counting proxy measures the bytes that each router receives.
    callers_tls, operators_tls : Tls or None
        TLS of the listeners.
    """

    routers: Mapping[str, str] = field(
        default_factory=lambda: {"r1": "north-a", "r2": "north-b", "r3": "south-a"}
    )
    shares: Mapping[str, float] = field(
        default_factory=lambda: {"amber": 1.0, "birch": 2.0}
    )
    engine_zones: tuple[str, ...] = ("north-a", "north-b")
    plain_zones: tuple[str, ...] = ("north-a",)
    slots: int = 4
    limits: Limits = field(default_factory=Limits)
    count_peer_bytes: bool = False
    callers_tls: Tls | None = None
    operators_tls: Tls | None = None


@dataclass
class Fleet:
    """A running fleet."""

    plan: FleetPlan
    tables: MemoryTables
    objects: MemoryObjects
    vms: MemoryVms
    engines: dict[str, EngineEndpoint]
    plains: dict[str, PlainEndpoint]
    routers: dict[str, Router]
    platform: PlatformServer
    platform_address: str
    meters: dict[str, CountingProxy] = field(default_factory=dict)

    def document(self) -> dict[str, Any]:
        """Return the configuration document of this fleet."""
        plan = self.plan
        slots = plan.slots
        return {
            "zones": {zone: {"region": region} for zone, region in ZONES.items()},
            "organisations": {
                name: {
                    "share": share,
                    "keys": [hashlib.sha256(key_of(name).encode()).hexdigest()],
                    "services": ["models", "ledger"],
                }
                for name, share in plan.shares.items()
            },
            "services": {
                "models": {
                    "cost": "tokens",
                    "resumes": True,
                    "reports_load": True,
                    "endpoints": {
                        name: {"address": e.address, "zone": zone, "slots": slots}
                        for (name, e), zone in zip(
                            self.engines.items(), plan.engine_zones, strict=True
                        )
                    },
                    "kinds": {
                        "completion": {
                            "methods": ["POST"],
                            "paths": ["v1/completions"],
                            "cost_hint": 20,
                        }
                    },
                },
                "ledger": {
                    "cost": "seconds",
                    "endpoints": {
                        name: {"address": e.address, "zone": zone, "slots": slots}
                        for (name, e), zone in zip(
                            self.plains.items(), plan.plain_zones, strict=True
                        )
                    },
                    "kinds": {
                        "lookup": {"methods": ["GET"], "paths": ["lookup/*"]},
                        "work": {"methods": ["POST"], "paths": ["work"]},
                        "order": {
                            "methods": ["POST"],
                            "paths": ["orders"],
                            "repeatable": False,
                        },
                    },
                },
            },
            "objectives": {
                "completions": {
                    "service": "models",
                    "kind": "completion",
                    "target": 0.95,
                    "seconds": 2.0,
                },
            },
            "operators": {
                OPERATOR: {
                    "keys": [hashlib.sha256(key_of(OPERATOR).encode()).hexdigest()],
                    "role": "admin",
                },
            },
        }

    def settings(self, vm: str) -> Settings:
        """Return the settings of a router."""
        zone = self.plan.routers[vm]
        address = self.platform_address
        meter = self.meters.get(vm)
        return Settings(
            vm,
            zone,
            ZONES[zone],
            Platform(address, address, address),
            callers=Listener(tls=self.plan.callers_tls),
            operators=Listener(tls=self.plan.operators_tls),
            peers=Listener(advertise=meter.address if meter else None),
            limits=self.plan.limits,
        )

    def publish(self, number: int) -> None:
        """Write the document to the table service without validating it."""
        self.tables.apply(unchecked_writes(self.document(), number))

    async def start_router(self, vm: str) -> Router:
        """Start a router and put it into the VM list."""
        if self.plan.count_peer_bytes:
            meter = self.meters[vm] = CountingProxy()
            await meter.listen()
        router = Router.from_config(self.settings(vm))
        router.listen()
        if self.plan.count_peer_bytes:
            meter.forward_to(router.listening_peer_address)
        zone = self.plan.routers[vm]
        self.vms.add(
            VmEntry(vm, zone, ZONES[zone], router.peer_address, router.caller_address)
        )
        await router.start()
        self.routers[vm] = router
        return router

    async def drain_router(self, vm: str) -> None:
        """Let a router finish its requests and stop it, as a drain does."""
        router = self.routers[vm]
        router.node.membership.announce_leaving()
        await asyncio.sleep(2)
        while router.node.ingress.running or router.node.ingress.waiting:
            await asyncio.sleep(0.05)
        await router.stop()

    async def stop(self) -> None:
        """Stop everything."""
        for router in self.routers.values():
            await router.stop()
        for meter in self.meters.values():
            await meter.close()
        for endpoint in (*self.engines.values(), *self.plains.values()):
            await endpoint.close()
        await self.platform.close()


@asynccontextmanager
async def running_fleet(plan: FleetPlan | None = None) -> AsyncIterator[Fleet]:
    """Run a fleet as a context manager, once the routers have discovered each other."""
    plan = plan or FleetPlan()
    engines = {f"engine-{i}": EngineEndpoint() for i, _ in enumerate(plan.engine_zones)}
    plains = {f"plain-{i}": PlainEndpoint() for i, _ in enumerate(plan.plain_zones)}
    for endpoint in (*engines.values(), *plains.values()):
        endpoint.listen()
    tables, objects, vms = MemoryTables(), MemoryObjects(), MemoryVms()
    platform = PlatformServer(tables, objects, vms)
    address = platform.listen()
    fleet = Fleet(plan, tables, objects, vms, engines, plains, {}, platform, address)
    fleet.publish(1)
    try:
        for vm in plan.routers:
            await fleet.start_router(vm)
        await _wait_until_discovered(fleet)
        yield fleet
    finally:
        await fleet.stop()


async def _wait_until_discovered(fleet: Fleet) -> None:
    async with asyncio.timeout(15):
        while True:
            counts = [len(r.addresses()["addresses"]) for r in fleet.routers.values()]
            if all(count == len(fleet.routers) for count in counts):
                return
            await asyncio.sleep(0.05)
