"""Tests of the prefix directory, alone and between routers."""

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


async def test_the_latest_holder_of_a_prefix_comes_first():
    directory = PrefixDirectory()
    for endpoint in (1, 2, 1):
        directory.record_use(7, endpoint)
        await asyncio.sleep(0.1)
    assert directory.holders(7) == [1, 2]
    assert directory.holders(8) == []


async def test_a_prefix_that_is_no_longer_used_expires():
    """The engine's cache has been replaced; a copy from it would fail."""
    directory = PrefixDirectory()
    directory.record_use(7, 1)
    await asyncio.sleep(HOLDER_TTL_SECONDS / 2)
    directory.record_use(7, 2)
    await asyncio.sleep(HOLDER_TTL_SECONDS / 2 + 0.1)
    assert directory.holders(7) == [2]


async def test_only_the_first_of_concurrent_requests_computes_a_prefix():
    """Many callers send requests with the same new article at the same moment.

    If no engine counted as a holder, each request would count with the whole prefill,
    and most would be refused.
    """
    directory = PrefixDirectory()
    assert directory.find_or_claim(7, 1) == []
    assert directory.find_or_claim(7, 1) == [1]
    await asyncio.sleep(CLAIM_TTL_SECONDS + 0.1)
    assert directory.holders(7) == []


async def test_the_directory_evicts_the_oldest_prefixes():
    """Each session has a prefix of its own, so the directory must be bounded."""
    directory = PrefixDirectory()
    for prefix in range(MAX_PREFIXES + 10):
        directory.record_use(prefix, 1)
    assert directory.holders(0) == []
    assert directory.holders(MAX_PREFIXES + 9) == [1]


async def test_routers_share_the_holders_of_a_prefix():
    """One router has sent a prefix to an engine; the others must find it there."""
    async with running_gossip_fleet(
        make_store(ENGINES), 6, decode_empty_routing
    ) as fleet:
        await asyncio.sleep(SETTLED_SECONDS)
        locator_of(fleet, 0).report_use("p1", ENGINES[0], ENGINES[2])
        await asyncio.sleep(0.1)
        for number in range(6):
            holders = await locator_of(fleet, number).locate("p1", ENGINES[0])
            assert holders == [name_hash("e2")]


async def test_an_unreachable_directory_delays_a_request_only_briefly():
    """The router with the directory does not reply; requests must not wait for it.

    After two queries without a reply another router is queried.
    """
    async with running_gossip_fleet(
        make_store(ENGINES), 6, decode_empty_routing
    ) as fleet:
        await asyncio.sleep(SETTLED_SECONDS)
        querying_router = fleet.routers[0]
        locator = locator_of(fleet, 0)
        zone_routers = {r.vm for r in fleet.routers if r.members.own.zone == "z1"}
        fleet.cut = lambda sender, receiver: receiver in zone_routers
        started = asyncio.get_running_loop().time()
        assert await locator.locate("p1", ENGINES[1]) is None
        assert asyncio.get_running_loop().time() - started < 0.2
        fleet.cut = lambda sender, receiver: False
        assert await locator.locate("p1", ENGINES[1]) == []
        assert querying_router.members.own.zone == "z0"
