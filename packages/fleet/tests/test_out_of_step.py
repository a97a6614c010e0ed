"""Tests of a router that is out of step while engines of a new version join.

Streams that had begun on these engines through other routers broke, were taken up at
the router that had not heard of them, and went on at an engine of another version.
"""

import asyncio
import time
from collections.abc import Iterator
from contextlib import asynccontextmanager, contextmanager
from unittest import mock

from teaselledge_fleet.migration.origins import OriginTable
from teaselledge_fleet.process.router import FleetRouter
from teaselledge_standins.versionedengine import EVENT_COUNT
from teaselledge_standins.versionedfleet import (
    RESUMED_EVENT,
    ROUTERS,
    STREAMS,
    VersionedFleet,
    going_on,
    mixed,
    running_versions,
    versions_of,
)

LENGTHS = (1.0, 2.0, 3.0, 5.0)
"""Seconds for which a router is out of step."""

JOINING_SECONDS = 5.0
"""Time limit for the others to use engines that join."""

BEGINNING_SECONDS = 5.0
BACK_IN_STEP_SECONDS = 2.5
JOURNAL_SECONDS = 1.0


@asynccontextmanager
async def first_version():
    async with running_versions(["v1"]) as fleet:
        for engine in fleet.engines:
            engine.pause_after = RESUMED_EVENT
        # the history of a router that was started together with its fleet
        await asyncio.sleep(1.0)
        yield fleet


@contextmanager
def cut_off(fleet: VersionedFleet, store: bool) -> Iterator[None]:
    """Cut the first router off from the others, and from the store if asked for."""
    router = fleet.routers[0].router
    with (
        mock.patch.object(router._socket, "send_all", lambda addresses, payload: None),
        mock.patch.object(router._socket, "_handle", lambda data, address: None),
        without_store(fleet, store),
    ):
        yield


@contextmanager
def standing_still(router: FleetRouter) -> Iterator[None]:
    """Let a router read and send no messages; those that arrive wait for it."""
    loop, peers = asyncio.get_running_loop(), router._socket
    loop.remove_reader(peers._socket)
    with mock.patch.object(peers, "send_all", lambda addresses, payload: None):
        yield
    loop.add_reader(peers._socket, peers._read_all)


@contextmanager
def without_store(fleet: VersionedFleet, cut: bool = True) -> Iterator[None]:
    """Keep the first router from the store."""
    cut_vms = {"r0"} if cut else set()
    fleet.store.unreachable_vms |= cut_vms
    yield
    fleet.store.unreachable_vms -= cut_vms


async def join(fleet: VersionedFleet) -> None:
    """Announce engines of a new version; wait until all other routers use them."""
    joining = [n for n, engine in enumerate(fleet.engines) if engine.version == "v2"]
    for number in joining:
        fleet.store.put(fleet.endpoint(f"e{number + 1}", "v2", number))
    views = [each.router._store_cache.view for each in fleet.routers[1:]]
    async with asyncio.timeout(JOINING_SECONDS):
        while any(view.get(f"e{n + 1}") is None for view in views for n in joining):
            await asyncio.sleep(0.01)


async def begin(fleet: VersionedFleet, number: int, stream: str) -> str:
    """Begin a stream at some router, which refuses it while its event loop is late."""
    async with asyncio.timeout(BEGINNING_SECONDS):
        while True:
            try:
                return await fleet.begin(number, stream)
            except asyncio.IncompleteReadError:
                await asyncio.sleep(0.1)


async def begin_elsewhere(fleet: VersionedFleet, name: str) -> list[str]:
    """Begin streams at all routers but the first; return their first events."""
    numbers = range(STREAMS)
    begun = await asyncio.gather(
        *(begin(fleet, 1 + n % (ROUTERS - 1), f"{name}{n}") for n in numbers)
    )
    assert any("v2" in event for event in begun)
    return begun


async def take_up(
    fleet: VersionedFleet, name: str, begun: list[str], named: bool = True
) -> list[list[str]]:
    """Take streams up at the first router; return the versions of their events."""
    headers = {} if named else {"X-Resumes": ""}
    responses = await asyncio.gather(
        *(fleet.resume(0, f"{name}{n}", **headers) for n in range(STREAMS))
    )
    return [
        versions_of(event.encode() + response.body)
        for event, response in zip(begun, responses, strict=True)
    ]


async def take_up_named_or_not(
    fleet: VersionedFleet, begun: list[str]
) -> list[list[str]]:
    """Take streams up both by callers that name their attempt and by others."""
    named, unnamed = await asyncio.gather(
        take_up(fleet, "q", begun), take_up(fleet, "q", begun, named=False)
    )
    return named + unnamed


async def take_up_while_cut(seconds: float, store: bool) -> list[list[str]]:
    """Take streams up at a router that has been cut off for some seconds."""
    async with first_version() as fleet:
        with cut_off(fleet, store):
            ending = asyncio.create_task(asyncio.sleep(seconds))
            await join(fleet)
            begun = await begin_elsewhere(fleet, "q")
            await ending
            return await take_up_named_or_not(fleet, begun)


async def mixed_by_length(out_of_step, store: bool) -> dict[float, int]:
    """Return how many streams are joined, by the time out of step in seconds."""
    streams = await asyncio.gather(*(out_of_step(each, store) for each in LENGTHS))
    return {
        length: len(mixed(each)) for length, each in zip(LENGTHS, streams, strict=True)
    }


NONE_MIXED = dict.fromkeys(LENGTHS, 0)


async def test_router_that_is_cut_off_joins_no_streams():
    """What it last heard counted for 2.4 s, though no router answered it."""
    assert await mixed_by_length(take_up_while_cut, store=True) == NONE_MIXED


async def test_router_that_is_cut_off_from_the_others_only_joins_no_streams():
    """It reads the endpoints from the store only after more than a second."""
    assert await mixed_by_length(take_up_while_cut, store=False) == NONE_MIXED


async def test_router_that_is_cut_off_from_the_others_reads_the_journal(first_version):
    """It still reaches the store, where the origins of all streams are."""
    fleet = first_version
    with cut_off(fleet, store=False):
        await join(fleet)
        begun = await begin_elsewhere(fleet, "q")
        await asyncio.sleep(JOURNAL_SECONDS)
        streams = await take_up(fleet, "q", begun)
    assert mixed(streams) == []
    assert going_on(streams) == STREAMS


async def take_up_after_a_stop(seconds: float, store: bool) -> list[list[str]]:
    """Take streams up at a router at the instant at which it runs again."""
    async with first_version() as fleet:
        with without_store(fleet), standing_still(fleet.routers[0].router):
            ending = asyncio.create_task(asyncio.sleep(seconds))
            await join(fleet)
            begun = await begin_elsewhere(fleet, "q")
            await ending
        with without_store(fleet, store):
            return await take_up_named_or_not(fleet, begun)


async def test_router_that_was_stopped_joins_no_streams():
    """Messages that waited for it are outdated, and so is what it knew before."""
    for store in (True, False):
        assert await mixed_by_length(take_up_after_a_stop, store) == NONE_MIXED


async def take_up_after_a_suspension(seconds: float, store: bool) -> list[list[str]]:
    """Take streams up at a router whose VM resumes.

    The event loop's clock does not count the time for which a VM is suspended.
    """
    read_clock = time.clock_gettime
    async with first_version() as fleet:
        with without_store(fleet), standing_still(fleet.routers[0].router):
            await join(fleet)
            begun = await begin_elsewhere(fleet, "q")
        with (
            mock.patch.object(
                time, "clock_gettime", lambda clock: read_clock(clock) + seconds
            ),
            without_store(fleet, store),
        ):
            return await take_up_named_or_not(fleet, begun)


async def test_router_that_was_suspended_joins_no_streams():
    """Its event loop's clock shows no time at all between before and after."""
    for seconds in LENGTHS[::3]:
        for store in (True, False):
            streams = await take_up_after_a_suspension(seconds, store)
            assert mixed(streams) == [], (seconds, store)


async def test_streams_go_on_at_a_router_that_is_back_in_step(first_version):
    """What it refused while it was out of step must not be refused for long."""
    fleet = first_version
    with cut_off(fleet, store=True):
        await join(fleet)
        begun = await begin_elsewhere(fleet, "q")
    await asyncio.sleep(BACK_IN_STEP_SECONDS)
    streams = await take_up(fleet, "q", begun)
    assert mixed(streams) == []
    assert going_on(streams) == STREAMS
    assert {len(versions) for versions in streams} == {1 + EVENT_COUNT - RESUMED_EVENT}


async def test_streams_of_the_only_version_go_on_though_no_keeper_answers(
    first_version,
):
    """The record in the store tells that there is no other version."""
    fleet = first_version
    begun = [await fleet.begin(1, f"q{n}") for n in range(STREAMS)]
    with cut_off(fleet, store=False):
        streams = await take_up_named_or_not(fleet, begun)
    assert going_on(streams) == 2 * STREAMS


async def test_named_streams_of_the_only_version_go_on_while_the_store_is_away(
    first_version,
):
    """The routers that would keep the origin of another version answer."""
    fleet = first_version
    begun = [await fleet.begin(1, f"q{n}") for n in range(STREAMS)]
    for running in fleet.routers:
        running.router._origins._directory._table = OriginTable()
    fleet.store.unreachable_vms.add("*")
    streams = await take_up(fleet, "q", begun)
    assert going_on(streams) == STREAMS


async def test_engine_that_restarts_in_place_gets_no_stream_of_a_router_that_is_cut_off(
    first_version,
):
    """Its entry at that router names the version of before the cut."""
    fleet = first_version
    begun = [await fleet.begin(0, f"q{n}") for n in range(STREAMS)]
    with cut_off(fleet, store=True):
        for number in (0, 2):
            fleet.engines[number].version = "v2"
        streams = await take_up(fleet, "q", begun)
    assert mixed(streams) == []
