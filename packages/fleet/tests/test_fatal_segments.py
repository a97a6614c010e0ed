"""Tests of prompts with a segment that ends the engines that run them."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.crashmodel import CrashCase, run_case
from teaselledge_standins.fleetrouters import RunningRouter, running_routers
from teaselledge_standins.routes import make_route, make_routing, send_request
from teaselledge_standins.segmentengine import (
    PromptHeaderCodec,
    SegmentEngine,
    prompt_header,
)

FATAL_SEGMENT = "fatal"
ROUTERS, ENGINES = 3, 8
ENDS_BEFORE_LIMIT, MAX_SENT_AFTER_LIMIT = 5, 3
CONTACT_SECONDS = 1.0
"""Shorter than routers that are far from one another may take."""

FATAL_GAP_SECONDS, SOUND_GAP_SECONDS = 0.25, 0.04
LOAD_SECONDS = 12.0


@dataclass
class SegmentFleet:
    """Routers before engines that a segment of a prompt ends."""

    routers: list[RunningRouter]
    engines: list[SegmentEngine]
    rng: random.Random
    sound: list[tuple[float, bool]] = field(default_factory=list)
    """Loop time and whether it was served at the first attempt, for sound requests that
    share all other segments with the fatal ones."""

    @property
    def limit(self) -> float:
        """Loop time after which all routers have to refuse fatal requests.

        It counts from the fifth end, or from the last one if there are fewer.
        """
        ends = sorted(at for engine in self.engines for at in engine.ends)
        return ends[:ENDS_BEFORE_LIMIT][-1] + CONTACT_SECONDS

    @property
    def sent_late(self) -> int:
        """Number of fatal requests that reached engines after the limit."""
        return sum(at > self.limit for each in self.engines for at in each.fatal_at)

    async def send(self, number: int, *segments: str) -> None:
        """Send a request, of which no two are alike."""
        router = self.rng.choice(self.routers)
        headers = {
            "X-Request-Id": f"q{number}",
            **prompt_header(*segments, f"own{number}"),
        }
        sent_at = asyncio.get_running_loop().time()
        response = await send_request(router.port, "POST", headers, b"%d" % number)
        if FATAL_SEGMENT not in segments:
            whole = response.complete and response.body.count(b"id:") == 3
            self.sound.append((sent_at, response.status == 200 and whole))

    async def load(self) -> None:
        """Send fatal requests, and sound ones beside them."""
        fatal = self._repeat(FATAL_GAP_SECONDS, 0, ("first", FATAL_SEGMENT, "last"))
        sound = self._repeat(SOUND_GAP_SECONDS, 10_000, ("first", "last"))
        await asyncio.gather(fatal, sound)

    async def _repeat(self, gap: float, first: int, segments: tuple[str, ...]) -> None:
        sending = []
        for number in range(first, first + round(LOAD_SECONDS / gap)):
            sending.append(asyncio.create_task(self.send(number, *segments)))
            await asyncio.sleep(gap)
        await asyncio.gather(*sending)


@asynccontextmanager
async def segment_fleet(cut_inside: bool) -> AsyncIterator[SegmentFleet]:
    """Run routers before engines that a segment ends, and that start again."""
    async with AsyncExitStack() as stack:
        known: dict[SegmentEngine, Endpoint] = {}
        routers: list[RunningRouter] = []

        def on_state(engine: SegmentEngine, listens: bool) -> None:
            store, endpoint = routers[0].store, known[engine]
            if listens:
                name = f"{endpoint.id}-{len(engine.ends)}"
                known[engine] = replace(endpoint, id=name)
                store.put(known[engine])
            else:
                store.delete(endpoint.id)

        engines = [
            SegmentEngine(FATAL_SEGMENT, on_state, cut_inside) for _ in range(ENGINES)
        ]
        for number, engine in enumerate(engines, 1):
            await engine.listen()
            stack.push_async_callback(engine.stop)
            known[engine] = Endpoint(
                f"e{number}", "books", engine.address, "north-a", 40
            )
        routing = make_routing(make_route(RetryPolicy.RESUME, stream=True))
        routers += await stack.enter_async_context(
            running_routers(ROUTERS, routing, known.values(), PromptHeaderCodec())
        )
        await asyncio.sleep(0.5)
        yield SegmentFleet(routers, engines, random.Random(7))


async def check_load(fleet: SegmentFleet) -> None:
    """Run the load, and check both limits."""
    await fleet.load()
    served = [ok for at, ok in fleet.sound if at > fleet.limit + CONTACT_SECONDS]
    assert fleet.sent_late <= MAX_SENT_AFTER_LIMIT, fleet.sent_late
    assert sum(served) >= 0.5 * len(served) > 20, (sum(served), len(served))


async def test_a_segment_that_ends_engines_is_refused_and_no_other():
    """Requests with one segment, no two alike, ended one engine after another."""
    async with segment_fleet(cut_inside=True) as fleet:
        await check_load(fleet)


async def test_engines_that_close_at_an_events_end_condemn_the_segment():
    """Such streams counted as served, which acquitted the segment each time."""
    async with segment_fleet(cut_inside=False) as fleet:
        await check_load(fleet)


def check_drawn_fleets(seeds: range) -> None:
    """Check both limits over loads, losses, restarts and other crashes."""
    for seed in seeds:
        case = CrashCase.draw(seed)
        for counts in run_case(case):
            result = counts.sent_late, counts.passed_fraction, len(counts.ends)
            assert counts.kept, (result, case)


def test_fatal_segments_are_refused_in_drawn_fleets_and_no_others():
    """Over loads, losses, restarts and other crashes, both limits together."""
    check_drawn_fleets(range(1, 9))


def test_fatal_segments_are_refused_in_further_drawn_fleets():
    """A shared segment was refused that was in flight at one end more (seed 17)."""
    check_drawn_fleets(range(9, 18))


def test_fatal_segments_are_refused_in_the_last_drawn_fleets():
    check_drawn_fleets(range(18, 25))
