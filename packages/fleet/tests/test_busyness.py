"""Tests of how a router measures its utilisation."""

import asyncio
import time
from contextlib import suppress

from teaselledge_fleet.process.busyness import (
    BLOCKED_SECONDS,
    HIGH_UTILISATION,
    LONG_ITERATION_SECONDS,
    MIN_LONG_ITERATIONS,
    RESPONSIVE_ITERATION_SECONDS,
    TICK_SECONDS,
    EventLoopMonitor,
    new_monitored_loop,
)
from teaselledge_fleet.process.connectionlimit import SATURATED_UTILISATION

MIN_ITERATIONS = 20
"""Minimum iterations: if other processes use the machine, a second may pass before the
router has measured anything."""


async def run_measured(
    work: float, pause: float, cores: float = 1.0
) -> EventLoopMonitor:
    """Work and pause alternately for a second, and for some iterations at least."""
    monitor = EventLoopMonitor(cores)
    task = asyncio.create_task(monitor.run())
    end = time.monotonic() + 1.0
    iterations = 0
    while time.monotonic() < end or iterations < MIN_ITERATIONS:
        iterations += 1
        spin_until = time.process_time() + work
        while time.process_time() < spin_until:
            pass
        await asyncio.sleep(pause)
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    return monitor


def run_on_own_loop(work: float, pause: float, cores: float = 1.0) -> EventLoopMonitor:
    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        return runner.run(run_measured(work, pause, cores))


def test_an_idle_router_has_a_low_utilisation():
    async def idle() -> None:
        monitor = await run_measured(0.0, 0.05)
        assert monitor.utilisation < 0.3
        assert not monitor.recently_blocked

    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        runner.run(idle())


def test_a_flood_shows_in_the_first_tick():
    """For half a second a flooded router served all itself, and then refused them."""
    monitor = EventLoopMonitor(0.5)
    monitor._record_tick(TICK_SECONDS, 0.45 * TICK_SECONDS)
    assert monitor.utilisation < HIGH_UTILISATION
    assert monitor.peak_utilisation == 0.9
    monitor._record_tick(TICK_SECONDS, 0.0)
    assert monitor.peak_utilisation == monitor.utilisation


def test_a_router_without_idle_time_has_a_high_utilisation():
    monitor = run_on_own_loop(0.05, 0.0)
    assert monitor.utilisation > 0.3
    assert monitor.loop_utilisation > SATURATED_UTILISATION


def test_a_loop_with_idle_time_is_not_saturated():
    """A small fraction of a core is fully used before the loop has no idle time."""
    monitor = run_on_own_loop(0.01, 0.1, cores=0.05)
    assert monitor.utilisation > 0.3
    assert monitor.loop_utilisation < SATURATED_UTILISATION


def test_a_wrong_cpu_clock_does_not_raise_the_utilisation():
    """Under a quota, or with another clock, CPU time advances like wall-clock time.

    Idle routers then considered themselves fully utilised: callers were sent to two
    routers of a zone and asked to reconnect after each request.
    """
    original_clock = time.process_time
    time.process_time = time.monotonic
    try:
        monitor = run_on_own_loop(0.0, 0.05, cores=0.5)
    finally:
        time.process_time = original_clock
    assert monitor.utilisation < 0.3


async def test_a_blocked_loop_counts_as_recently_blocked():
    """Something blocks the loop, and heartbeats of others wait unread."""
    monitor = EventLoopMonitor(1.0)
    task = asyncio.create_task(monitor.run())
    await asyncio.sleep(0.15)
    time.sleep(BLOCKED_SECONDS + 0.2)  # noqa: ASYNC251
    await asyncio.sleep(0.05)
    assert monitor.recently_blocked
    await asyncio.sleep(0.7)
    assert not monitor.recently_blocked
    task.cancel()


async def block_loop(seconds: list[float]) -> list[bool]:
    """Block the loop for each duration; return whether it was overloaded after each."""
    monitor = EventLoopMonitor(1.0)
    overloaded = []
    for duration in seconds:
        time.sleep(duration)  # noqa: ASYNC251
        await asyncio.sleep(0)
        overloaded.append(monitor.overloaded)
    return overloaded


def test_a_router_with_long_iterations_is_overloaded_until_one_is_short():
    """Callers with many requests stay with one router, whose iterations take 0.3 s.

    A request takes five of them: it reaches its endpoint 1.5 s late, after its caller
    has left.
    """
    long_seconds = LONG_ITERATION_SECONDS + 0.02
    seconds = [long_seconds] * (MIN_LONG_ITERATIONS + 1) + [0.0] * 2
    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        overloaded = runner.run(block_loop(seconds))
    assert overloaded[MIN_LONG_ITERATIONS]
    assert not overloaded[-1]


def test_a_paused_router_is_not_overloaded_when_it_resumes():
    """The whole VM was paused for a moment; no request waits for an iteration."""
    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        assert not any(runner.run(block_loop([0.0, 0.5, 0.0, 0.0])))


def test_a_router_is_not_responsive_since_before_a_long_iteration():
    """Requests sent before it waited for it, even if iterations are short again."""

    async def work_once() -> None:
        loop = asyncio.get_running_loop()
        monitor = EventLoopMonitor(1.0)
        await asyncio.sleep(0)
        monitor.pop_longest_iteration()
        sent = loop.time()
        while loop.time() < sent + 2 * RESPONSIVE_ITERATION_SECONDS:
            pass
        await asyncio.sleep(0)
        assert not monitor.responsive_since(sent)
        monitor.pop_longest_iteration()
        await asyncio.sleep(0.01)
        assert not monitor.responsive_since(sent)
        assert monitor.responsive_since(loop.time())

    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        runner.run(work_once())
