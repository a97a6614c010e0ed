"""Tests of polling the engines' load and cache events."""

import asyncio
import json
from contextlib import asynccontextmanager
from random import Random

from teaselledge.process.enginefeed import HttpFeedSource
from teaselledge_standins.caller import Caller
from teaselledge_standins.fleet import FleetPlan, key_of, running_fleet
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

PROMPTS = [f"{letter * 1500}" for letter in "abcdefgh"]


@asynccontextmanager
async def engines():
    """Run one router with two engines in its zone."""
    plan = FleetPlan({"r1": "north-a"}, engine_zones=("north-a", "north-a"))
    async with running_fleet(plan) as fleet:
        yield fleet


async def request_completion(fleet, prompt):
    address = fleet.routers["r1"].caller_address
    reply = await Caller(key_of("amber")).request_completion(
        address, prompt, 1, "amber"
    )
    assert reply.status == 200


async def test_requests_return_to_the_engine_that_caches_their_prefix(engines):
    """Prompts with long common prefixes are repeated. With random placement half of
    them would be computed again at the other engine.
    """
    random = Random(1)
    for _ in range(4):
        for first in range(0, len(PROMPTS), 4):
            prompts = PROMPTS[first : first + 4]
            random.shuffle(prompts)
            await asyncio.gather(
                *(request_completion(engines, prompt) for prompt in prompts)
            )
    caches = [engine.cache for engine in engines.engines.values()]
    assert all(cache.misses > 0 for cache in caches)
    # each prompt is requested four times and computed once
    assert sum(cache.misses for cache in caches) <= len(PROMPTS) + 2


async def test_events_reach_the_dispatcher_late_and_with_gaps(engines):
    """Another router's requests fill the caches; this router knows them only from
    the events, some of which are lost.
    """
    for engine in engines.engines.values():
        engine.cache.drop_every_nth = 3
    for prompt in PROMPTS:
        await request_completion(engines, prompt)
    await asyncio.sleep(0.6)
    node = engines.routers["r1"].node
    await node.feed.refresh()
    seen = node.feed._sequences
    published = {e.address: e.cache.published(-1) for e in engines.engines.values()}
    expected = {a: p[-1]["sequence"] for a, p in published.items() if p}
    assert seen == expected and expected


async def test_invalid_feed_pages_are_dropped():
    """An engine sends negative loads, too many events or invalid JSON."""
    responses = [
        b"no json",
        json.dumps({"running": -1}).encode(),
        json.dumps({"running": "nan"}).encode(),
        json.dumps({"running": 1, "events": [{"sequence": 0}] * 300}).encode(),
        json.dumps({"running": 1, "events": [{"sequence": 1 << 70}]}).encode(),
        json.dumps({"running": 1, "new": {}}).encode(),
    ]

    class Handler(RequestHandler):
        def get(self):
            self.write(responses[0])

    server = HTTPServer(Application([(r"/.*", Handler)], log_function=lambda h: None))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    source = HttpFeedSource()
    pages = []
    while responses:
        pages.append(await source.read(address, -1))
        responses.pop(0)
    server.stop()
    assert pages[:-1] == [None] * 5
    assert pages[-1].running == 1
