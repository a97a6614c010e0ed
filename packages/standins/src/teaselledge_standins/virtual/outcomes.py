"""Orders under random faults, checked against what the endpoints executed."""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from teaselledge.errors import ErrorKind, Ran
from teaselledge.process.node import Node
from teaselledge.request.record import (
    ORDERS_TABLE,
    OrderState,
    decode_record,
    order_row,
)

from teaselledge_standins.virtual.fleet import VirtualFleet
from teaselledge_standins.virtual.mishaps import (
    FAULT_INJECTIONS,
    get_fault_injection_by_name,
)
from teaselledge_standins.virtual.orders import order_fleet

__all__ = ["OutcomeReport", "run_outcomes"]

ORGANISATION = "amber"
ORDER_COUNT = 30
READ_COUNT = 15
FLOOD_REQUEST_COUNT = 60
PLACING_SECONDS = 40.0
"""Time during which orders are placed."""

FAULT_PAIR_COUNT = 3
QUIET_SECONDS = 60.0
"""Time from the last fault to the callers' final requests."""

MAX_TRIES = 8
MAX_FINAL_TRIES = 6
MAX_CLOCK_SKEW_SECONDS = 0.45
"""Maximum error of a router's wall clock, in both directions."""


@dataclass
class _Order:
    """State of an order as its caller sees it.

    Attributes
    ----------
    placed : list of float
        Loop time of each request for the order.
    refused_at : list of float
        Loop time of each response that said that the order was not executed.
    state : str
        Result of the latest requests.
    """

    name: str
    cost: float
    placed: list[float] = field(default_factory=list)
    refused_at: list[float] = field(default_factory=list)
    state: str = "open"

    def is_false_refusal(self, started: float) -> bool:
        """Return whether an execution that started at a time makes a refusal false.

        A refusal states that no request for the order so far was or will be
        executed. An execution after it must belong to a later request.
        """
        for refused in self.refused_at:
            if started < refused:
                return True
            if not any(refused <= placed <= started for placed in self.placed):
                return True
        return False


@dataclass(frozen=True)
class OutcomeReport:
    """Counts of one run, checked against the executions at the endpoints.

    Attributes
    ----------
    orders : int
        Orders placed.
    answered, not_run, ran, unknown : int
        Final result of the orders as their callers see it.
    lost : int
        Orders whose caller got no final result although it continued to retry.
    twice : int
        Orders that were executed more than once.
    false_no : int
        Orders reported as not executed that were executed.
    false_yes : int
        Orders reported as executed that were not.
    wrong : int
        Complete responses that belong to another request.
    stuck : int
        Unknown orders that need not be: their router is running, or there is no
        record of them.
    reasons : Counter of str
        Orders that remain unknown, by what their journal record shows.
    """

    orders: int
    answered: int
    not_run: int
    ran: int
    unknown: int
    lost: int
    twice: int
    false_no: int
    false_yes: int
    wrong: int
    stuck: int
    reasons: Counter[str]

    @property
    def violations(self) -> int:
        """Number of violations of all kinds."""
        return (
            self.lost
            + self.twice
            + self.false_no
            + self.false_yes
            + self.wrong
            + self.stuck
        )


class _Run:
    def __init__(
        self, fleet: VirtualFleet, random: Random, prepare: Callable[[Node], None]
    ) -> None:
        self._fleet = fleet
        self._random = random
        self._prepare = prepare
        self._orders: list[_Order] = []
        self._wrong = 0

    async def run(self) -> OutcomeReport:
        """Place orders during random faults, and count the results."""
        for node in self._fleet.nodes.values():
            self._prepare(node)
        callers = [self._place_order(i) for i in range(ORDER_COUNT)]
        reads = [self._send_read(i) for i in range(READ_COUNT)]
        await asyncio.gather(self._inject_faults(), *callers, *reads)
        await asyncio.sleep(QUIET_SECONDS)
        await asyncio.gather(*(self._place_finally(order) for order in self._orders))
        return self._make_report()

    async def _inject_faults(self) -> None:
        random = self._random
        for _ in range(FAULT_PAIR_COUNT):
            names = random.sample(sorted(FAULT_INJECTIONS), 2)
            await asyncio.gather(*(self._inject_fault(name) for name in names))
        # Restarted nodes must be running before the callers' final requests.
        for vm in self._fleet.plan.routers:
            if vm not in self._fleet.nodes:
                await asyncio.sleep(1.0)

    async def _inject_fault(self, name: str) -> None:
        injection = get_fault_injection_by_name(name)
        random = self._random
        await asyncio.sleep(random.uniform(0.0, 5.0))
        undo = injection.begin(self._fleet, random)
        flood = None
        if random.random() < 0.3:  # noqa: PLR2004
            flood = asyncio.ensure_future(self._flood())
        await asyncio.sleep(
            random.uniform(injection.min_seconds, injection.max_seconds)
        )
        undo()
        await asyncio.sleep(1.0)
        for node in self._fleet.nodes.values():
            self._prepare(node)
        if flood is not None:
            await flood

    async def _flood(self) -> None:
        """Send many requests of another organisation at once."""
        calls = [
            self._call("birch", "read", f"flood-{i}-{self._random.random()}", 0.5, 5.0)
            for i in range(FLOOD_REQUEST_COUNT)
        ]
        await asyncio.gather(*calls)

    async def _send_read(self, index: int) -> None:
        await asyncio.sleep(self._random.uniform(0.0, PLACING_SECONDS))
        await self._call(ORGANISATION, "read", f"read-{index}", 0.2, 30.0)

    async def _place_order(self, index: int) -> None:
        random = self._random
        order = _Order(f"order-{index}", random.choice((0.05, 0.1, 1.0, 5.0)))
        self._orders.append(order)
        await asyncio.sleep(random.uniform(0.0, PLACING_SECONDS))
        copies = 1
        if random.random() < 0.2:  # noqa: PLR2004
            copies = 3
        for _ in range(MAX_TRIES):
            timeout = random.choice((0.3, 3.0, 30.0))
            results = await asyncio.gather(
                *(self._place_once(order, timeout) for _ in range(copies))
            )
            order.state = _most_certain(results)
            if order.state in ("answered", "yes"):
                return
            if order.state == "no" and random.random() < 0.4:  # noqa: PLR2004
                return
            await asyncio.sleep(random.choice((0.0, 0.5, 3.0)))

    async def _place_finally(self, order: _Order) -> None:
        if order.state in ("answered", "yes", "no"):
            return
        for _ in range(MAX_FINAL_TRIES):
            order.state = await self._place_once(order, 60.0)
            if order.state in ("answered", "yes", "unknown"):
                return
            await asyncio.sleep(3.0)

    async def _place_once(self, order: _Order, timeout: float) -> str:
        loop = asyncio.get_running_loop()
        order.placed.append(loop.time())
        result = await self._call(
            ORGANISATION, "order", order.name, order.cost, timeout, order.name
        )
        if result == "no":
            order.refused_at.append(loop.time())
        return result

    async def _call(
        self,
        organisation: str,
        kind: str,
        name: str,
        cost: float,
        timeout: float,
        key: str | None = None,
    ) -> str:
        """Call a random router and return the result as the caller sees it."""
        vm = self._random.choice(sorted(self._fleet.plan.routers))
        call = self._fleet.call(vm, organisation, "ledger", kind, name, cost, key)
        with suppress(ConnectionError, TimeoutError):
            result = await asyncio.wait_for(call, timeout)
            if result.is_correct:
                return "answered"
            if result.sink.complete:
                self._wrong += 1
                return "wrong"
            if result.fault is None:
                return "broken"
            if result.fault.kind is ErrorKind.KEY_MISMATCH:
                return "mismatch"
            return result.fault.ran.value
        return "cut"

    def _make_report(self) -> OutcomeReport:
        runs: dict[str, list[float]] = {}
        for endpoint in self._fleet.endpoints.values():
            for run in endpoint.runs:
                runs.setdefault(run.name, []).append(run.started)
        states = Counter(order.state for order in self._orders)
        known = ("answered", "no", "yes", "unknown")
        reasons, stuck = self._reasons(runs)
        return OutcomeReport(
            len(self._orders),
            states["answered"],
            states["no"],
            states["yes"],
            states["unknown"],
            sum(count for state, count in states.items() if state not in known),
            sum(len(runs.get(o.name, ())) > 1 for o in self._orders),
            sum(
                any(order.is_false_refusal(time) for time in runs.get(order.name, ()))
                for order in self._orders
            ),
            sum(
                order.state in ("answered", Ran.YES.value) and order.name not in runs
                for order in self._orders
            ),
            self._wrong,
            stuck,
            reasons,
        )

    def _reasons(self, runs: dict[str, list[float]]) -> tuple[Counter[str], int]:
        """Count unknown orders by reason, and those that should not be unknown."""
        reasons: Counter[str] = Counter()
        stuck = 0
        nodes = self._fleet.nodes.values()
        alive = {f"{n.settings.vm}/{n.membership.own.incarnation:x}" for n in nodes}
        for order in self._orders:
            if order.state != "unknown":
                continue
            row = order_row(ORGANISATION, order.name)
            found = self._fleet.tables.peek(ORDERS_TABLE, row)
            record = decode_record(found.value) if found else None
            if record is None:
                reasons["no record"] += 1
                stuck += 1
            elif record.state is not OrderState.STARTED:
                reasons[record.reason or record.state.value] += 1
            elif record.owner in alive:
                reasons["started, router lives"] += 1
                stuck += 1
            elif order.name in runs:
                reasons["router was killed after the run began"] += 1
            else:
                reasons["router was killed between claim and run"] += 1
        return reasons, stuck


def _most_certain(results: list[str]) -> str:
    for result in ("answered", "yes", "unknown", "broken", "cut"):
        if result in results:
            return result
    return results[0]


def _leave_unchanged(node: Node) -> None:
    pass


async def run_outcomes(
    seed: int, prepare: Callable[[Node], None] = _leave_unchanged
) -> OutcomeReport:
    """Run orders under faults, two at a time.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    prepare : callable
        Called with each router's node at the start and after each fault; tests use
        it to install a naive implementation.
    """
    async with order_fleet(seed) as fleet:
        fleet.clock_skew = MAX_CLOCK_SKEW_SECONDS
        run = _Run(fleet, Random(seed), prepare)
        return await run.run()
