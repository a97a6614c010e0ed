"""Tests of the whole path over loopback."""

import asyncio

from teaselledge_standins.caller import Caller, is_complete_response
from teaselledge_standins.fleet import key_of


async def test_two_routers_and_two_organisations_get_whole_answers(fleet):
    async def ask(vm, organisation):
        address = fleet.routers[vm].caller_address
        caller = Caller(key_of(organisation))
        reply = await caller.request_completion(address, organisation, 10, organisation)
        assert is_complete_response(reply, organisation, 10), reply

    await asyncio.gather(ask("r1", "amber"), ask("r2", "birch"))


async def test_order_reaches_the_ledger_once(fleet):
    caller = Caller(key_of("amber"))
    reply = await caller.place_order(fleet.routers["r3"].caller_address, "o1", "amber")
    assert reply.status == 200, reply
    runs = [run.name for plain in fleet.plains.values() for run in plain.runs]
    assert runs == ["o1"]


async def test_unknown_key_is_refused(fleet):
    """A caller with a key that no organisation has."""
    reply = await Caller("nobody").request_completion(
        fleet.routers["r1"].caller_address, "x", 1, "x"
    )
    assert (reply.status, reply.kind, reply.ran) == (401, "unauthenticated", "no")


async def test_order_is_told_to_its_own_organisation_only(fleet):
    """An organisation guesses the key of another's order and asks about it, at a
    router that the order did not go through.
    """
    await Caller(key_of("amber")).place_order(
        fleet.routers["r1"].caller_address, "o7", "amber"
    )
    address = fleet.routers["r2"].caller_address
    own = await Caller(key_of("amber")).call(address, "GET", "/v1/orders/o7")
    other = await Caller(key_of("birch")).call(address, "GET", "/v1/orders/o7")
    assert (own.status, own.ran) == (200, "yes")
    assert (other.status, other.kind) == (404, "not-found")


async def test_stream_is_passed_on_as_it_comes(fleet):
    """A long answer is slow; its first part must not wait for its end."""
    reply = await Caller(key_of("amber")).request_completion(
        fleet.routers["r1"].caller_address, "long", 60, "amber"
    )
    assert is_complete_response(reply, "long", 60)
    assert reply.first_seconds < reply.seconds / 3


async def test_every_error_has_the_request_id(fleet):
    reply = await Caller(key_of("amber")).call(
        fleet.routers["r1"].caller_address, "GET", "/v1/nothing"
    )
    assert reply.status == 404
    assert reply.headers["X-Request-Id"] in reply.body.decode()
    assert reply.headers["Content-Type"] == "application/problem+json"
