"""Tests of the store cache."""

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
    """A router that was cut off sends an old configuration after a newer one."""
    cache = StoreCache("r1", decode_empty_routing)
    cache.update_configuration(b"7", "store")
    cache.update_configuration(b"5", "r2")
    assert cache.version == 7


async def test_the_last_good_configuration_stays():
    cache = StoreCache("r1", decode_empty_routing)
    cache.update_configuration(b"7", "store")
    assert not cache.update_configuration(b"torn", "store")
    assert cache.version == 7


async def test_endpoint_is_deleted_with_its_row_while_the_store_is_available():
    """The row of an engine is removed without having been marked as leaving.

    Within seconds, the engine must get no new requests.
    """
    cache = StoreCache("r1", decode_empty_routing)
    cache.update_from_rows(rows(5, entry("e1", 4), entry("e2", 5)), now())
    await asyncio.sleep(0.7)
    cache.update_from_rows(rows(9, entry("e1", 4)), now())
    assert [e.id for e in cache.view.of_service("books")] == ["e1"]


async def test_rows_that_expire_during_an_outage_do_not_count_as_deleted():
    """The store is unavailable so long that the rows of all engines expire.

    The rows are written again within two seconds of its return. Until then every
    engine would look deleted, and every request would be refused.
    """
    cache = StoreCache("r1", decode_empty_routing)
    cache.update_from_rows(rows(5, entry("e1", 4), entry("e2", 5)), now())
    await asyncio.sleep(6.0)
    cache.update_from_rows(rows(9), now())
    assert len(cache.view.of_service("books")) == 2
    end = now() + SETTLE_SECONDS
    while now() < end:
        await asyncio.sleep(0.7)
        cache.update_from_rows(rows(11, entry("e1", 11)), now())
    assert [e.id for e in cache.view.of_service("books")] == ["e1"]


async def test_a_leaving_endpoint_gets_no_work_while_the_store_is_away():
    cache = StoreCache("r1", decode_empty_routing)
    cache.update_from_rows(rows(5, entry("e1", 4), entry("e2", 5)), now())
    cache.merge_entries([entry("e2", 8, leaving=True)], "r2")
    await asyncio.sleep(20.0)
    assert [e.id for e in cache.view.of_service("books")] == ["e1"]


async def test_outdated_entry_does_not_restore_a_deleted_endpoint():
    cache = StoreCache("r1", decode_empty_routing)
    cache.update_from_rows(rows(5, entry("e1", 4)), now())
    cache.update_from_rows(rows(9), now())
    cache.merge_entries([entry("e1", 4)], "r2")
    assert not cache.view.of_service("books")


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
    cache = StoreCache("r1", decode_empty_routing)
    cache.update_from_rows(rows(5, entry("e1", 4)), now())
    await asyncio.sleep(2.0)
    cache.update_age(cache.view.digest + 1, 0.1, "r2")
    assert cache.age == 2.0
    cache.update_age(cache.view.digest, 0.1, "r2")
    assert round(cache.age or 0.0, 3) == 0.1


async def test_of_two_pollers_the_first_by_name_continues():
    """Two routers poll the store at the same time, and each gets the other's reads."""
    for vm, other, poller in (("r1", "r2", "r1"), ("r2", "r1", "r1")):
        cache = StoreCache(vm, decode_empty_routing)
        cache.update_from_rows(rows(5, entry("e1", 4)), now())
        await asyncio.sleep(0.5)
        cache.update_age(cache.view.digest, 0.1, other)
        assert cache.poller == poller
