"""Tests of the retry budget over all routers."""

import asyncio
import random

from teaselledge_fleet.process.budget import RetryBudget, RetryLimits

VIRTUAL_CLOCK = True
ROUTERS = 7
REQUESTS_PER_SECOND = 20.0
SECONDS = 40.0
LIMITS = RetryLimits(ratio=0.2, base_retries=54.0, window=10.0)


def make_budgets() -> list[RetryBudget]:
    """Return the budgets of routers that have just started and know one another."""
    budgets = [RetryBudget(LIMITS) for _ in range(ROUTERS)]
    for budget in budgets:
        budget.update_router_count(ROUTERS)
    return budgets


def count_in_window(times: list[float], start: float) -> int:
    return sum(start <= time < start + LIMITS.window for time in times)


async def worst_window(
    restarts: tuple[float, ...],
    failing_from: float = 0.0,
    requests_per_second: float = REQUESTS_PER_SECOND,
) -> float:
    """Return the retries of the worst window as a fraction of those allowed.

    From some time on each request fails and may be retried; all routers start again at
    given times.
    """
    rng, loop = random.Random(1), asyncio.get_running_loop()
    started, pending = loop.time(), list(restarts)
    budgets = make_budgets()
    requests: list[float] = []
    retries: list[float] = []
    while loop.time() - started < SECONDS:
        await asyncio.sleep(rng.expovariate(requests_per_second))
        if pending and loop.time() - started >= pending[0]:
            pending.pop(0)
            budgets = make_budgets()
        budget = rng.choice(budgets)
        budget.record_first_attempt("books")
        requests.append(loop.time())
        failed = loop.time() - started >= failing_from
        if failed and budget.try_acquire("books"):
            retries.append(loop.time())
    used = []
    for start in retries:
        window = LIMITS.window
        counted = max(
            count_in_window(requests, start - offset)
            for offset in (0.0, window / 2, window)
        )
        allowed = LIMITS.ratio * counted + LIMITS.base_retries
        used.append(count_in_window(retries, start) / allowed)
    return max(used)


async def test_all_routers_together_stay_within_the_budget():
    assert await worst_window(()) <= 1.0


async def test_routers_that_start_again_stay_within_the_budget():
    """Each process counts from nothing what its predecessor has spent."""
    assert await worst_window((20.0, 23.0, 26.0, 29.0)) <= 1.0


async def test_routers_that_start_again_after_failures_began_stay_within_the_budget():
    """The predecessors had spent at once what they had saved until then."""
    for restarts in ((20.0,), (20.0, 25.0), (20.0, 22.0, 24.0, 26.0, 28.0)):
        for failing_from in (18.0, 19.5):
            for rate in (REQUESTS_PER_SECOND, 5 * REQUESTS_PER_SECOND):
                worst = await worst_window(restarts, failing_from, rate)
                assert worst <= 1.0, (restarts, failing_from, rate, worst)


async def test_a_router_that_has_run_for_a_window_uses_its_whole_part():
    budgets = make_budgets()
    await asyncio.sleep(LIMITS.window)
    allowed = LIMITS.safety_factor * LIMITS.base_retries / ROUTERS
    granted = [budgets[0].try_acquire("books") for _ in range(20)]
    assert sum(granted) == int(allowed)
