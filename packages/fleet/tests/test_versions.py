"""Tests that a stream goes on only at the version that began it, over whole routers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from teaselledge_fleet.version.routes import RetryPolicy, Target
from teaselledge_standins.fleetrouters import running_routers
from teaselledge_standins.routes import (
    ClientResponse,
    make_route,
    make_routing,
    send_request,
)
from teaselledge_standins.versionedengine import EVENT_COUNT, VersionedEngine
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

JOURNAL_SECONDS = 1.0
"""Time after which the origin of a stream is in the store."""


versioned_fleet = running_versions


@asynccontextmanager
async def split_route() -> AsyncIterator[VersionedFleet]:
    """Run routers before engines of two services of one version, on one route."""
    services = ("books", "more")
    async with AsyncExitStack() as stack:
        engines = [
            await stack.enter_async_context(VersionedEngine(service))
            for service in services
        ]
        fleet = VersionedFleet([], engines)
        endpoints = [
            replace(fleet.endpoint(f"e{n}", "v1", n), service=service)
            for n, service in enumerate(services)
        ]
        targets = tuple(Target(service) for service in services)
        route = make_route(RetryPolicy.RESUME, stream=True, targets=targets)
        running = running_routers(ROUTERS, make_routing(route), endpoints)
        fleet.routers.extend(await stack.enter_async_context(running))
        await asyncio.sleep(0.5)
        yield fleet


async def test_a_caller_takes_a_stream_up_at_its_service(split_route):
    """The weights of a route draw a service for each attempt of a caller."""
    for engine in split_route.engines:
        engine.pause_after = RESUMED_EVENT
    streams = []
    for number in range(STREAMS):
        event = await split_route.begin(0, f"q{number}")
        response = await split_route.resume(1, f"q{number}")
        streams.append(versions_of(event.encode() + response.body))
    assert len({versions[0] for versions in streams}) == len(split_route.engines)
    assert mixed(streams) == []


async def test_a_broken_stream_goes_on_at_its_version(versioned_fleet):
    """A router went on at any engine; what two versions write doesn't fit together."""
    for engine in versioned_fleet.engines:
        engine.break_after = RESUMED_EVENT
    router = versioned_fleet.routers[0]
    router.simulate_uptime()
    streams = []
    for number in range(STREAMS):
        headers = {"X-Request-Id": f"q{number}"}
        response = await send_request(router.port, "POST", headers, b"prompt")
        streams.append(versions_of(response.body))
        assert response.complete
        assert len(streams[-1]) == EVENT_COUNT
    assert mixed(streams) == []


async def test_a_caller_takes_a_stream_up_at_its_version(versioned_fleet):
    """Resumptions at other routers were placed like new requests.

    Half of the routers that began a stream have started again when it is taken up.
    """
    for engine in versioned_fleet.engines:
        engine.pause_after = RESUMED_EVENT
    begun = [await versioned_fleet.begin(0, f"q{n}") for n in range(STREAMS)]
    streams = []
    for number, event in enumerate(begun):
        if number == STREAMS // 2:
            await versioned_fleet.routers[0].restart()
            await asyncio.sleep(0.5)
        response = await versioned_fleet.resume(1 + number % 2, f"q{number}")
        streams.append(versions_of(event.encode() + response.body))
        assert response.complete
        assert len(streams[-1]) == 1 + EVENT_COUNT - RESUMED_EVENT
    assert mixed(streams) == []


async def test_a_stream_of_unknown_origin_is_refused_at_once(versioned_fleet):
    """Placed at some engine it would hold events of two versions half of the time."""
    response = await versioned_fleet.resume(0, "unknown")
    assert (response.status, b"origin-unknown" in response.body) == (502, True)
    unnamed = await versioned_fleet.resume(0, "unnamed", **{"X-Resumes": ""})
    assert (unnamed.status, b"origin-unknown" in unnamed.body) == (502, True)
    assert not any(engine.received for engine in versioned_fleet.engines)


async def begin_all(fleet: VersionedFleet, name: str) -> list[str]:
    """Begin streams at all routers, and leave them; return their first events."""
    for engine in fleet.engines:
        engine.pause_after = RESUMED_EVENT
    return [await fleet.begin(n % ROUTERS, f"{name}{n}") for n in range(STREAMS)]


async def resume_all(
    fleet: VersionedFleet, name: str, begun: list[str], named: bool = True
) -> list[list[str]]:
    """Take streams up at other routers; return the versions of their events."""
    headers = {} if named else {"X-Resumes": ""}
    streams = []
    for number, event in enumerate(begun):
        router = (number + 1) % ROUTERS
        response = await fleet.resume(router, f"{name}{number}", **headers)
        streams.append(versions_of(event.encode() + response.body))
    return streams


async def kill_all(fleet: VersionedFleet) -> None:
    """Kill all routers at once, and start them again half a second later."""
    await asyncio.gather(*(each.router.close() for each in fleet.routers))
    await asyncio.sleep(0.5)
    await asyncio.gather(*(each.restart() for each in fleet.routers))
    await asyncio.sleep(1.5)


async def test_after_all_routers_were_killed_no_stream_is_joined_from_two_versions(
    versioned_fleet,
):
    """The version that began them had just left, and another one went on."""
    begun = await begin_all(versioned_fleet, "q")
    await asyncio.sleep(JOURNAL_SECONDS)
    for endpoint in ("e1", "e3"):
        versioned_fleet.store.delete(endpoint)
    await kill_all(versioned_fleet)
    for named in (False, True):
        streams = await resume_all(versioned_fleet, "q", begun, named)
        assert mixed(streams) == []
    assert going_on(streams) == sum("v2" in event for event in begun)


async def test_after_all_routers_were_killed_streams_of_the_only_version_go_on(
    versioned_fleet,
):
    """They were refused for a minute, as no router knew of the time before."""
    for endpoint in ("e2", "e4"):
        versioned_fleet.store.delete(endpoint)
    versioned_fleet.store.stream_rows.clear()
    await kill_all(versioned_fleet)
    begun = await begin_all(versioned_fleet, "q")
    await kill_all(versioned_fleet)
    for named in (False, True):
        streams = await resume_all(versioned_fleet, "q", begun, named)
        assert going_on(streams) == STREAMS


async def test_after_all_routers_were_killed_streams_of_two_versions_go_on(
    versioned_fleet,
):
    """No router knew any more which version had begun them, and all were refused."""
    begun = await begin_all(versioned_fleet, "q")
    await asyncio.sleep(JOURNAL_SECONDS)
    await kill_all(versioned_fleet)
    streams = await resume_all(versioned_fleet, "q", begun)
    assert mixed(streams) == []
    assert going_on(streams) == STREAMS


async def test_streams_begun_before_a_second_version_came_go_on(versioned_fleet):
    """They were not in the journal, as only one version could have begun them."""
    for endpoint in ("e2", "e4"):
        versioned_fleet.store.delete(endpoint)
    versioned_fleet.store.stream_rows.clear()
    await kill_all(versioned_fleet)
    begun = await begin_all(versioned_fleet, "q")
    versioned_fleet.store.put(versioned_fleet.endpoint("e5", "v2", 1))
    await asyncio.sleep(2.0)
    await kill_all(versioned_fleet)
    streams = await resume_all(versioned_fleet, "q", begun)
    assert mixed(streams) == []
    assert going_on(streams) == STREAMS


async def test_streams_that_are_taken_up_at_once_do_not_share_a_connection(
    versioned_fleet,
):
    """A connection that waited for the store was taken by another request, too."""
    begun = await begin_all(versioned_fleet, "q")
    versioned_fleet.store.delay = 0.1

    async def resume_later(number: int) -> ClientResponse:
        await asyncio.sleep(0.005 * number)
        return await versioned_fleet.resume(0, f"q{number}")

    async with asyncio.timeout(5):
        responses = await asyncio.gather(*map(resume_later, range(STREAMS)))
    for event, response in zip(begun, responses, strict=True):
        assert response.complete
        versions = versions_of(event.encode() + response.body)
        assert len(versions) == 1 + EVENT_COUNT - RESUMED_EVENT
        assert len(set(versions)) == 1


def restart_in_place(fleet: VersionedFleet, *numbers: int, version: str = "v2") -> None:
    """Restart engines under their ids with another version, and announce that."""
    for number in numbers:
        fleet.engines[number].version = version
        fleet.store.put(fleet.endpoint(f"e{number + 1}", version, number))


async def test_an_engine_that_is_back_with_another_version_gets_no_streams_of_before(
    versioned_fleet,
):
    """The router's entry named the old version for up to a second."""
    begun = await begin_all(versioned_fleet, "q")
    restart_in_place(versioned_fleet, 0, 2)
    responses = await asyncio.gather(
        *(versioned_fleet.resume(n % ROUTERS, f"q{n}") for n in range(STREAMS))
    )
    streams = [
        versions_of(event.encode() + response.body)
        for event, response in zip(begun, responses, strict=True)
    ]
    assert mixed(streams) == []
    assert going_on(streams) == sum("v2" in event for event in begun)


async def test_a_stream_that_begins_as_its_engine_is_replaced_is_of_unknown_origin(
    versioned_fleet,
):
    """Its origin was recorded by an entry that was a moment too old.

    A version that is new to the fleet is withheld for a moment, too.
    """
    for round_number, version in enumerate(("v2", "v3")):
        restart_in_place(versioned_fleet, 0, version=version)
        begun = await begin_all(versioned_fleet, f"q{round_number}-")
        await asyncio.sleep(1.5)
        streams = await resume_all(versioned_fleet, f"q{round_number}-", begun)
        assert mixed(streams) == []


async def test_no_stream_is_taken_up_while_the_record_is_out_of_reach(versioned_fleet):
    """A router that starts while the store is away must not guess."""
    begun = await begin_all(versioned_fleet, "q")
    routers = versioned_fleet.routers
    await asyncio.gather(*(each.router.close() for each in routers[1:]))
    versioned_fleet.store.refuses_stream_rows = True
    await routers[0].restart()
    await asyncio.sleep(1.0)
    response = await versioned_fleet.resume(0, "q0")
    assert (response.status, b"origin-unanswered" in response.body) == (503, True)
    assert begun


async def test_a_record_that_can_not_be_written_does_not_stop_the_service(
    versioned_fleet,
):
    """Engines of a new version wait for the record, but not for long."""
    versioned_fleet.store.refuses_stream_rows = True
    for endpoint in ("e1", "e2", "e3", "e4"):
        versioned_fleet.store.delete(endpoint)
    versioned_fleet.store.put(versioned_fleet.endpoint("e5", "v3", 0))
    await asyncio.sleep(1.2)
    assert not versioned_fleet.routers[0].router._store_cache.view.endpoints
    await asyncio.sleep(2.8)
    response = await send_request(
        versioned_fleet.routers[0].port, "POST", {}, b"prompt"
    )
    assert response.status == 200


async def test_a_stream_whose_version_has_left_ends_incomplete(versioned_fleet):
    """It must not look complete, and its caller may begin anew."""
    for engine in versioned_fleet.engines:
        engine.break_after = RESUMED_EVENT
    headers = {"X-Request-Id": "q1"}
    for endpoint in ("e3", "e4"):
        versioned_fleet.store.delete(endpoint)
    await asyncio.sleep(1.5)
    router = versioned_fleet.routers[0]
    response = await send_request(router.port, "POST", headers, b"prompt")
    assert len(versions_of(response.body)) == RESUMED_EVENT
    assert not response.complete
    versioned_fleet.store.delete("e1")
    leaving = replace(versioned_fleet.endpoint("e2", "v2", 1), leaving=True)
    versioned_fleet.store.put(leaving)
    versioned_fleet.store.put(versioned_fleet.endpoint("e5", "v3", 0))
    await asyncio.sleep(1.5)
    again = await versioned_fleet.resume(1, "q1")
    assert (again.status, b"origin-gone" in again.body) == (502, True)


async def test_endpoints_that_are_replaced_under_their_id_have_their_version(
    versioned_fleet,
):
    """Routers compare views by a digest, and fetch a snapshot if it differs."""
    versioned_fleet.store.put(versioned_fleet.endpoint("e1", "v9", 0))
    await asyncio.sleep(1.5)
    for running in versioned_fleet.routers:
        view = running.router._store_cache.view
        assert view.get("e1").version == "v9"
