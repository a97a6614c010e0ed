"""Tests of the timeout for request bodies."""

import asyncio

from teaselledge.connection.bodyclock import BodyTimeout

VIRTUAL_CLOCK = True


async def seconds_until_timeout(pause, router_delay=0.0):
    """Send a chunk after each pause, and return the time until the timeout."""
    timed_out = asyncio.Event()
    timeout = BodyTimeout(timed_out.set)
    loop = asyncio.get_running_loop()
    start = loop.time()
    while not timed_out.is_set() and loop.time() - start < 10_000:
        timeout.start()
        await asyncio.sleep(pause)
        timeout.stop()
        await asyncio.sleep(router_delay)
    return loop.time() - start


async def test_caller_that_stops_sending_times_out():
    """A caller sends half of its body and then stops."""
    assert 20 <= await seconds_until_timeout(60) <= 60


async def test_caller_that_sends_too_slowly_times_out():
    """A caller sends a byte every 10 s without end."""
    assert 590 <= await seconds_until_timeout(10) <= 620


async def test_delay_by_router_does_not_count():
    """An endpoint is slow, so that the router reads the caller's body slowly."""
    assert await seconds_until_timeout(0.5, router_delay=30) >= 10_000
