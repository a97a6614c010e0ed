"""Tests of cutting off slow senders."""

import asyncio

from teaselledge.connection.bodyclock import BodyTimeout

VIRTUAL_CLOCK = True


async def time_until_cut(pause, made_to_wait=0.0):
    """Send a part after each pause, and return when the router cuts it off."""
    cut = asyncio.Event()
    clock = BodyTimeout(cut.set)
    loop = asyncio.get_running_loop()
    start = loop.time()
    while not cut.is_set() and loop.time() - start < 10_000:
        clock.start()
        await asyncio.sleep(pause)
        clock.stop()
        await asyncio.sleep(made_to_wait)
    return loop.time() - start


async def test_caller_that_stops_midway_is_cut_off():
    """A caller sends half of its body and then nothing more."""
    assert 20 <= await time_until_cut(60) <= 60


async def test_caller_that_trickles_is_cut_off():
    """A caller sends a byte every ten seconds, for as long as it is let."""
    assert 590 <= await time_until_cut(10) <= 620


async def test_caller_that_the_router_makes_wait_is_not_cut_off():
    """An endpoint is slow, so the router takes a willing caller's parts slowly."""
    assert await time_until_cut(0.5, made_to_wait=30) >= 10_000
