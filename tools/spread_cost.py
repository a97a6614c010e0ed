"""Measure what telling one another costs routers, by size of the fleet.

``python tools/spread_cost.py`` prints a line a size: bytes sent a router and second,
at the mean and at the busiest router, calls to the store a second, and the time until
a change is known everywhere. The routers are the real ones, in one process, with a
virtual clock and a network that takes 20 ms.
"""

import asyncio
import random
from dataclasses import dataclass

import loguru
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_standins.spreadfleet import (
    GossipFleet,
    GossipRouter,
    running_gossip_fleet,
)
from teaselledge_standins.statestore import (
    MemoryStateStore,
    decode_empty_routing,
    make_store,
)
from teaselledge_standins.virtual.clock import virtual_loop

SIZES = ((9, 3, 8), (40, 6, 45), (89, 6, 51), (195, 6, 45), (370, 21, 2900))
"""Routers, zones and endpoints."""

REQUESTS_A_SECOND = 9.5
"""Requests at each router, as planned for 370 routers."""

READING_SECONDS = 0.05
FIRST_SECONDS = 0.2
RUN_SECONDS = 1.5
"""Time in which a request's prompt is read, its answer begins, and it ends."""

MOST_WAIT_SECONDS = 10.0
"""Longest wait that a request bears; all of them are admitted."""

ORGANISATIONS = 60
SETTLE_SECONDS = 8.0
MEASURED_SECONDS = 8.0
STEP_SECONDS = 0.02


@dataclass(frozen=True)
class SpreadCost:
    """What telling one another costs a fleet.

    Attributes
    ----------
    mean_bytes, most_bytes : float
        Sent a second by a router, and by the busiest one.
    calls : float
        Calls to the store a second, by all.
    change_seconds : float
        Until a change of the configuration is known everywhere.
    """

    mean_bytes: float
    most_bytes: float
    calls: float
    change_seconds: float


def new_store(endpoints: int) -> MemoryStateStore:
    """Return a store with a configuration and entries."""
    return make_store(
        Endpoint(
            f"i-{number:010x}",
            "books",
            f"10.0.{number // 250}.{number % 250}:8080",
            f"z{number % 6}",
            48,
        )
        for number in range(endpoints)
    )


def use(fleet: GossipFleet) -> None:
    """Give each router use of organisations to tell of."""
    for router in fleet.routers:
        for number in random.sample(range(ORGANISATIONS), ORGANISATIONS // 2):
            router.placer.shares.record_request(f"organisation-{number}", 20_000)


async def call(router: GossipRouter, endpoints: int) -> None:
    """Ask for a place for requests for ever, and count them until they end."""
    loop = asyncio.get_running_loop()
    add = router.load.add_local
    while True:
        await asyncio.sleep(random.expovariate(REQUESTS_A_SECOND))
        name = f"i-{random.randrange(endpoints):010x}"
        endpoint = router.store_cache.view.get(name)
        if endpoint is None:
            continue
        add(name, 1, READING_SECONDS)
        loop.call_later(FIRST_SECONDS, add, name, 0, -READING_SECONDS)
        loop.call_later(RUN_SECONDS, add, name, -1, 0.0)
        await router.admission_rpc.request_admission(
            endpoint, READING_SECONDS, MOST_WAIT_SECONDS
        )


async def measure(
    routers: int,
    zones: int,
    endpoints: int,
    settle: float = SETTLE_SECONDS,
    seconds: float = MEASURED_SECONDS,
) -> SpreadCost:
    """Return what a fleet of some size costs.

    Parameters
    ----------
    routers, zones, endpoints : int
        The size.
    settle, seconds : float
        Time until the load begins, and time for which it is measured.
    """
    loop = asyncio.get_running_loop()
    store = new_store(endpoints)
    async with running_gossip_fleet(
        store, routers, decode_empty_routing, zones
    ) as fleet:
        await asyncio.sleep(settle)
        use(fleet)
        calls_made = [
            asyncio.create_task(call(router, endpoints)) for router in fleet.routers
        ]
        await asyncio.sleep(RUN_SECONDS)
        before = [router.link.sent_bytes for router in fleet.routers]
        store.calls = 0
        await asyncio.sleep(seconds)
        sent = [
            (router.link.sent_bytes - start) / seconds
            for router, start in zip(fleet.routers, before, strict=True)
        ]
        calls = store.calls / seconds
        for task in calls_made:
            if task.done():
                # a load that has ended would make the figures too small
                task.result()
            task.cancel()
        store.configure(b"2")
        changed = loop.time()
        while any(router.store_cache.version < 2 for router in fleet.routers):  # noqa: PLR2004
            await asyncio.sleep(STEP_SECONDS)
        spread = loop.time() - changed
    return SpreadCost(sum(sent) / routers, max(sent), calls, spread)


def main() -> None:
    """Print the table."""
    loguru.logger.remove()
    print("routers zones endpoints  mean B/s  most B/s calls/s change s")
    for size in SIZES:
        with asyncio.Runner(loop_factory=virtual_loop) as runner:
            cost = runner.run(measure(*size))
        routers, zones, endpoints = size
        print(
            f"{routers:>7} {zones:>5} {endpoints:>9} {cost.mean_bytes:>9.0f} "
            f"{cost.most_bytes:>9.0f} {cost.calls:>7.1f} {cost.change_seconds:>8.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
