"""Tests of the directory of shared parts, alone and between routers."""

import asyncio

from teaselledge_fleet.process.directory import (
    CLAIM_TTL_SECONDS,
    HOLDER_TTL_SECONDS,
    MAX_PREFIXES,
    PrefixDirectory,
)
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.locating import PrefixLocator
from teaselledge_fleet.process.work import name_hash
from teaselledge_standins.spreadfleet import GossipFleet, running_gossip_fleet
from teaselledge_standins.statestore import decode_empty_routing, make_store

VIRTUAL_CLOCK = True
ENGINES = [Endpoint(f"e{n}", "books", f"10.0.0.{n}:1", f"z{n}", 48) for n in (0, 1, 2)]
SETTLED_SECONDS = 4.0


def locator_of(fleet: GossipFleet, number: int) -> PrefixLocator:
    return fleet.routers[number].placer._locator


async def test_the_latest_user_of_a_part_comes_first():
    directory = PrefixDirectory()
    for endpoint in (1, 2, 1):
        directory.record_use(7, endpoint)
        await asyncio.sleep(0.1)
    assert directory.holders(7) == [1, 2]
    assert directory.holders(8) == []


async def test_a_part_that_was_not_used_for_long_is_taken_as_dropped():
    """An engine's memory is written anew; a copy from it would bring nothing."""
    directory = PrefixDirectory()
    directory.record_use(7, 1)
    await asyncio.sleep(HOLDER_TTL_SECONDS / 2)
    directory.record_use(7, 2)
    await asyncio.sleep(HOLDER_TTL_SECONDS / 2 + 0.1)
    assert directory.holders(7) == [2]


async def test_only_the_first_of_requests_that_come_together_reads_a_part():
    """A new article is asked about by many callers at the same moment.

    Were each told that nobody keeps it, each would be taken for a whole reading, and
    most would be refused.
    """
    directory = PrefixDirectory()
    assert directory.find_or_claim(7, 1) == []
    assert directory.find_or_claim(7, 1) == [1]
    await asyncio.sleep(CLAIM_TTL_SECONDS + 0.1)
    assert directory.holders(7) == []


async def test_the_directory_stays_small():
    """Each session has a part of its own; the oldest must go."""
    directory = PrefixDirectory()
    for part in range(MAX_PREFIXES + 10):
        directory.record_use(part, 1)
    assert directory.holders(0) == []
    assert directory.holders(MAX_PREFIXES + 9) == [1]


async def test_routers_learn_from_one_another_where_a_part_is():
    """One router has sent a part somewhere; another one must find it there."""
    async with running_gossip_fleet(
        make_store(ENGINES), 6, decode_empty_routing
    ) as fleet:
        await asyncio.sleep(SETTLED_SECONDS)
        locator_of(fleet, 0).report_use("p1", ENGINES[0], ENGINES[2])
        await asyncio.sleep(0.1)
        for number in range(6):
            found = await locator_of(fleet, number).locate("p1", ENGINES[0])
            assert found == [name_hash("e2")]


async def test_a_directory_that_is_cut_off_holds_up_a_request_for_a_moment_only():
    """The router that keeps the directory falls silent; requests can't wait for it.

    After two questions without an answer another router is asked.
    """
    async with running_gossip_fleet(
        make_store(ENGINES), 6, decode_empty_routing
    ) as fleet:
        await asyncio.sleep(SETTLED_SECONDS)
        asker = fleet.routers[0]
        locator = locator_of(fleet, 0)
        zone_mates = {r.vm for r in fleet.routers if r.members.own.zone == "z1"}
        fleet.cut = lambda sender, receiver: receiver in zone_mates
        started = asyncio.get_running_loop().time()
        assert await locator.locate("p1", ENGINES[1]) is None
        assert asyncio.get_running_loop().time() - started < 0.2
        fleet.cut = lambda sender, receiver: False
        assert await locator.locate("p1", ENGINES[1]) == []
        assert asker.members.own.zone == "z0"
