"""Tests of tasks that must outlive errors, on a virtual clock."""

import asyncio

from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.supervision.restarts import (
    FIRST_DELAY_SECONDS,
    MAX_DELAY_SECONDS,
    STABLE_SECONDS,
    RestartDelay,
)
from teaselledge_fleet.supervision.tasks import TaskSupervisor, report_unhandled_errors

VIRTUAL_CLOCK = True


async def count_starts(seconds: float, end) -> tuple[int, float]:
    """Return how often a task that ends in some way starts, and what was counted."""
    metrics, starts = FleetMetrics(), 0

    async def run() -> None:
        nonlocal starts
        starts += 1
        await end()

    tasks = TaskSupervisor(metrics)
    tasks.start("reader", run)
    await asyncio.sleep(seconds)
    tasks.cancel()
    before = starts
    await asyncio.sleep(seconds)
    assert starts == before
    return starts, metrics.values("task_restarts")[("reader",)]


async def test_a_task_that_ends_starts_again_however_it_ended():
    """Nobody awaited the tasks of a router: one that raised was gone for good."""

    async def fail() -> None:
        raise RecursionError

    async def return_at_once() -> None:
        return

    async def await_a_cancelled_future() -> None:
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    for end in (fail, return_at_once, await_a_cancelled_future):
        starts, restarts = await count_starts(10.0, end)
        assert 5 <= starts <= 20, end
        assert starts - 1 <= restarts <= starts, end


async def test_a_task_that_is_cancelled_ends():
    async def wait() -> None:
        await asyncio.sleep(1000)

    assert await count_starts(1.0, wait) == (1, 0.0)


async def test_errors_of_callbacks_are_counted():
    metrics = FleetMetrics()
    loop = asyncio.get_running_loop()
    report_unhandled_errors(loop, metrics)
    loop.call_soon(lambda: {}["missing"])
    await asyncio.sleep(0.01)
    assert metrics.values("unhandled_errors")[()] == 1


def test_restarts_are_delayed_longer_while_a_task_fails_at_once():
    delay = RestartDelay()
    seconds = [(delay := delay.after_run(0.0)).seconds for _ in range(8)]
    assert seconds[0] == FIRST_DELAY_SECONDS
    assert seconds[-1] == MAX_DELAY_SECONDS
    assert seconds == sorted(seconds)
    assert delay.after_run(STABLE_SECONDS).seconds == FIRST_DELAY_SECONDS
