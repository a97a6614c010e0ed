"""Orders under random faults, checked against what the endpoints ran."""

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
ORDERS = 30
READS = 15
FLOOD = 60
SPAN_SECONDS = 40.0
"""Time over which orders are placed."""

FAULT_PAIRS = 3
QUIET_SECONDS = 60.0
"""Time after the last fault until callers ask for the last time."""

TRIES = 8
LAST_TRIES = 6
SKEW_SECONDS = 0.45
"""Error of a router's wall clock, each way."""


@dataclass
class _Order:
    """What one caller knows of its order."""

    name: str
    cost: float
    placed: list[float] = field(default_factory=list)
    said_no: list[float] = field(default_factory=list)
    state: str = "open"

    def no_is_false(self, begun: float) -> bool:
        """Return whether a run makes a refusal false.

        A refusal says that none of the attempts so far ran or will run; a run
        is right after it only for a later attempt.
        """
        for said in self.said_no:
            if begun < said:
                return True
            if not any(said <= placed <= begun for placed in self.placed):
                return True
        return False


@dataclass(frozen=True)
class OutcomeReport:
    """What one run showed; the endpoints' counts are the truth.

    Attributes
    ----------
    orders : int
        Orders placed.
    answered, not_run, ran, unknown : int
        How they ended for their callers.
    lost : int
        Orders whose caller got no final word although it went on asking.
    twice : int
        Orders that ran more than once.
    false_no : int
        Refusals that said "not run" though the order ran.
    false_yes : int
        Answers for orders that did not run.
    wrong : int
        Whole answers that are not those of the request.
    stuck : int
        Unknown orders whose router lives and has nothing to do any more.
    reasons : Counter of str
        Why the journal leaves orders unknown.
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
        """Broken promises of all kinds."""
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

    async def carry_out(self) -> OutcomeReport:
        """Place orders while faults come and go, and judge."""
        for node in self._fleet.nodes.values():
            self._prepare(node)
        callers = [self._order(i) for i in range(ORDERS)]
        reads = [self._read(i) for i in range(READS)]
        await asyncio.gather(self._faults(), *callers, *reads)
        await asyncio.sleep(QUIET_SECONDS)
        await asyncio.gather(*(self._ask_again(order) for order in self._orders))
        return self._judge()

    async def _faults(self) -> None:
        random = self._random
        for _ in range(FAULT_PAIRS):
            names = random.sample(sorted(FAULT_INJECTIONS), 2)
            await asyncio.gather(*(self._fault(name) for name in names))
        # nodes that were restarted come back before the callers' last calls
        for vm in self._fleet.plan.routers:
            if vm not in self._fleet.nodes:
                await asyncio.sleep(1.0)

    async def _fault(self, name: str) -> None:
        mishap = get_fault_injection_by_name(name)
        random = self._random
        await asyncio.sleep(random.uniform(0.0, 5.0))
        undo = mishap.begin(self._fleet, random)
        flood = None
        if random.random() < 0.3:  # noqa: PLR2004
            flood = asyncio.ensure_future(self._flood())
        await asyncio.sleep(random.uniform(mishap.min_seconds, mishap.max_seconds))
        undo()
        await asyncio.sleep(1.0)
        for node in self._fleet.nodes.values():
            self._prepare(node)
        if flood is not None:
            await flood

    async def _flood(self) -> None:
        """Let another organisation send many requests at once."""
        calls = [
            self._call("birch", "read", f"flood-{i}-{self._random.random()}", 0.5, 5.0)
            for i in range(FLOOD)
        ]
        await asyncio.gather(*calls)

    async def _read(self, index: int) -> None:
        await asyncio.sleep(self._random.uniform(0.0, SPAN_SECONDS))
        await self._call(ORGANISATION, "read", f"read-{index}", 0.2, 30.0)

    async def _order(self, index: int) -> None:
        random = self._random
        order = _Order(f"order-{index}", random.choice((0.05, 0.1, 1.0, 5.0)))
        self._orders.append(order)
        await asyncio.sleep(random.uniform(0.0, SPAN_SECONDS))
        copies = 1
        if random.random() < 0.2:  # noqa: PLR2004
            copies = 3
        for _ in range(TRIES):
            patience = random.choice((0.3, 3.0, 30.0))
            words = await asyncio.gather(
                *(self._ask(order, patience) for _ in range(copies))
            )
            order.state = _strongest(words)
            if order.state in ("answered", "yes"):
                return
            if order.state == "no" and random.random() < 0.4:  # noqa: PLR2004
                return
            await asyncio.sleep(random.choice((0.0, 0.5, 3.0)))

    async def _ask_again(self, order: _Order) -> None:
        if order.state in ("answered", "yes", "no"):
            return
        for _ in range(LAST_TRIES):
            order.state = await self._ask(order, 60.0)
            if order.state in ("answered", "yes", "unknown"):
                return
            await asyncio.sleep(3.0)

    async def _ask(self, order: _Order, patience: float) -> str:
        loop = asyncio.get_running_loop()
        order.placed.append(loop.time())
        word = await self._call(
            ORGANISATION, "order", order.name, order.cost, patience, order.name
        )
        if word == "no":
            order.said_no.append(loop.time())
        return word

    async def _call(
        self,
        organisation: str,
        kind: str,
        name: str,
        cost: float,
        patience: float,
        key: str | None = None,
    ) -> str:
        """Call a router and return the word that the caller takes from it."""
        vm = self._random.choice(sorted(self._fleet.plan.routers))
        call = self._fleet.call(vm, organisation, "ledger", kind, name, cost, key)
        with suppress(ConnectionError, TimeoutError):
            outcome = await asyncio.wait_for(call, patience)
            if outcome.is_correct:
                return "answered"
            if outcome.sink.complete:
                self._wrong += 1
                return "wrong"
            if outcome.fault is None:
                return "broken"
            if outcome.fault.kind is ErrorKind.KEY_MISMATCH:
                return "mismatch"
            return outcome.fault.ran.value
        return "cut"

    def _judge(self) -> OutcomeReport:
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
                any(order.no_is_false(begun) for begun in runs.get(order.name, ()))
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
        """Return why orders are unknown, and how many need not be."""
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


def _strongest(words: list[str]) -> str:
    for word in ("answered", "yes", "unknown", "broken", "cut"):
        if word in words:
            return word
    return words[0]


def _as_it_is(node: Node) -> None:
    pass


async def run_outcomes(
    seed: int, prepare: Callable[[Node], None] = _as_it_is
) -> OutcomeReport:
    """Run orders under faults, two at a time.

    Parameters
    ----------
    seed : int
        Names the run.
    prepare : callable
        Called with each router's node, again after each fault; a naive
        version puts its own parts into it.
    """
    async with order_fleet(seed) as fleet:
        fleet.clock_skew = SKEW_SECONDS
        run = _Run(fleet, Random(seed), prepare)
        return await run.carry_out()
