"""Graceful shutdowns at random times, together with a second fault."""

import asyncio
from collections.abc import Iterator
from dataclasses import asdict

import looptime
from teaselledge_standins.virtual.leaving import run_drain_scenario

from bench.case import Bound, Case

__all__ = ["run"]

SEEDS = 100
QUICK_SEEDS = 10


def run(quick: bool) -> Iterator[Case]:
    """Run the cases."""
    seeds = QUICK_SEEDS if quick else SEEDS
    sums: dict[str, float] = {}
    for seed in range(seeds):
        with asyncio.Runner(
            loop_factory=lambda: looptime.new_event_loop(noop_cycles=0)
        ) as runner:
            outcome = runner.run(run_drain_scenario(seed))
        for name, value in asdict(outcome).items():
            sums[name] = sums.get(name, 0) + value
    bounds = {
        "cut": Bound(at_most=0),
        "false_no": Bound(at_most=0),
        "not_whole": Bound(at_most=0),
        "answered": Bound(at_least=1),
        "refused": Bound(at_least=1),
    }
    yield Case(f"leaving-{seeds}-seeds", 0, sums, bounds)
