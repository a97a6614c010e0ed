"""Cost of the order journal: store calls, slot time, open orders after a kill."""

import asyncio
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random

from expression import Result
from teaselledge.metrics import NullMetrics
from teaselledge.platform import StoreError
from teaselledge.request.claimtiming import (
    ClaimTiming,
    ImmediateClaimTiming,
    LateClaimTiming,
    PredictiveClaimTiming,
)
from teaselledge.request.journal import Journal
from teaselledge.request.record import (
    ORDERS_TABLE,
    OrderRecord,
    OrderState,
    decode_record,
)
from teaselledge_standins.virtual.clock import virtual_loop
from teaselledge_standins.virtual.fleet import VirtualFleet
from teaselledge_standins.virtual.orders import (
    ORDER_PLAN,
    order_fleet,
    runs_by_name,
)

from bench.case import Bound, Case

__all__ = ["run"]

TIMINGS: Mapping[str, type[ClaimTiming]] = {
    "late": LateClaimTiming,
    "ahead": PredictiveClaimTiming,
    "early": ImmediateClaimTiming,
}
STORE_SECONDS = (0.003, 0.05, 0.2)
FULL_LOAD_SECONDS = 0.05
"""Maximum duration of a store call at which the callers still use all slots."""

CALLERS = 60
MIN_COST_SECONDS, MAX_COST_SECONDS = 0.02, 0.18
"""Durations of orders; with equal ones, all orders would end and wait in step."""
WARM_SECONDS = 5.0
SPAN_SECONDS = 15.0
QUICK_SPAN_SECONDS = 3.0


class CountingJournal(Journal):
    """Counts its calls, and the commits in progress at the start of each commit."""

    reads = 0
    writes = 0
    in_progress = 0
    overlapping = 0

    async def read(self, row: str) -> Result[object, StoreError]:  # type: ignore[override]
        """Read the record of a row."""
        self.reads += 1
        return await super().read(row)  # type: ignore[return-value]

    async def write(
        self, row: str, record: OrderRecord, expect: int, indexed: bool = False
    ) -> Result[None, StoreError]:
        """Write a record if its row still has the expected version."""
        self.writes += 1
        self.overlapping += self.in_progress
        self.in_progress += 1
        try:
            return await super().write(row, record, expect, indexed)
        finally:
            self.in_progress -= 1


@dataclass
class _Load:
    fleet: VirtualFleet
    placed: int = 0
    answered: int = 0

    async def caller(self, index: int) -> None:
        """Send one order after the other."""
        random = Random(index)
        vms = sorted(self.fleet.plan.routers)
        vm = vms[index % len(vms)]
        while True:
            self.placed += 1
            name = f"o-{index}-{self.placed}"
            cost = random.uniform(MIN_COST_SECONDS, MAX_COST_SECONDS)
            try:
                outcome = await self.fleet.call(
                    vm, "amber", "ledger", "order", name, cost, name
                )
            except ConnectionError:
                return
            self.answered += outcome.is_correct


async def measure(timing: str, store: float, span: float) -> Case:
    """Measure a backlogged service whose requests are all orders."""
    async with order_fleet(1) as fleet:
        fleet.tables.faults.delay = store
        journals = [
            _install_journal(fleet, vm, TIMINGS[timing]) for vm in sorted(fleet.nodes)
        ]
        load = _Load(fleet)
        tasks = [asyncio.create_task(load.caller(i)) for i in range(CALLERS)]
        await asyncio.sleep(WARM_SECONDS)
        before = _journal_counts(journals), load.answered, _busy(fleet)
        await asyncio.sleep(span)
        after = _journal_counts(journals), load.answered, _busy(fleet)
        orders = after[1] - before[1]
        slots = sum(
            len(ORDER_PLAN.services["ledger"].zones)
            * [ORDER_PLAN.services["ledger"].slots]
        )
        await fleet.kill("vm-0")
        opened, begun = _open_orders(fleet)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    reads, writes, overlapping = (
        a - b for a, b in zip(after[0], before[0], strict=True)
    )
    figures = {
        "store_call_seconds": store,
        "orders_per_s": orders / span,
        "utilisation": (after[2] - before[2]) / (slots * span),
        "journal_reads_per_order": reads / orders,
        "journal_writes_per_order": writes / orders,
        "commits_met_by_a_commit": overlapping / writes,
        "open_after_kill": opened,
        "open_after_kill_though_not_begun": opened - begun,
    }
    bounds = {}
    if timing == "ahead":
        bounds["journal_writes_per_order"] = Bound(at_most=2.1)
        bounds["journal_reads_per_order"] = Bound(at_most=1.2)
    if timing == "ahead" and store <= FULL_LOAD_SECONDS:
        bounds["utilisation"] = Bound(at_least=0.97)
    return Case(f"orders-{timing}-store-{store * 1000:.0f}ms", 1, figures, bounds)


def _install_journal(
    fleet: VirtualFleet, vm: str, timing: type[ClaimTiming]
) -> CountingJournal:
    orders = fleet.nodes[vm].orders
    old = orders.dependencies.journal
    journal = CountingJournal(old.tables, old.objects, NullMetrics(), old.now)
    orders.dependencies = replace(
        orders.dependencies, journal=journal, claim_timing=timing()
    )
    return journal


def _journal_counts(journals: Sequence[CountingJournal]) -> tuple[int, int, int]:
    return (
        sum(journal.reads for journal in journals),
        sum(journal.writes for journal in journals),
        sum(journal.overlapping for journal in journals),
    )


def _busy(fleet: VirtualFleet) -> float:
    return sum(run.cost for e in fleet.endpoints.values() for run in e.runs)


def _open_orders(fleet: VirtualFleet) -> tuple[int, int]:
    """Return how many orders the killed router left open, and how many of them ran."""
    runs = runs_by_name(fleet)
    opened = begun = 0
    for row in fleet.tables.snapshot().get(ORDERS_TABLE, []):
        record = decode_record(row.value)
        if record is None or record.state is not OrderState.STARTED:
            continue
        if not record.owner.startswith("vm-0/"):
            continue
        opened += 1
        begun += row.key.split("/")[1] in runs
    return opened, begun


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    stores = STORE_SECONDS[:1] if quick else STORE_SECONDS
    span = QUICK_SPAN_SECONDS if quick else SPAN_SECONDS
    for store in stores:
        for timing in ("ahead",) if quick else TIMINGS:
            with asyncio.Runner(loop_factory=virtual_loop) as runner:
                yield runner.run(measure(timing, store, span))
