"""Random graceful shutdowns under load, judged by what callers saw."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from teaselledge.errors import ErrorKind, Ran
from teaselledge.process.drain import DrainExit

from teaselledge_standins.virtual.fleet import (
    CallResult,
    VirtualFleet,
    VirtualPlan,
    VirtualService,
    running_virtual_fleet,
)
from teaselledge_standins.virtual.network import NetworkPlan

__all__ = ["DrainReport", "run_drain_scenario"]

REQUESTS = 60
SPREAD_SECONDS = 30.0
LONGEST_SECONDS = 40.0
OUTAGE_SECONDS = 120.0
ROUTERS = {"v1": "a", "v2": "b", "v3": "a", "v4": "b"}

PLAN = VirtualPlan(
    NetworkPlan({"a": "r", "b": "r"}),
    ROUTERS,
    {"large": 3.0, "small": 1.0},
    {
        "s": VirtualService(
            "seconds",
            ["a", "b"],
            slots=3,
            kinds={
                "work": {"methods": ["POST"], "paths": ["work"], "deadline": 400},
                "order": {
                    "methods": ["POST"],
                    "paths": ["order"],
                    "repeatable": False,
                    "deadline": 400,
                },
            },
        )
    },
)


def store_slow(fleet: VirtualFleet) -> None:
    """Slow the table service down."""
    fleet.tables.faults.delay = 1.0


def store_down(fleet: VirtualFleet) -> None:
    """Take the table service and the VM list away for a while.

    An outage beyond the settings' longest shutdown ends it by the deadline,
    since the outcomes of orders then have nowhere to go.
    """

    def switch(down: bool) -> None:
        fleet.tables.faults.down = down
        fleet.vms.faults.down = down

    switch(True)
    asyncio.get_running_loop().call_later(OUTAGE_SECONDS, switch, False)


def frames_lost(fleet: VirtualFleet) -> None:
    """Lose a tenth of the frames between routers."""
    fleet.network.loss = 0.1


def router_killed(fleet: VirtualFleet) -> None:
    """Kill a router that is not leaving."""
    asyncio.ensure_future(fleet.kill("v4"))  # noqa: RUF006


def nothing(fleet: VirtualFleet) -> None:
    """Do nothing beside."""


CONCURRENT_FAULTS: tuple[Callable[[VirtualFleet], None], ...] = (
    nothing,
    store_slow,
    store_down,
    frames_lost,
    router_killed,
)
"""Second faults; none of them breaks a connection of the routers that leave."""


@dataclass(frozen=True)
class DrainReport:
    """What the callers of routers that left saw.

    Attributes
    ----------
    requests, answered, refused : int
        Sent, answered right, and refused.
    cut : int
        Answers that were broken, wrong or ended with the process.
    false_no : int
        Refused as not run, and yet carried out.
    not_whole : int
        Shutdowns that did not end by themselves.
    """

    requests: int
    answered: int
    refused: int
    cut: int
    false_no: int
    not_whole: int


@dataclass(frozen=True)
class _Sent:
    """A request; one that was met and has no outcome ended with the process."""

    name: str
    met: bool
    outcome: CallResult | None = None


async def _send(fleet: VirtualFleet, random: Random, number: int) -> _Sent:
    await asyncio.sleep(random.uniform(0, SPREAD_SECONDS))
    vm = random.choice(["v1", "v2"])
    name = f"r{number}"
    kind, key = ("order", name) if random.random() < 0.2 else ("work", None)  # noqa: PLR2004
    organisation = random.choice(list(PLAN.shares))
    cost = random.uniform(0.1, LONGEST_SECONDS)
    if vm not in fleet.nodes:
        # nobody listens there any more, so that the caller asks elsewhere
        return _Sent(name, False)
    try:
        calling = fleet.call(vm, organisation, "s", kind, name, cost, key)
        return _Sent(name, True, await calling)
    except ConnectionError:
        return _Sent(name, True)


async def _leave(fleet: VirtualFleet, vm: str, after: float) -> DrainExit:
    await asyncio.sleep(after)
    drain = fleet.nodes[vm].drain
    drain.start()
    ended = await drain.wait()
    await fleet.kill(vm)
    return ended


async def run_drain_scenario(seed: int) -> DrainReport:
    """Let two routers leave at random times, with a second fault beside.

    Parameters
    ----------
    seed : int
        Names the run, and by turns the second fault.
    """
    random = Random(seed)
    async with running_virtual_fleet(PLAN, seed) as fleet:
        leaving = [
            asyncio.create_task(_leave(fleet, vm, random.uniform(2, SPREAD_SECONDS)))
            for vm in ("v1", "v2")
        ]
        sending = [
            asyncio.create_task(_send(fleet, random, number))
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(random.uniform(0, SPREAD_SECONDS))
        CONCURRENT_FAULTS[seed % len(CONCURRENT_FAULTS)](fleet)
        ends = await asyncio.gather(*leaving)
        sent = await asyncio.gather(*sending)
        ran = {run.name for e in fleet.endpoints.values() for run in e.runs}
    return _judge(list(sent), ran, list(ends))


def _judge(sent: list[_Sent], ran: set[str], ends: list[DrainExit]) -> DrainReport:
    met = [entry for entry in sent if entry.met]
    answered = refused = cut = false_no = 0
    for entry in met:
        outcome = entry.outcome
        if outcome is None:
            cut += 1
            continue
        fault = outcome.fault
        if fault is None:
            answered += outcome.is_correct
            cut += not outcome.is_correct
            continue
        refused += 1
        false_no += fault.ran is Ran.NO and entry.name in ran
        # an order that the store holds up may be refused at its deadline
        cut += fault.kind not in (ErrorKind.LEAVING, ErrorKind.JOURNAL_UNAVAILABLE)
    not_whole = sum(end is not DrainExit.WHOLE for end in ends)
    return DrainReport(len(met), answered, refused, cut, false_no, not_whole)
