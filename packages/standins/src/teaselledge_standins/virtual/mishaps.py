"""Fault injections for a virtual fleet, each with a start and an undo function."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from teaselledge_standins.virtual.fleet import VirtualFleet

__all__ = ["FAULT_INJECTIONS", "FaultInjection", "get_fault_injection_by_name"]

PLATFORM_NODES = ("tables",)

Undo = Callable[[], None]


@dataclass(frozen=True)
class FaultInjection:
    """One kind of injected fault.

    Attributes
    ----------
    begin : callable
        Starts the fault and returns the function that ends it.
    min_seconds, max_seconds : float
        Minimum and maximum duration.
    """

    begin: Callable[["VirtualFleet", Random], Undo]
    min_seconds: float
    max_seconds: float


class FaultInjectionNotFoundError(LookupError):
    """There is no fault injection of that name."""


def _do_nothing() -> None:
    pass


def _random_router(fleet: VirtualFleet, random: Random) -> str:
    return random.choice(sorted(fleet.plan.routers))


def _partition(fleet: VirtualFleet, random: Random) -> Undo:
    """Cut a router off from some of the other nodes, sometimes in one direction."""
    vm = _random_router(fleet, random)
    others = sorted({*fleet.network.zones, *PLATFORM_NODES} - {vm})
    chosen = {name for name in others if random.random() < random.choice((0.4, 1.0))}
    both = random.random() < 0.7  # noqa: PLR2004
    before = set(fleet.network.cuts)
    if both or random.random() < 0.5:  # noqa: PLR2004
        fleet.network.cut({vm}, chosen, both)
    else:
        fleet.network.cut(chosen, {vm}, False)
    added = fleet.network.cuts - before
    return lambda: fleet.network.cuts.difference_update(added)


def _kill(fleet: VirtualFleet, random: Random) -> Undo:
    """Kill a router; it restarts without its state at the end of the fault."""
    vm = _random_router(fleet, random)
    if vm not in fleet.nodes:
        return _do_nothing
    task = asyncio.ensure_future(fleet.kill(vm))

    def restart() -> None:
        task.add_done_callback(lambda _: asyncio.ensure_future(fleet.start(vm)))

    return restart


def _pause(fleet: VirtualFleet, random: Random) -> Undo:
    """Pause a router between any two of its calls."""
    vm = _random_router(fleet, random)
    fleet.network.resume(vm)
    fleet.network.pause(vm)
    return lambda: fleet.network.resume(vm)


def _store_down(fleet: VirtualFleet, random: Random) -> Undo:
    fleet.tables.faults.down = True
    return lambda: setattr(fleet.tables.faults, "down", False)


def _store_slow(fleet: VirtualFleet, random: Random) -> Undo:
    fleet.tables.faults.delay = random.uniform(0.05, 2.0)
    return lambda: setattr(fleet.tables.faults, "delay", 0.0)


def _answers_lost(fleet: VirtualFleet, random: Random) -> Undo:
    fleet.tables.faults.lose_answers = random.randint(1, 20)
    fleet.tables.faults.late_writes = 0.0
    return lambda: setattr(fleet.tables.faults, "lose_answers", 0)


def _late_writes(fleet: VirtualFleet, random: Random) -> Undo:
    fleet.tables.faults.lose_answers = random.randint(1, 10)
    fleet.tables.faults.late_writes = random.uniform(0.1, 20.0)
    return lambda: setattr(fleet.tables.faults, "lose_answers", 0)


def _endpoint_drops(fleet: VirtualFleet, random: Random) -> Undo:
    """Make endpoints execute requests and drop their connections."""
    faults = [endpoint.faults for endpoint in fleet.endpoints.values()]
    stop = random.choice((-1, 0, 0, 5, 20))
    for fault in faults:
        fault.drop_after_run = random.randint(0, 3)
        fault.break_after = stop

    def end() -> None:
        for fault in faults:
            fault.drop_after_run = 0
            fault.break_after = -1

    return end


def _endpoint_slow(fleet: VirtualFleet, random: Random) -> Undo:
    """Slow some endpoints down, some so far that callers' deadlines pass."""
    faults = [endpoint.faults for endpoint in fleet.endpoints.values()]
    for fault in faults:
        fault.slow = random.choice((1.0, 5.0, 60.0))

    def end() -> None:
        for fault in faults:
            fault.slow = 1.0

    return end


def _endpoint_refuses(fleet: VirtualFleet, random: Random) -> Undo:
    faults = [endpoint.faults for endpoint in fleet.endpoints.values()]
    chosen = random.sample(faults, random.randint(1, len(faults)))
    for fault in chosen:
        fault.refuse = True

    def end() -> None:
        for fault in chosen:
            fault.refuse = False

    return end


FAULT_INJECTIONS: Mapping[str, FaultInjection] = {
    "partition": FaultInjection(_partition, 2.0, 25.0),
    "kill": FaultInjection(_kill, 0.5, 10.0),
    "pause": FaultInjection(_pause, 0.5, 30.0),
    "store-down": FaultInjection(_store_down, 1.0, 40.0),
    "store-slow": FaultInjection(_store_slow, 2.0, 20.0),
    "answers-lost": FaultInjection(_answers_lost, 1.0, 10.0),
    "late-writes": FaultInjection(_late_writes, 1.0, 10.0),
    "endpoint-drops": FaultInjection(_endpoint_drops, 1.0, 8.0),
    "endpoint-slow": FaultInjection(_endpoint_slow, 1.0, 20.0),
    "endpoint-refuses": FaultInjection(_endpoint_refuses, 1.0, 20.0),
}


def get_fault_injection_by_name(name: str) -> FaultInjection:
    """Return a fault injection.

    Raises
    ------
    FaultInjectionNotFoundError
        If there is none of that name.
    """
    found = FAULT_INJECTIONS.get(name)
    if found is None:
        raise FaultInjectionNotFoundError(name)
    return found
