"""Tests of the limits of a router."""

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


def problem_of(raw_response):
    return json.loads(raw_response.partition(b"\r\n\r\n")[2])


async def until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def uploading():
    """Run one router that buffers small bodies and streams larger ones."""
    limits = Limits(body_bytes=2048, upload_bytes=1 << 20)
    async with running_fleet(FleetPlan({"r1": "north-a"}, limits=limits)) as fleet:
        yield fleet


def padded(name, size):
    """Return a body of at least the given size."""
    return json.dumps({"name": name, "seconds": 0, "padding": "x" * size}).encode()


async def test_large_body_is_streamed(uploading):
    """A caller uploads much more than the router buffers of a body."""
    body = padded("big", 900_000)
    response = await Caller(key_of("amber")).call(
        address_of(uploading), "POST", "/v1/services/ledger/work", body
    )
    assert response.status == 200, response
    assert json.loads(response.body)["received"] == len(body)
    await until(lambda: uploading.routers["r1"].bodies.reserved_bytes == 0)


async def test_growing_chunked_body_is_streamed(uploading):
    """A body of unknown length grows beyond what the router buffers."""
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
        raw_response = await caller.read_all()
    assert raw_response.startswith(b"HTTP/1.1 200"), raw_response
    assert f'"received": {len(body)}'.encode() in raw_response


async def test_interrupted_upload_does_not_run(uploading):
    """A caller disconnects during an upload. The endpoint must not run the
    incomplete body as a request.
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


async def test_upload_without_a_reachable_endpoint_ends_at_once(uploading):
    """No endpoint is reachable while a caller uploads. The caller must get the
    error before it has sent the whole body, and the connection must not stay
    open because of body parts that no endpoint receives.
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
        raw_response = await caller.read_all()
    assert raw_response.startswith(b"HTTP/1.1 502"), raw_response[:200]
    assert problem_of(raw_response)["ran"] == "no"
    await until(lambda: uploading.routers["r1"].bodies.reserved_bytes == 0)
    await until(lambda: uploading.routers["r1"]._server.connections == 0)


async def test_large_order_is_refused(uploading):
    """An order must be buffered completely, since its digest is journaled before
    it is sent. The refusal must not deny that an earlier attempt with the same
    key ran, since it may have reached an endpoint through another router.
    """
    response = await Caller(key_of("amber")).call(
        address_of(uploading), "POST", ORDERS, padded("order", 5000), "k"
    )
    assert (response.status, response.kind, response.ran) == (
        413,
        "body-too-large",
        "unknown",
    )


async def test_refusal_by_a_limit_does_not_deny_that_an_order_ran(small):
    """An order ran. Its caller repeats it with the same key while other bodies
    use the memory of the router. The refusal must not deny that the order ran.
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
        response = await caller.call(address_of(small), "POST", ORDERS, body, "twice")
    assert (response.kind, response.ran) == ("router-full", "unknown")


async def test_body_over_limit_is_refused_before_it_is_read(small):
    """A caller announces a body over the limit and has not sent it yet."""
    async with raw_caller(address_of(small)) as caller:
        await caller.send(
            f"POST {ORDERS} HTTP/1.1",
            f"Authorization: Bearer {key_of('amber')}",
            "Content-Length: 4000",
        )
        raw_response = await caller.read_all()
    assert raw_response.startswith(b"HTTP/1.1 413")
    assert problem_of(raw_response)["kind"] == "body-too-large"
    assert problem_of(raw_response)["ran"] == "no"


async def test_chunked_body_over_limit_is_refused_midway(small):
    """A chunked body, whose size is not announced, grows over the limit."""
    async with raw_caller(address_of(small)) as caller:
        await caller.send(
            f"POST {ORDERS} HTTP/1.1",
            f"Authorization: Bearer {key_of('amber')}",
            "Transfer-Encoding: chunked",
        )
        for _ in range(5):
            await caller.send_bytes(b"200\r\n" + b"x" * 512 + b"\r\n")
        raw_response = await caller.read_all()
    assert raw_response.startswith(b"HTTP/1.1 413"), raw_response
    assert small.routers["r1"].bodies.reserved_bytes == 0


async def test_headers_over_limit_are_refused(small):
    async with raw_caller(address_of(small)) as caller:
        await caller.send(
            f"GET {ORDERS} HTTP/1.1", "X-Long: " + "x" * 1500, "Connection: close"
        )
        raw_response = await caller.read_all()
    assert problem_of(raw_response)["kind"] == "headers-too-large"


async def test_connection_over_limit_is_refused_at_once(small):
    """Callers keep as many idle connections as the router allows. The next one
    must get an error, and a connection that closes must allow another.
    """
    async with raw_caller(address_of(small)), raw_caller(address_of(small)):
        async with raw_caller(address_of(small)) as third:
            await until(lambda: small.routers["r1"]._server.connections == 3)
            async with raw_caller(address_of(small)) as fourth:
                raw_response = await fourth.read_all()
            assert problem_of(raw_response)["kind"] == "router-full"
            third.close()
        await until(lambda: small.routers["r1"]._server.connections == 2)
        response = await Caller(key_of("amber")).place_order(
            address_of(small), "o", "amber"
        )
        assert response.status == 200


async def test_total_size_of_bodies_is_limited(small):
    """Two callers slowly send bodies below the limit that together exceed the
    memory for bodies. The second must be refused, not the first.
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
            raw_response = await second.read_all()
        assert problem_of(raw_response)["kind"] == "router-full"
        assert small.routers["r1"].bodies.reserved_bytes == 2000
    await until(lambda: small.routers["r1"].bodies.reserved_bytes == 0)


async def test_request_of_a_caller_that_disconnects_leaves_the_queue(single):
    """All slots are in use, and a caller with a waiting request disconnects. The
    request must not run later, when no caller reads the response.
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


async def test_disconnect_of_the_caller_stops_the_engine(single):
    """A caller disconnects during a long stream. The engine must not continue to
    generate tokens that no caller reads.
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


async def test_slow_caller_does_not_delay_others(single):
    """A caller does not read a long response. The router buffers only a limited
    part of it, and the response of another caller must not be delayed.
    """
    body = json.dumps({"prompt": "x" * 2000, "max_tokens": 2000}).encode()
    async with raw_caller(address_of(single)) as slow:
        await slow.post(COMPLETIONS, key_of("amber"), body)
        await slow.read_until(b"data:")
        response = await Caller(key_of("birch")).request_completion(
            address_of(single), "quick", 5, "birch"
        )
    assert is_complete_response(response, "quick", 5)


async def test_invalid_response_of_an_endpoint(single):
    """An endpoint responds with bytes that are not HTTP. The caller must get a
    problem object, and the next request must be served.
    """
    for plain in single.plains.values():
        plain.faults.garbage = 1
    caller = Caller(key_of("amber"))
    response = await caller.place_order(address_of(single), "g", "amber")
    assert response.status in (502, 504), response
    assert response.ran in ("unknown", "yes")
    response = await caller.place_order(address_of(single), "h", "amber")
    assert response.status == 200


async def test_truncated_response_of_an_endpoint_is_visible(single):
    """Every engine closes its connection during a response. The caller must be
    able to detect that the response is truncated.
    """
    for engine in single.engines.values():
        engine.faults.break_after = 300
    caller = Caller(key_of("amber"))
    response = await caller.request_completion(address_of(single), "cut", 50, "amber")
    assert not is_complete_response(response, "cut", 50)
    assert response.status != 200
