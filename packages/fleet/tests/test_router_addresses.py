"""Tests that no request is sent to an entry with the address of a router."""

import asyncio
from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace

from teaselledge_fleet.engines.routeraddresses import RouterAddresses
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.members import Member, Members, MemberState
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.fleetrouters import running_routers
from teaselledge_standins.routes import make_route, make_routing, send_request
from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)

VERSION_SECONDS = 1.5
REQUESTS = 30
OWN = ("10.0.0.1:80", "10.0.0.1:90", "", "10.0.0.1:81")


def router(vm: str, host: str, **changes) -> Member:
    member = Member(vm, 1, "z", "g", f"{host}:80", f"{host}:81", MemberState.READY)
    return replace(member, **changes)


@contextmanager
def addresses():
    members = Members(router("r1", "10.0.0.1"), lambda: 0.0)
    yield members, RouterAddresses(members, OWN)


def test_listeners_of_this_router_and_of_its_peers_are_no_endpoints(addresses):
    members, routers = addresses
    assert routers.contains("10.0.0.1:90")
    assert not routers.contains("10.0.0.1:82")
    assert not routers.contains("10.0.0.2:80")
    members.update_from_heartbeat(router("r2", "10.0.0.2", relay_port=7400))
    routers.update()
    # announced, or a port of this router, which the others are assumed to use as well
    for port in (80, 81, 7400, 90):
        assert routers.contains(f"10.0.0.2:{port}"), port
    assert not routers.contains("10.0.0.2:82")
    assert not routers.contains("10.0.0.3:80")


def test_selections_are_made_anew_only_when_the_addresses_change(addresses):
    members, routers = addresses
    routers.update()
    assert routers.version == 0
    members.update_from_heartbeat(router("r2", "10.0.0.2"))
    routers.update()
    routers.update()
    assert routers.version == 1
    members.update_from_heartbeat(router("r2", "10.0.0.2", utilisation=0.5))
    routers.update()
    assert routers.version == 1


async def echo(request: ScriptedRequest, writer: asyncio.StreamWriter) -> None:
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(response_bytes(200, headers, b"x"))


@asynccontextmanager
async def keyed_pair():
    """Run two routers that require keys, before one engine."""
    async with ScriptedEndpoint(echo) as engine:
        endpoints = [Endpoint("e1", "books", engine.address, "north-a", 4)]
        route = make_route(RetryPolicy.ANY, public=False)
        async with running_routers(2, make_routing(route), endpoints) as routers:
            await asyncio.sleep(VERSION_SECONDS)
            yield routers


async def test_rows_with_addresses_of_routers_cost_no_requests(keyed_pair):
    """Two of three requests were sent to routers, which knew no key and denied them."""
    for number, running in enumerate(keyed_pair):
        own = running.router._members.own
        for address in (own.caller_address, own.peer_address, own.relay_address):
            name = f"odd-{number}-{address}"
            running.store.put(Endpoint(name, "books", address, "north-a", 40))
    await asyncio.sleep(VERSION_SECONDS)
    headers = {"Authorization": "Bearer key-1"}
    statuses = [
        (await send_request(keyed_pair[n % 2].port, headers=headers)).status
        for n in range(REQUESTS)
    ]
    assert statuses == [200] * REQUESTS
