"""Faults of the fairness benchmark, injected at fixed times."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from teaselledge_standins.virtual.fleet import VirtualFleet, VirtualPlan

from bench.driver import Script
from bench.naive import EndpointEvent

__all__ = [
    "FAULTS",
    "Fault",
    "FaultNotFoundError",
    "get_fault_by_name",
    "leaving_endpoint",
]

BEGIN = 8.0
END = 14.0
SLOWDOWN_FACTOR = 4.0


@dataclass(frozen=True)
class Fault:
    """A fault between `BEGIN` and `END`.

    Attributes
    ----------
    script : callable
        Returns the script for a seed.
    events : callable
        Returns the changes of endpoints for the simulation of the naive policy.
    splits : bool
        Some routers can't reach each other during the fault.
    """

    script: Callable[[int], Script]
    events: Callable[[VirtualPlan], Sequence[EndpointEvent]] = lambda plan: ()
    splits: bool = False


def leaving_endpoint(plan: VirtualPlan) -> str:
    """Return the name of the endpoint that is slow or leaves."""
    return f"{next(iter(plan.services))}-0"


def _victim(fleet: VirtualFleet, seed: int) -> str:
    routers = list(fleet.plan.routers)
    return routers[seed % len(routers)]


def _router_death(seed: int) -> Script:
    async def script(fleet: VirtualFleet) -> None:
        await asyncio.sleep(BEGIN)
        vm = _victim(fleet, seed)
        await fleet.kill(vm)
        fleet.vms.remove(vm)

    return script


def _restart(seed: int) -> Script:
    async def script(fleet: VirtualFleet) -> None:
        await asyncio.sleep(BEGIN)
        vm = _victim(fleet, seed)
        await fleet.kill(vm)
        await asyncio.sleep((END - BEGIN) / 3)
        await fleet.start(vm)

    return script


def _sides(fleet: VirtualFleet) -> tuple[set[str], set[str]]:
    zones = fleet.network.zones
    regions = fleet.plan.network.regions
    far = list(regions.values())[-1]
    there = {name for name, zone in zones.items() if regions[zone] == far}
    return there, set(zones) - there


def _split(seed: int) -> Script:
    async def script(fleet: VirtualFleet) -> None:
        await asyncio.sleep(BEGIN)
        fleet.network.cut(*_sides(fleet))
        await asyncio.sleep(END - BEGIN)
        fleet.network.heal()

    return script


def _one_way(seed: int) -> Script:
    async def script(fleet: VirtualFleet) -> None:
        await asyncio.sleep(BEGIN)
        there, here = _sides(fleet)
        fleet.network.cut(there, here, both_ways=False)
        await asyncio.sleep(END - BEGIN)
        fleet.network.heal()

    return script


def _store_down(seed: int) -> Script:
    async def script(fleet: VirtualFleet) -> None:
        await asyncio.sleep(BEGIN)
        fleet.tables.faults.down = fleet.vms.faults.down = True
        await asyncio.sleep(END - BEGIN)
        fleet.tables.faults.down = fleet.vms.faults.down = False

    return script


def _slow(seed: int) -> Script:
    async def script(fleet: VirtualFleet) -> None:
        endpoint = fleet.endpoints[leaving_endpoint(fleet.plan)]
        await asyncio.sleep(BEGIN)
        endpoint.faults.slow = SLOWDOWN_FACTOR
        await asyncio.sleep(END - BEGIN)
        endpoint.faults.slow = 1.0

    return script


def _slow_events(plan: VirtualPlan) -> Sequence[EndpointEvent]:
    name = leaving_endpoint(plan)
    return [EndpointEvent(BEGIN, name, SLOWDOWN_FACTOR), EndpointEvent(END, name)]


def _with_leaving(fleet: VirtualFleet, leaving: bool) -> dict[str, Any]:
    document = fleet.document()
    service = next(iter(fleet.plan.services))
    entry = document["services"][service]["endpoints"][leaving_endpoint(fleet.plan)]
    entry["leaving"] = leaving
    return document


def _leaving(seed: int) -> Script:
    async def script(fleet: VirtualFleet) -> None:
        await asyncio.sleep(BEGIN)
        fleet.publish(2, _with_leaving(fleet, True))
        await asyncio.sleep(END - BEGIN)
        fleet.publish(3, _with_leaving(fleet, False))

    return script


def _leaving_events(plan: VirtualPlan) -> Sequence[EndpointEvent]:
    name = leaving_endpoint(plan)
    return [EndpointEvent(BEGIN, name, leaving=True), EndpointEvent(END, name)]


FAULTS: dict[str, Fault] = {
    "router-death": Fault(_router_death),
    "restart-empty": Fault(_restart),
    "split-and-heal": Fault(_split, splits=True),
    "one-way-loss": Fault(_one_way, splits=True),
    "store-down": Fault(_store_down),
    "endpoint-slow": Fault(_slow, _slow_events),
    "endpoint-leaving": Fault(_leaving, _leaving_events),
}


class FaultNotFoundError(LookupError):
    """No fault has the given name."""


def get_fault_by_name(name: str) -> Fault:
    """Return the fault with a name.

    Raises
    ------
    FaultNotFoundError
        If no fault has that name.
    """
    found = FAULTS.get(name)
    if found is None:
        raise FaultNotFoundError(name)
    return found
