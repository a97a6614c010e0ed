"""Tests of what a router believes of the store's content."""

import asyncio

from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.store import EndpointRows
from teaselledge_fleet.process.storecache import SETTLE_SECONDS, StoreCache
from teaselledge_standins.statestore import decode_empty_routing

VIRTUAL_CLOCK = True


def entry(name: str, revision: int, leaving: bool = False) -> EndpointEntry:
    endpoint = Endpoint(name, "books", f"127.0.0.1:{revision}", "north", 4, leaving)
    return EndpointEntry(name, Revision(0, revision), endpoint)


def rows(revision: int, *entries: EndpointEntry) -> EndpointRows:
    return EndpointRows(Revision(0, revision), entries)


def now() -> float:
    return asyncio.get_running_loop().time()


async def test_a_version_never_goes_back():
    """A peer that was cut off tells an old configuration after a newer one."""
    belief = StoreCache("r1", decode_empty_routing)
    belief.update_configuration(b"7", "store")
    belief.update_configuration(b"5", "r2")
    assert belief.version == 7


async def test_the_last_good_configuration_stays():
    belief = StoreCache("r1", decode_empty_routing)
    belief.update_configuration(b"7", "store")
    assert not belief.update_configuration(b"torn", "store")
    assert belief.version == 7


async def test_an_entry_that_vanishes_in_calm_is_gone_at_once():
    """An engine that never says it is leaving has its entry removed.

    It must get no new work within seconds of that.
    """
    belief = StoreCache("r1", decode_empty_routing)
    belief.update_from_rows(rows(5, entry("e1", 4), entry("e2", 5)), now())
    await asyncio.sleep(0.7)
    belief.update_from_rows(rows(9, entry("e1", 4)), now())
    assert [e.id for e in belief.view.of_service("books")] == ["e1"]


async def test_entries_that_lapse_during_an_outage_are_waited_for():
    """The store is away so long that the entries of all engines lapse.

    They come back within two seconds of its return. Until then every engine would
    look gone, and every request would be refused.
    """
    belief = StoreCache("r1", decode_empty_routing)
    belief.update_from_rows(rows(5, entry("e1", 4), entry("e2", 5)), now())
    await asyncio.sleep(6.0)
    belief.update_from_rows(rows(9), now())
    assert len(belief.view.of_service("books")) == 2
    end = now() + SETTLE_SECONDS
    while now() < end:
        await asyncio.sleep(0.7)
        belief.update_from_rows(rows(11, entry("e1", 11)), now())
    assert [e.id for e in belief.view.of_service("books")] == ["e1"]


async def test_a_leaving_endpoint_gets_no_work_while_the_store_is_away():
    belief = StoreCache("r1", decode_empty_routing)
    belief.update_from_rows(rows(5, entry("e1", 4), entry("e2", 5)), now())
    belief.merge_entries([entry("e2", 8, leaving=True)], "r2")
    await asyncio.sleep(20.0)
    assert [e.id for e in belief.view.of_service("books")] == ["e1"]


async def test_old_news_does_not_revive_an_endpoint():
    belief = StoreCache("r1", decode_empty_routing)
    belief.update_from_rows(rows(5, entry("e1", 4)), now())
    belief.update_from_rows(rows(9), now())
    belief.merge_entries([entry("e1", 4)], "r2")
    assert not belief.view.of_service("books")


async def test_views_with_the_same_entries_have_the_same_digest():
    one, other = (
        StoreCache("r1", decode_empty_routing),
        StoreCache("r2", decode_empty_routing),
    )
    one.merge_entries([entry("e1", 4), entry("e2", 5, leaving=True)], "store")
    other.merge_entries([entry("e2", 3), entry("e1", 4)], "store")
    assert one.view.digest != other.view.digest
    other.merge_entries([entry("e2", 5, leaving=True)], "r1")
    assert one.view.digest == other.view.digest


async def test_age_is_adopted_for_an_equal_view_only():
    belief = StoreCache("r1", decode_empty_routing)
    belief.update_from_rows(rows(5, entry("e1", 4)), now())
    await asyncio.sleep(2.0)
    belief.update_age(belief.view.digest + 1, 0.1, "r2")
    assert belief.age == 2.0
    belief.update_age(belief.view.digest, 0.1, "r2")
    assert round(belief.age or 0.0, 3) == 0.1


async def test_of_two_followers_the_first_by_name_goes_on():
    """Two routers read the store at the same time, and each hears the other."""
    for vm, other, follower in (("r1", "r2", "r1"), ("r2", "r1", "r1")):
        belief = StoreCache(vm, decode_empty_routing)
        belief.update_from_rows(rows(5, entry("e1", 4)), now())
        await asyncio.sleep(0.5)
        belief.update_age(belief.view.digest, 0.1, other)
        assert belief.poller == follower
