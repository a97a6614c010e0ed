"""Tests of how many copies of shared parts fit into the engines."""

import asyncio
import random

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
    # seen once, it stands for ten times as many
    assert footprint.tokens == 130_000


async def test_parts_that_this_router_has_not_seen_count_too():
    """A router of a large fleet sees few of the requests.

    Taking the parts that it saw for all there are, it would have more copies kept
    than fit, and engines would read parts again and again.
    """
    chance = random.Random(1)
    footprint = Footprint()
    for _ in range(120):
        footprint.note(f"p{chance.randrange(200)}", 10_000)
    assert 1_400_000 < footprint.tokens < 2_800_000
