"""Random graceful shutdowns under load, checked by the responses of the callers."""

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

REQUEST_COUNT = 60
SPREAD_SECONDS = 30.0
MAX_REQUEST_SECONDS = 40.0
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
    """Make the table service and the VM list unavailable for ``OUTAGE_SECONDS``.

    A longer outage than the settings' maximum duration of a drain would end the drain
    by its deadline, since the outcomes of orders can't be written.
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
    """Kill a router that is not shutting down."""
    asyncio.ensure_future(fleet.kill("v4"))  # noqa: RUF006


def nothing(fleet: VirtualFleet) -> None:
    """Inject no second fault."""


CONCURRENT_FAULTS: tuple[Callable[[VirtualFleet], None], ...] = (
    nothing,
    store_slow,
    store_down,
    frames_lost,
    router_killed,
)
"""Second faults; none breaks a connection of the routers that shut down."""


@dataclass(frozen=True)
class DrainReport:
    """Counts of the requests to routers that shut down during a run.

    Attributes
    ----------
    requests, answered, refused : int
        Requests sent, with the correct response, and refused.
    cut : int
        Responses that were broken, wrong or ended with the process, and refusals for
        a reason other than the shutdown or an unavailable journal.
    false_no : int
        Requests refused as not executed that an endpoint did execute.
    not_whole : int
        Shutdowns that were ended by their deadline or by a second signal.
    """

    requests: int
    answered: int
    refused: int
    cut: int
    false_no: int
    not_whole: int


@dataclass(frozen=True)
class _Sent:
    """A request to a router.

    Attributes
    ----------
    connected : bool
        Whether the router was running when the request was sent.
    result : CallResult or None
        None if the router's process ended during the request.
    """

    name: str
    connected: bool
    result: CallResult | None = None


async def _send(fleet: VirtualFleet, random: Random, number: int) -> _Sent:
    await asyncio.sleep(random.uniform(0, SPREAD_SECONDS))
    vm = random.choice(["v1", "v2"])
    name = f"r{number}"
    kind, key = ("order", name) if random.random() < 0.2 else ("work", None)  # noqa: PLR2004
    organisation = random.choice(list(PLAN.shares))
    cost = random.uniform(0.1, MAX_REQUEST_SECONDS)
    if vm not in fleet.nodes:
        # The router has stopped listening; a real caller would use another one.
        return _Sent(name, False)
    try:
        call = fleet.call(vm, organisation, "s", kind, name, cost, key)
        return _Sent(name, True, await call)
    except ConnectionError:
        return _Sent(name, True)


async def _shut_down(fleet: VirtualFleet, vm: str, after: float) -> DrainExit:
    await asyncio.sleep(after)
    drain = fleet.nodes[vm].drain
    drain.start()
    ended = await drain.wait()
    await fleet.kill(vm)
    return ended


async def run_drain_scenario(seed: int) -> DrainReport:
    """Shut two routers down at random times during a second fault.

    Parameters
    ----------
    seed : int
        Seed of the run; it also selects the second fault.
    """
    random = Random(seed)
    async with running_virtual_fleet(PLAN, seed) as fleet:
        leaving = [
            asyncio.create_task(
                _shut_down(fleet, vm, random.uniform(2, SPREAD_SECONDS))
            )
            for vm in ("v1", "v2")
        ]
        sending = [
            asyncio.create_task(_send(fleet, random, number))
            for number in range(REQUEST_COUNT)
        ]
        await asyncio.sleep(random.uniform(0, SPREAD_SECONDS))
        CONCURRENT_FAULTS[seed % len(CONCURRENT_FAULTS)](fleet)
        ends = await asyncio.gather(*leaving)
        sent = await asyncio.gather(*sending)
        ran = {run.name for e in fleet.endpoints.values() for run in e.runs}
    return _make_report(list(sent), ran, list(ends))


def _make_report(
    sent: list[_Sent], ran: set[str], ends: list[DrainExit]
) -> DrainReport:
    connected = [entry for entry in sent if entry.connected]
    answered = refused = cut = false_no = 0
    for entry in connected:
        result = entry.result
        if result is None:
            cut += 1
            continue
        fault = result.fault
        if fault is None:
            answered += result.is_correct
            cut += not result.is_correct
            continue
        refused += 1
        false_no += fault.ran is Ran.NO and entry.name in ran
        # An order whose journal record could not be written before its deadline,
        # because the store is slow or unavailable, may be refused.
        cut += fault.kind not in (ErrorKind.LEAVING, ErrorKind.JOURNAL_UNAVAILABLE)
    not_whole = sum(end is not DrainExit.WHOLE for end in ends)
    return DrainReport(len(connected), answered, refused, cut, false_no, not_whole)
