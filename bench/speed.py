"""Speed of one router compared with a pass-through proxy in the same run.

Caller, proxy and endpoint share one process. The cost of a proxy is the processor time
of a call through it minus that of a direct call to the endpoint. The ratio of two such
costs is the inverse ratio of the request rates that one core can serve.
"""

import asyncio
import gc
import json
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Iterator

import numpy as np
from teaselledge.process.enginefeed import HttpFeedSource
from teaselledge_standins.caller import Caller
from teaselledge_standins.fleet import Fleet, FleetPlan, key_of, running_fleet

from bench.case import Bound, Case
from bench.passthrough import Passthrough

__all__ = ["run"]

Call = Callable[[], Awaitable[None]]

BATCH = 50
ROUNDS = 12
QUICK_ROUNDS = 7
SEQUENTIAL = 100
TOKEN_ROUNDS = 3
TOKEN_STREAMS = 30
TOKENS = 80
FEED_READS = 100
STREAMS = 50
STREAM_TOKENS = 400


class Timed:
    """Processor time and latencies of calls along one path."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self.cpu: list[float] = []
        self.rounds: list[list[float]] = []

    async def batch(self) -> None:
        """Make a batch of concurrent calls."""
        start = time.process_time()
        await asyncio.gather(*(self._call() for _ in range(BATCH)))
        self.cpu.append((time.process_time() - start) / BATCH)

    async def one(self) -> None:
        """Make one call of the current round."""
        begin = time.perf_counter()
        await self._call()
        self.rounds[-1].append(time.perf_counter() - begin)

    @property
    def cpu_seconds(self) -> float:
        """Minimum processor time per call over the rounds.

        The minimum, since other load on the machine can only add to it, through a
        shared cache or a shared core.
        """
        return float(np.min(self.cpu))

    def latency(self, percentile: float) -> float:
        """Return the median over the rounds of a percentile, in seconds."""
        return float(np.median([np.percentile(r, percentile) for r in self.rounds]))


def order_call(address: str, prefix: str) -> Call:
    """Return a function that sends a short request to the plain service."""
    caller = Caller(key_of("amber"))
    body = json.dumps({"name": "n", "seconds": 0, "organisation": "amber"}).encode()

    async def call() -> None:
        reply = await caller.call(address, "POST", f"{prefix}/work", body)
        assert reply.status == 200, reply

    return call


def stream_call(address: str, prefix: str) -> Call:
    """Return a function that requests a stream of tokens."""
    caller = Caller(key_of("amber"))
    body = json.dumps({"prompt": "n", "max_tokens": TOKENS}).encode()

    async def call() -> None:
        path = f"{prefix}/v1/completions"
        reply = await caller.call(address, "POST", path, body)
        assert reply.status == 200, reply

    return call


async def measure_round(paths: list[Timed]) -> None:
    """Measure all paths in turn, so that other load on the machine affects all."""
    for path in paths:
        await path.batch()
        path.rounds.append([])
    for _ in range(SEQUENTIAL):
        for path in paths:
            await path.one()


async def compare(fleet: Fleet, rounds: int) -> dict[str, float]:
    """Measure the three paths in turn, so that noise affects all equally."""
    endpoint = fleet.plains["plain-0"].address
    bare = Passthrough(endpoint)
    router = fleet.routers["r1"].caller_address
    paths = {
        "direct": Timed(order_call(endpoint, "")),
        "bare": Timed(order_call(bare.listen(), "")),
        "router": Timed(order_call(router, "/v1/services/ledger")),
    }
    for path in paths.values():
        await path.batch()
        path.cpu.clear()
    for _ in range(rounds):
        await measure_round(list(paths.values()))
    await bare.close()
    direct, through_bare, through = paths["direct"], paths["bare"], paths["router"]
    bare_cpu = through_bare.cpu_seconds - direct.cpu_seconds
    router_cpu = through.cpu_seconds - direct.cpu_seconds

    def added(path: Timed, percentile: float) -> float:
        return path.latency(percentile) - direct.latency(percentile)

    return {
        "bare_cpu_us": bare_cpu * 1e6,
        "router_cpu_us": router_cpu * 1e6,
        "router_requests_per_core_s": 1 / router_cpu,
        "throughput_ratio": bare_cpu / router_cpu,
        "added_p50_us": added(through, 50) * 1e6,
        "added_p50_ratio": added(through, 50) / added(through_bare, 50),
        "added_p99_ratio": added(through, 99) / added(through_bare, 99),
    }


async def token_cost(fleet: Fleet) -> dict[str, float]:
    """Measure the processor time that a router adds to each token of a stream."""
    paths = {
        "direct": (fleet.engines["engine-0"].address, ""),
        "router": (fleet.routers["r1"].caller_address, "/v1/services/models"),
    }
    cpu = {name: [] for name in paths}  # type: dict[str, list[float]]
    for _ in range(TOKEN_ROUNDS):
        for name, (address, prefix) in paths.items():
            start = time.process_time()
            await asyncio.gather(
                *(stream_call(address, prefix)() for _ in range(TOKEN_STREAMS))
            )
            cpu[name].append(time.process_time() - start)
    added = float(np.min(cpu["router"]) - np.min(cpu["direct"]))
    per_token = added / (TOKEN_STREAMS * TOKENS)
    return {"router_cpu_us_per_token": per_token * 1e6}


async def feed_cost(fleet: Fleet) -> dict[str, float]:
    """Measure one read of an engine's feed, including the engine's part."""
    address = fleet.engines["engine-0"].address
    source = HttpFeedSource()
    await source.read(address, -1)
    start = time.process_time()
    for _ in range(FEED_READS):
        page = await source.read(address, -1)
        assert page is not None
    return {"feed_cpu_us": (time.process_time() - start) / FEED_READS * 1e6}


async def stream_memory(fleet: Fleet) -> dict[str, float]:
    """Measure the memory of an open stream by opening many."""
    caller = Caller(key_of("amber"))
    address = fleet.routers["r1"].caller_address
    await caller.request_completion(address, "warm", 5, "amber")
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    tasks = [
        asyncio.create_task(
            caller.request_completion(address, f"s{i}", STREAM_TOKENS, "amber")
        )
        for i in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    # includes the stream's caller, router and endpoint
    return {"bytes_per_open_stream": (held - before) / STREAMS}


async def measure(quick: bool) -> dict[str, float]:
    """Run all measurements on one small fleet."""
    plan = FleetPlan(
        {"r1": "north-a"},
        engine_zones=("north-a",),
        plain_zones=("north-a",),
        slots=64,
    )
    async with running_fleet(plan) as fleet:
        figures = await compare(fleet, QUICK_ROUNDS if quick else ROUNDS)
        figures |= await token_cost(fleet)
        figures |= await feed_cost(fleet)
        figures |= await stream_memory(fleet)
    return figures


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    figures = asyncio.run(measure(quick))
    bounds = {
        "throughput_ratio": Bound(at_least=0.5),
        "added_p50_ratio": Bound(at_most=2.0),
        "added_p99_ratio": Bound(at_most=2.0),
        "bytes_per_open_stream": Bound(at_most=1 << 20),
    }
    yield Case("speed", 0, figures, bounds)
