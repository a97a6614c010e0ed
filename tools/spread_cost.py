"""Measure the cost of gossip between routers by size of the fleet.

``python tools/spread_cost.py`` prints a line for each size: mean and maximum of the
bytes that a router sends per second, store calls per second, and the time until all
routers have received a change. The routers run their production code in one process,
with a virtual clock and a network delay of 20 ms.
"""

import asyncio
import random
from dataclasses import dataclass

import loguru
from teaselledge_fleet.migration.origins import StreamOrigin
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
"""Numbers of routers, zones and endpoints of each measured fleet."""

REQUESTS_PER_SECOND = 9.5
"""Rate at each router, as planned for 370 routers."""

PREFILL_SECONDS = 0.05
FIRST_BYTE_SECONDS = 0.2
REQUEST_SECONDS = 1.5
"""Prefill time of a request, and times from its start to its first response byte and
to its end."""

MAX_QUEUEING_SECONDS = 10.0
"""Maximum queueing time of a request; long enough for all to be admitted."""

STREAM_KEY_BITS = 62
VERSION = "v1.2"
"""Every request is a stream that can be taken up, from an engine of this version."""

ORGANISATION_COUNT = 60
SETTLE_SECONDS = 8.0
MEASURED_SECONDS = 8.0
POLL_INTERVAL_SECONDS = 0.02


@dataclass(frozen=True)
class SpreadCost:
    """Cost of gossip in a fleet.

    Attributes
    ----------
    mean_bytes, most_bytes : float
        Mean and maximum over the routers of the bytes sent per second.
    calls : float
        Store calls per second of all routers together.
    change_seconds : float
        Time until all routers have received a change of the configuration.
    """

    mean_bytes: float
    most_bytes: float
    calls: float
    change_seconds: float


def new_store(endpoints: int) -> MemoryStateStore:
    """Return a store with a configuration and entries of endpoints."""
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


def record_usage(fleet: GossipFleet) -> None:
    """Record requests of organisations at each router, so that it has usage to send."""
    for router in fleet.routers:
        for number in random.sample(range(ORGANISATION_COUNT), ORGANISATION_COUNT // 2):
            router.placer.shares.record_request(f"organisation-{number}", 20_000)


async def generate_load(router: GossipRouter, endpoints: int) -> None:
    """Request admission for random requests, and count each as load until its end.

    Runs until it is cancelled.
    """
    loop = asyncio.get_running_loop()
    add = router.load.add_local
    while True:
        await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        name = f"i-{random.randrange(endpoints):010x}"
        endpoint = router.store_cache.view.get(name)
        if endpoint is None:
            continue
        add(name, 1, PREFILL_SECONDS)
        loop.call_later(FIRST_BYTE_SECONDS, add, name, 0, -PREFILL_SECONDS)
        loop.call_later(REQUEST_SECONDS, add, name, -1, 0.0)
        stream = random.getrandbits(STREAM_KEY_BITS)
        origin = StreamOrigin(endpoint.service, VERSION)
        loop.call_later(FIRST_BYTE_SECONDS, router.origins.record, stream, origin)
        await router.admission_rpc.request_admission(
            endpoint, PREFILL_SECONDS, MAX_QUEUEING_SECONDS
        )


async def measure(
    routers: int,
    zones: int,
    endpoints: int,
    settle: float = SETTLE_SECONDS,
    seconds: float = MEASURED_SECONDS,
) -> SpreadCost:
    """Measure the cost of gossip in a fleet.

    Parameters
    ----------
    routers, zones, endpoints : int
        Size of the fleet.
    settle, seconds : float
        Seconds until the load begins, and seconds of measurement.
    """
    loop = asyncio.get_running_loop()
    store = new_store(endpoints)
    async with running_gossip_fleet(
        store, routers, decode_empty_routing, zones
    ) as fleet:
        await asyncio.sleep(settle)
        record_usage(fleet)
        load_tasks = [
            asyncio.create_task(generate_load(router, endpoints))
            for router in fleet.routers
        ]
        await asyncio.sleep(REQUEST_SECONDS)
        before = [router.link.sent_bytes for router in fleet.routers]
        store.calls = 0
        await asyncio.sleep(seconds)
        sent = [
            (router.link.sent_bytes - start) / seconds
            for router, start in zip(fleet.routers, before, strict=True)
        ]
        calls = store.calls / seconds
        for task in load_tasks:
            if task.done():
                # raise the error of the task: without its load, the results are too low
                task.result()
            task.cancel()
        store.configure(b"2")
        changed = loop.time()
        while any(router.store_cache.version < 2 for router in fleet.routers):  # noqa: PLR2004
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        spread = loop.time() - changed
    return SpreadCost(sum(sent) / routers, max(sent), calls, spread)


def main() -> None:
    """Measure all sizes and print a table."""
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
