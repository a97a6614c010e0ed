"""Tests of how many copies of shared parts fit into the engines."""

import asyncio

from teaselledge_fleet.process.replicas import WINDOW_SECONDS, Footprint

VIRTUAL_CLOCK = True
MEMORY = 444_000


def used(parts: int, requests: int = 200, tokens: int = 13_000) -> Footprint:
    footprint = Footprint()
    for number in range(requests):
        footprint.note(f"p{number % parts}", tokens)
    return footprint


async def test_parts_that_just_fit_get_one_copy():
    assert used(60).copies(5, MEMORY) == 1


async def test_many_engines_share_the_work_for_few_parts():
    """Seventy engines serve fifty parts.

    With one copy each, a few engines would have all the work and the rest none.
    """
    assert used(60).copies(70, MEMORY) == 15


async def test_nothing_is_assumed_after_a_few_requests():
    assert used(10, requests=50).copies(70, MEMORY) == 1


async def test_there_are_never_more_copies_than_engines():
    assert used(1).copies(6, MEMORY) == 6


async def test_parts_that_nobody_uses_any_more_do_not_count():
    footprint = used(60)
    await asyncio.sleep(WINDOW_SECONDS + 1)
    footprint.note("p0", 13_000)
    assert footprint.tokens == 13_000
