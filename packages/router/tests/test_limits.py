"""Tests of the limits that one router keeps."""

import asyncio
import json
from contextlib import asynccontextmanager

from teaselledge.process.settings import Limits
from teaselledge_standins.caller import Caller, is_complete_response
from teaselledge_standins.fleet import FleetPlan, key_of, running_fleet
from teaselledge_standins.rawcaller import raw_caller

SMALL = Limits(
    body_bytes=2048,
    upload_bytes=100_000,
    header_bytes=1024,
    waiting_bytes=3000,
    connections=3,
    waiting=50,
)
ORDERS = "/v1/services/ledger/orders"
COMPLETIONS = "/v1/services/models/v1/completions"


@asynccontextmanager
async def small():
    """Run one router with small limits."""
    plan = FleetPlan({"r1": "north-a"}, limits=SMALL)
    async with running_fleet(plan) as fleet:
        yield fleet


@asynccontextmanager
async def single():
    """Run one router with the usual limits."""
    plan = FleetPlan({"r1": "north-a"}, engine_zones=("north-a",))
    async with running_fleet(plan) as fleet:
        yield fleet


def address_of(fleet):
    return fleet.routers["r1"].caller_address


def problem_of(answer):
    return json.loads(answer.partition(b"\r\n\r\n")[2])


async def until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def uploading():
    """Run one router that keeps small bodies and passes larger ones on."""
    limits = Limits(body_bytes=2048, upload_bytes=1 << 20)
    async with running_fleet(FleetPlan({"r1": "north-a"}, limits=limits)) as fleet:
        yield fleet


def padded(name, size):
    """Return a body of about that size."""
    return json.dumps({"name": name, "seconds": 0, "padding": "x" * size}).encode()


async def test_large_body_is_passed_on_as_it_arrives(uploading):
    """A caller uploads much more than the router keeps of a body."""
    body = padded("big", 900_000)
    reply = await Caller(key_of("amber")).call(
        address_of(uploading), "POST", "/v1/services/ledger/work", body
    )
    assert reply.status == 200, reply
    assert json.loads(reply.body)["received"] == len(body)
    await until(lambda: uploading.routers["r1"].bodies.reserved_bytes == 0)


async def test_chunked_body_that_grows_is_passed_on(uploading):
    """A body without an announced length grows beyond what the router keeps."""
    body = padded("chunked", 50_000)
    async with raw_caller(address_of(uploading)) as caller:
        await caller.send(
            "POST /v1/services/ledger/work HTTP/1.1",
            f"Authorization: Bearer {key_of('amber')}",
            "Transfer-Encoding: chunked",
            "Connection: close",
        )
        for start in range(0, len(body), 1000):
            part = body[start : start + 1000]
            await caller.send_bytes(b"%x\r\n" % len(part) + part + b"\r\n")
        await caller.send_bytes(b"0\r\n\r\n")
        answer = await caller.read_all()
    assert answer.startswith(b"HTTP/1.1 200"), answer
    assert f'"received": {len(body)}'.encode() in answer


async def test_caller_that_stops_uploading_leaves_no_whole_body_behind(uploading):
    """A caller goes away in the middle of an upload. The endpoint must not take
    the part it has got for a whole request.
    """
    body = padded("torn", 900_000)
    async with raw_caller(address_of(uploading)) as caller:
        await caller.send(
            "POST /v1/services/ledger/work HTTP/1.1",
            f"Authorization: Bearer {key_of('amber')}",
            f"Content-Length: {len(body)}",
            body=body[:400_000],
        )
        ingress = uploading.routers["r1"].node.ingress
        await until(lambda: ingress.running == 1)
    await until(lambda: ingress.running == 0)
    await until(lambda: uploading.routers["r1"].bodies.reserved_bytes == 0)
    assert not [r for p in uploading.plains.values() for r in p.runs]


async def test_upload_that_no_endpoint_takes_ends_at_once(uploading):
    """Every endpoint is gone while a caller uploads. It must get its refusal before
    it has sent everything, and the connection must not be held by parts that
    nobody takes any more.
    """
    for plain in uploading.plains.values():
        await plain.close()
    body = padded("lost", 900_000)
    async with raw_caller(address_of(uploading)) as caller:
        await caller.send(
            "POST /v1/services/ledger/work HTTP/1.1",
            f"Authorization: Bearer {key_of('amber')}",
            f"Content-Length: {len(body)}",
            body=body[:700_000],
        )
        answer = await caller.read_all()
    assert answer.startswith(b"HTTP/1.1 502"), answer[:200]
    assert problem_of(answer)["ran"] == "no"
    await until(lambda: uploading.routers["r1"].bodies.reserved_bytes == 0)
    await until(lambda: uploading.routers["r1"]._server.connections == 0)


async def test_large_order_is_refused(uploading):
    """An order must be kept whole, since its digest is journaled before it goes
    out. What is refused at the door says nothing of earlier attempts under its
    key, which may have reached an endpoint through another router.
    """
    reply = await Caller(key_of("amber")).call(
        address_of(uploading), "POST", ORDERS, padded("order", 5000), "k"
    )
    assert (reply.status, reply.kind, reply.ran) == (413, "body-too-large", "unknown")


async def test_refusal_at_the_door_does_not_deny_an_order_that_ran(small):
    """An order ran. Its caller asks again under the same key while the router is
    full of other bodies, and must not be told that the order has not run.
    """
    caller = Caller(key_of("amber"))
    assert (await caller.place_order(address_of(small), "twice", "amber")).status == 200
    async with raw_caller(address_of(small)) as other:
        await other.send(
            f"POST {ORDERS} HTTP/1.1",
            f"Authorization: Bearer {key_of('amber')}",
            "Content-Length: 2040",
        )
        await until(lambda: small.routers["r1"].bodies.reserved_bytes == 2040)
        body = json.dumps({"name": "twice", "padding": "x" * 1000}).encode()
        reply = await caller.call(address_of(small), "POST", ORDERS, body, "twice")
    assert (reply.kind, reply.ran) == ("router-full", "unknown")


async def test_body_over_limit_is_refused_before_it_is_read(small):
    """A caller announces a body over the limit and has not sent it yet."""
    async with raw_caller(address_of(small)) as caller:
        await caller.send(
            f"POST {ORDERS} HTTP/1.1",
            f"Authorization: Bearer {key_of('amber')}",
            "Content-Length: 4000",
        )
        answer = await caller.read_all()
    assert answer.startswith(b"HTTP/1.1 413")
    assert problem_of(answer)["kind"] == "body-too-large"
    assert problem_of(answer)["ran"] == "no"


async def test_chunked_body_over_limit_is_refused_midway(small):
    """A chunked body does not tell its size; it grows over the limit."""
    async with raw_caller(address_of(small)) as caller:
        await caller.send(
            f"POST {ORDERS} HTTP/1.1",
            f"Authorization: Bearer {key_of('amber')}",
            "Transfer-Encoding: chunked",
        )
        for _ in range(5):
            await caller.send_bytes(b"200\r\n" + b"x" * 512 + b"\r\n")
        answer = await caller.read_all()
    assert answer.startswith(b"HTTP/1.1 413"), answer
    assert small.routers["r1"].bodies.reserved_bytes == 0


async def test_headers_over_limit_are_refused(small):
    async with raw_caller(address_of(small)) as caller:
        await caller.send(
            f"GET {ORDERS} HTTP/1.1", "X-Long: " + "x" * 1500, "Connection: close"
        )
        answer = await caller.read_all()
    assert problem_of(answer)["kind"] == "headers-too-large"


async def test_connection_over_limit_is_refused_at_once(small):
    """Callers hold as many idle connections as the router allows; the next one
    is told so, and a place that frees up can be used again.
    """
    async with raw_caller(address_of(small)), raw_caller(address_of(small)):
        async with raw_caller(address_of(small)) as third:
            await until(lambda: small.routers["r1"]._server.connections == 3)
            async with raw_caller(address_of(small)) as fourth:
                answer = await fourth.read_all()
            assert problem_of(answer)["kind"] == "router-full"
            third.close()
        await until(lambda: small.routers["r1"]._server.connections == 2)
        reply = await Caller(key_of("amber")).place_order(
            address_of(small), "o", "amber"
        )
        assert reply.status == 200


async def test_bodies_in_total_are_bounded(small):
    """Two callers send bodies that are each under the limit, slowly. Together
    they are over the memory for bodies: the second is refused, not the first.
    """
    head = (
        f"POST {ORDERS} HTTP/1.1",
        f"Authorization: Bearer {key_of('amber')}",
        "Content-Length: 2000",
    )
    async with raw_caller(address_of(small)) as first:
        await first.send(*head)
        await until(lambda: small.routers["r1"].bodies.reserved_bytes == 2000)
        async with raw_caller(address_of(small)) as second:
            await second.send(*head)
            answer = await second.read_all()
        assert problem_of(answer)["kind"] == "router-full"
        assert small.routers["r1"].bodies.reserved_bytes == 2000
    await until(lambda: small.routers["r1"].bodies.reserved_bytes == 0)


async def test_caller_that_leaves_while_queued_frees_its_place(single):
    """Every slot is taken and a caller gives up waiting. Its request must not
    reach an endpoint later, when nobody is there to read the answer.
    """
    caller = Caller(key_of("amber"))
    slots = single.plan.slots
    busy = [
        asyncio.create_task(
            caller.request_completion(address_of(single), f"b{i}", 60, "amber")
        )
        for i in range(slots)
    ]
    node = single.routers["r1"].node
    await until(lambda: node.ingress.running == slots)
    body = json.dumps({"prompt": "gone", "max_tokens": 1}).encode()
    async with raw_caller(address_of(single)) as leaving:
        await leaving.post(COMPLETIONS, key_of("amber"), body)
        await until(lambda: node.ingress.waiting == 1)
    await until(lambda: node.ingress.waiting == 0)
    await asyncio.gather(*busy)
    names = [run.name for engine in single.engines.values() for run in engine.runs]
    assert "gone" not in names


async def test_caller_that_leaves_while_running_stops_the_engine(single):
    """A caller drops its connection in the middle of a long stream. The engine
    must not go on to generate what nobody reads.
    """
    body = json.dumps({"prompt": "long", "max_tokens": 2000}).encode()
    async with raw_caller(address_of(single)) as leaving:
        await leaving.post(COMPLETIONS, key_of("amber"), body)
        await leaving.read_until(b"long.1")
    engines = single.engines.values()
    await until(lambda: all(engine.running == 0 for engine in engines))
    (run,) = [run for engine in engines for run in engine.runs]
    assert run.cost < 1000
    assert single.routers["r1"].node.ingress.running == 0


async def test_slow_caller_takes_bounded_memory_and_costs_nobody_else(single):
    """A caller reads nothing of a long answer. The router keeps a fixed part of
    it, and another caller's answer is not delayed by it.
    """
    body = json.dumps({"prompt": "x" * 2000, "max_tokens": 2000}).encode()
    async with raw_caller(address_of(single)) as slow:
        await slow.post(COMPLETIONS, key_of("amber"), body)
        await slow.read_until(b"data:")
        reply = await Caller(key_of("birch")).request_completion(
            address_of(single), "quick", 5, "birch"
        )
    assert is_complete_response(reply, "quick", 5)


async def test_endpoint_that_sends_garbage(single):
    """An endpoint answers with bytes that are no HTTP. The caller gets a problem
    object, and the next request is served.
    """
    for plain in single.plains.values():
        plain.faults.garbage = 1
    caller = Caller(key_of("amber"))
    reply = await caller.place_order(address_of(single), "g", "amber")
    assert reply.status in (502, 504), reply
    assert reply.ran in ("unknown", "yes")
    reply = await caller.place_order(address_of(single), "h", "amber")
    assert reply.status == 200


async def test_endpoint_that_stops_midway_breaks_the_answer_visibly(single):
    """Every engine drops its connection in the middle of an answer. The caller
    must not take the part it has got for the whole.
    """
    for engine in single.engines.values():
        engine.faults.break_after = 300
    caller = Caller(key_of("amber"))
    reply = await caller.request_completion(address_of(single), "cut", 50, "amber")
    assert not is_complete_response(reply, "cut", 50)
    assert reply.status != 200
