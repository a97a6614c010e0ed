"""Requests while all engines load: queued, or refused at once."""

import asyncio
from collections.abc import Iterator
from random import Random

import looptime
from teaselledge.process.endpointstatus import EndpointStatus
from teaselledge_standins.virtual.fleet import (
    VirtualFleet,
    VirtualPlan,
    VirtualService,
    running_virtual_fleet,
)
from teaselledge_standins.virtual.network import NetworkPlan

from bench.case import Bound, Case

__all__ = ["run"]

LOAD_SECONDS = 20.0
REQUEST_COUNT = 200
REQUESTS_PER_SECOND = 8.0
COST_SECONDS = 0.2
REPORT_INTERVAL_SECONDS = 2.0
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8.0

PLAN = VirtualPlan(
    NetworkPlan({"a": "r", "b": "r"}),
    {"v1": "a", "v2": "b"},
    {"org": 1.0},
    {
        "s": VirtualService(
            "seconds",
            ["a", "b"],
            slots=4,
            kinds={"work": {"methods": ["POST"], "paths": ["work"], "deadline": 60}},
        )
    },
)


async def _load(fleet: VirtualFleet, seconds: float) -> None:
    """Report all engines as loading for a number of seconds."""
    loop = asyncio.get_running_loop()
    member = fleet.nodes["v1"].membership
    ends = loop.time() + seconds
    while loop.time() < ends:
        for name in fleet.endpoints:
            member.report_endpoint("s", name, EndpointStatus.LOADING)
        await asyncio.sleep(REPORT_INTERVAL_SECONDS)
    for name in fleet.endpoints:
        member.report_endpoint("s", name, EndpointStatus.BACK)


async def _call(
    fleet: VirtualFleet, name: str, vm: str, random: Random, refuse: bool
) -> float:
    """Call with exponential backoff until a correct response; return the seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    backoff = INITIAL_BACKOFF_SECONDS
    member = fleet.nodes[vm].membership
    while True:
        loading = len(member.blocked_endpoints()) == len(fleet.endpoints)
        # simulates a router that refuses requests while all engines load
        if not (refuse and loading):
            outcome = await fleet.call(vm, "org", "s", "work", name, COST_SECONDS)
            if outcome.is_correct:
                return loop.time() - started
        _refusals.append(name)
        await asyncio.sleep(backoff * random.uniform(0.5, 1.5))
        backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)


_refusals: list[str] = []


async def _measure(refuse: bool, seed: int) -> Case:
    _refusals.clear()
    random = Random(seed)
    async with running_virtual_fleet(PLAN, seed) as fleet:
        loading = asyncio.create_task(_load(fleet, LOAD_SECONDS))
        await asyncio.sleep(0.5)
        calls = []
        for index in range(REQUEST_COUNT):
            vm = f"v{1 + index % 2}"
            call = _call(fleet, f"x{index}", vm, random, refuse)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        seconds = sorted([await call for call in calls])
        await loading
        runs = [run for e in fleet.endpoints.values() for run in e.runs]
        first = min(run.started for run in runs)
        last = max(run.ended for run in runs)
    figures = {
        "seconds_p50": seconds[len(seconds) // 2],
        "seconds_p95": seconds[int(len(seconds) * 0.95)],
        "seconds_max": seconds[-1],
        "refusals_per_request": len(_refusals) / REQUEST_COUNT,
        "seconds_from_first_run_to_last": last - first,
    }
    name = "refused-at-once" if refuse else "waiting"
    bounds = {} if refuse else {"refusals_per_request": Bound(at_most=0.0)}
    return Case(f"engines-loading-{name}", seed, figures, bounds)


def run(quick: bool) -> Iterator[Case]:
    """Run both variants with the same requests."""
    for refuse in (False, True):
        with asyncio.Runner(
            loop_factory=lambda: looptime.new_event_loop(noop_cycles=5)
        ) as runner:
            yield runner.run(_measure(refuse, 1))
