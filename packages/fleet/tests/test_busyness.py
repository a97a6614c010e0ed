"""Tests of how a router notices that it is used up."""

import asyncio
import time
from contextlib import suppress

from teaselledge_fleet.process.busyness import (
    BLOCKED_SECONDS,
    LONG_ITERATION_SECONDS,
    MIN_LONG_ITERATIONS,
    RESPONSIVE_ITERATION_SECONDS,
    EventLoopMonitor,
    new_monitored_loop,
)
from teaselledge_fleet.process.connectionlimit import SATURATED_UTILISATION

TURNS = 20
"""Turns of work at least: where other processes take the machine, a second may be over
before the router has measured anything."""


async def measured(work: float, pause: float, cores: float = 1.0) -> EventLoopMonitor:
    """Work and pause by turns for a second, and for some turns."""
    busyness = EventLoopMonitor(cores)
    task = asyncio.create_task(busyness.run())
    end = time.monotonic() + 1.0
    turns = 0
    while time.monotonic() < end or turns < TURNS:
        turns += 1
        spin = time.process_time() + work
        while time.process_time() < spin:
            pass
        await asyncio.sleep(pause)
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    return busyness


def on_own_loop(work: float, pause: float, cores: float = 1.0) -> EventLoopMonitor:
    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        return runner.run(measured(work, pause, cores))


def test_an_idle_router_is_not_busy():
    async def idle() -> None:
        busyness = await measured(0.0, 0.05)
        assert busyness.utilisation < 0.3
        assert not busyness.recently_blocked

    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        runner.run(idle())


def test_a_router_that_works_all_the_time_is_busy():
    busyness = on_own_loop(0.05, 0.0)
    assert busyness.utilisation > 0.3
    assert busyness.loop_utilisation > SATURATED_UTILISATION


def test_a_loop_with_time_left_is_not_used_up():
    """A router with a small part of a core is busy before its loop always has work."""
    busyness = on_own_loop(0.01, 0.1, cores=0.05)
    assert busyness.utilisation > 0.3
    assert busyness.loop_utilisation < SATURATED_UTILISATION


def test_a_clock_of_processor_time_that_is_wrong_makes_no_router_busy():
    """Under a quota, or on another clock, processor time runs on with the wall's.

    Idle routers then call themselves used up: callers are sent to two routers of a
    zone, and asked to connect anew after each request.
    """
    wrong = time.process_time
    time.process_time = time.monotonic
    try:
        busyness = on_own_loop(0.0, 0.05, cores=0.5)
    finally:
        time.process_time = wrong
    assert busyness.utilisation < 0.3


async def test_a_loop_that_was_held_up_is_late():
    """Something keeps the loop for long, and pulses of others wait unread."""
    busyness = EventLoopMonitor(1.0)
    task = asyncio.create_task(busyness.run())
    await asyncio.sleep(0.15)
    time.sleep(BLOCKED_SECONDS + 0.2)  # noqa: ASYNC251
    await asyncio.sleep(0.05)
    assert busyness.recently_blocked
    await asyncio.sleep(0.7)
    assert not busyness.recently_blocked
    task.cancel()


async def turns(seconds: list[float]) -> list[bool]:
    """Hold up the loop so long in turn; tell after each whether it was overloaded."""
    busyness = EventLoopMonitor(1.0)
    told = []
    for each in seconds:
        time.sleep(each)  # noqa: ASYNC251
        await asyncio.sleep(0)
        told.append(busyness.overloaded)
    return told


def test_a_router_with_long_turns_is_overloaded_until_they_are_short():
    """Callers with much to ask stay with one router, whose turns take 0.3 s each.

    A request takes five of them: it reaches its endpoint 1.5 s late, after its caller
    has left.
    """
    long = LONG_ITERATION_SECONDS + 0.02
    seconds = [long] * (MIN_LONG_ITERATIONS + 1) + [0.0] * 2
    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        told = runner.run(turns(seconds))
    assert told[MIN_LONG_ITERATIONS]
    assert not told[-1]


def test_a_router_that_was_paused_takes_requests_at_once():
    """The whole VM stood still for a moment; nothing waits for its next turn."""
    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        assert not any(runner.run(turns([0.0, 0.5, 0.0, 0.0])))


def test_a_router_is_not_prompt_since_before_a_long_turn():
    """What was sent before it waited for it, also where turns are short again."""

    async def work_once() -> None:
        loop = asyncio.get_running_loop()
        busyness = EventLoopMonitor(1.0)
        await asyncio.sleep(0)
        busyness.pop_longest_iteration()
        sent = loop.time()
        while loop.time() < sent + 2 * RESPONSIVE_ITERATION_SECONDS:
            pass
        await asyncio.sleep(0)
        assert not busyness.responsive_since(sent)
        busyness.pop_longest_iteration()
        await asyncio.sleep(0.01)
        assert not busyness.responsive_since(sent)
        assert busyness.responsive_since(loop.time())

    with asyncio.Runner(loop_factory=new_monitored_loop) as runner:
        runner.run(work_once())
