"""Orders under random faults, and a naive implementation on the same seeds."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from teaselledge.process.node import Node
from teaselledge_standins.virtual.clock import virtual_loop
from teaselledge_standins.virtual.naive import NaiveGate
from teaselledge_standins.virtual.outcomes import OutcomeReport, run_outcomes

from bench.case import Bound, Case

__all__ = ["run"]

WORKER_PROCESSES = 5
QUICK_SEEDS = 3
SEEDS = 200
NAIVE_QUICK_SEEDS = 2
NAIVE_SEEDS = 50
COUNTS = (
    "orders",
    "answered",
    "not_run",
    "ran",
    "unknown",
    "lost",
    "twice",
    "false_no",
    "false_yes",
    "wrong",
    "stuck",
)
PROMISES = ("lost", "twice", "false_no", "false_yes", "wrong", "stuck")


def run_seed(seed: int, prepare: Callable[[Node], None] | None = None) -> OutcomeReport:
    """Run one seed under a virtual clock of its own."""
    with asyncio.Runner(loop_factory=virtual_loop) as runner:
        if prepare is None:
            return runner.run(run_outcomes(seed))
        return runner.run(run_outcomes(seed, prepare))


def run_seeds(
    seeds: int, prepare: Callable[[Node], None] | None = None
) -> list[OutcomeReport]:
    """Run the seeds from 0 on in parallel."""
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        return list(pool.map(partial(run_seed, prepare=prepare), range(seeds)))


def sum_counts(reports: list[OutcomeReport]) -> dict[str, float]:
    """Sum each count over the runs."""
    return {name: sum(getattr(v, name) for v in reports) for name in COUNTS}


def kept(seeds: int) -> Case:
    """Run the production code for orders."""
    reports = run_seeds(seeds)
    figures = sum_counts(reports)
    figures["unknown_share"] = figures["unknown"] / figures["orders"]
    reasons: Counter[str] = Counter()
    for report in reports:
        reasons += report.reasons
    for reason, count in sorted(reasons.items()):
        figures[f"unknown because {reason}"] = count
    bounds = {name: Bound(at_most=0) for name in PROMISES}
    bounds["unknown_share"] = Bound(at_most=0.25)
    return Case(f"outcomes-{seeds}-seeds", 0, figures, bounds)


def naive(seeds: int) -> Case:
    """Run the naive implementation, whose broken promises the check must detect."""
    figures = sum_counts(run_seeds(seeds, NaiveGate.install))
    bounds = {name: Bound(at_least=1) for name in ("twice", "false_no")}
    return Case(f"outcomes-naive-{seeds}-seeds", 0, figures, bounds)


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    yield kept(QUICK_SEEDS if quick else SEEDS)
    yield naive(NAIVE_QUICK_SEEDS if quick else NAIVE_SEEDS)
