"""Tests of what callers get from engines under heavy load."""

import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from teaselledge_fleet.process.shares import ShareStatus
from teaselledge_fleet.process.waiting import QueueWaitLimits
from teaselledge_fleet.version.routes import Route
from teaselledge_standins.modelengines import LoadResult, PromptKind, run_load
from teaselledge_standins.virtual.clock import virtual_loop

SEEDS = range(1, 13)
"""Enough of them that the mean shows a difference of 0.01 in what is served."""

WORKER_PROCESSES = 4
LOAD_SECONDS = 20.0
CAPACITY_TOKENS_PER_SECOND = 320_000
ZONES = {"north": "west", "south": "west", "far": "east"}
ENGINES = {f"e{n}": zone for n, zone in enumerate([*ZONES] * 3)}
KINDS = (
    PromptKind("long", 18, 144, 13_300, 3_720, 120, 1.1, 1.4, 0.8, 8.0, 3.7, 1.1),
    PromptKind("medium", 29, 197, 6_300, 2_890, 52, 1.0, 1.4, 0.8, 5.0, 2.6, 0.77),
    PromptKind("short", 35, 273, 350, 1_110, 172, 1.0, 0.89, 0.6, 10.0, 0.32, 0.096),
)


class SameLimitEverywhere(QueueWaitLimits):
    """Limits a prompt by the shortest objective also where its prefix is cached."""

    def max_wait(
        self,
        route: Route,
        service: str,
        share_status: ShareStatus,
        has_prefix: bool = False,
        elapsed: float = 0.0,
        contended_use: float = 0.0,
        excess: float = 1.0,
    ) -> float:
        """Return the limit of engines without the prefix."""
        return super().max_wait(
            route,
            service,
            share_status,
            elapsed=elapsed,
            contended_use=contended_use,
            excess=excess,
        )


@dataclass(frozen=True)
class Gain:
    """What longer waits change on one seed.

    Attributes
    ----------
    copied : float
        Tokens of copied prefixes, as a fraction of those copied otherwise.
    served : float
        Difference of the credit.
    """

    copied: float
    served: float


def play(wait_limits: QueueWaitLimits, seed: int) -> LoadResult:
    return virtual_loop().run_until_complete(
        run_load(
            ENGINES,
            ZONES,
            KINDS,
            LOAD_SECONDS,
            seed,
            tokens_per_second=CAPACITY_TOKENS_PER_SECOND,
            wait_limits=wait_limits,
        )
    )


def compare(seed: int) -> Gain:
    before = play(SameLimitEverywhere(), seed)
    after = play(QueueWaitLimits(), seed)
    return Gain(
        after.counters["moved"] / before.counters["moved"],
        after.credit - before.credit,
    )


def test_longer_waits_where_prefixes_are_cached_save_copies_and_serve_more():
    """Prompts were sent elsewhere while they could still be served in time.

    Each copy evicted other prefixes, which were then copied or computed again.
    """
    # a started interpreter could not import this module
    context = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKER_PROCESSES, context) as processes:
        gains = list(processes.map(compare, SEEDS))
    assert sum(gain.copied for gain in gains) < len(SEEDS)
    assert sum(gain.served for gain in gains) > 0
