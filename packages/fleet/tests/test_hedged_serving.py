"""Tests of requests with two attempts in flight, without a network."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from expression import Error, Ok
from teaselledge_fleet.connection.endpoint import (
    IncompleteResponseError,
    SendFailure,
    SendFault,
)
from teaselledge_fleet.connection.front import ReceivedRequest
from teaselledge_fleet.hedging.policy import HedgePolicy, HedgeReason, HedgeSettings
from teaselledge_fleet.process.budget import RetryBudget
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.metrics import FleetMetrics
from teaselledge_fleet.request.call import ResponseHead
from teaselledge_fleet.request.context import Outcome
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from teaselledge_fleet.request.serving import RequestProxy
from teaselledge_fleet.version.routes import RetryPolicy, Route
from teaselledge_standins.routes import SequentialPlacer, make_route, make_routing
from tornado.httputil import HTTPHeaders, RequestStartLine

VIRTUAL_CLOCK = True
NEVER = 60.0


@dataclass
class Script:
    """How an endpoint responds: a head after some seconds, then chunks in intervals."""

    head_seconds: float = 0.01
    status: int | None = 200
    chunks: tuple[bytes, ...] = (b"fine",)
    chunk_seconds: float = 0.0
    declined: bool = False
    truncated: bool = False
    connect_seconds: float = 0.0
    connects: bool = True


@dataclass
class ScriptedExchange:
    """An exchange in memory, which is also its connection."""

    script: Script
    sent: "list[ScriptedExchange]"
    sent_at: float = 0.0
    cancelled_at: float | None = None
    ended: bool = False
    resume_after: str | None = None
    ended_by_close: bool = False

    def send_request(self, request, codec, headers, body) -> "ScriptedExchange":
        """Begin the exchange."""
        self.sent.append(self)
        self.sent_at = asyncio.get_running_loop().time()
        self.resume_after = dict(headers).get("Last-Event-Id")
        return self

    async def head(self):
        """Return the head, or a failure if the script has no status."""
        await asyncio.sleep(self.script.head_seconds)
        if self.script.status is None:
            return Error(SendFailure(SendFault.CLOSED, True))
        declined = self.script.declined
        return Ok(ResponseHead(self.script.status, HTTPHeaders(), True, declined, True))

    async def body(self, max_bytes: int = 0) -> AsyncIterator[bytes]:
        """Yield the chunks."""
        for chunk in self.script.chunks:
            await asyncio.sleep(self.script.chunk_seconds)
            yield chunk
        if self.script.truncated:
            raise IncompleteResponseError
        self.ended = True

    def cancel(self) -> None:
        """Record a connection that is closed before the response is complete."""
        if not self.ended and self.cancelled_at is None:
            self.cancelled_at = asyncio.get_running_loop().time()


@dataclass
class ScriptedPool:
    """Connections to scripted endpoints, by their ids."""

    scripts: dict[str, Script]
    exchanges: dict[str, list[ScriptedExchange]] = field(default_factory=dict)

    def count(self, address: str) -> int:
        """Return 0: none of the connections is kept."""
        return 0

    async def acquire(self, address: str, at_most_once: bool):
        """Connect to an endpoint."""
        script = self.scripts[address]
        if script.connect_seconds:
            await asyncio.sleep(script.connect_seconds)
        if not script.connects:
            return Error(SendFailure(SendFault.UNREACHABLE, False))
        return Ok(ScriptedExchange(script, self.exchanges.setdefault(address, [])))


class RecordingWriter:
    """A caller's response in memory."""

    def __init__(self) -> None:
        self.started = self.finished = self.aborted = self.disconnected = False
        self.status, self.body, self.reconnect_probability = 0, b"", 0.0

    async def start(self, status, headers, chunk=None) -> None:
        """Record the head."""
        assert not self.started
        self.started, self.status, self.body = True, status, chunk or b""

    async def write(self, chunk: bytes) -> None:
        """Record a part of the body."""
        self.body += chunk

    def finish(self) -> None:
        """Record the end."""
        self.finished = True

    def abort(self) -> None:
        """Record an incomplete response."""
        self.finished = self.aborted = True


class HedgingHarness:
    """A request path whose policy expects responses within 0.1 s."""

    def __init__(self, route: Route, *scripts: Script, fraction: float = 0.5) -> None:
        self.pool = ScriptedPool({f"e{n}": s for n, s in enumerate(scripts, 1)})
        self.placer = SequentialPlacer(
            [Endpoint(name, "books", name, "north", 4) for name in self.pool.scripts]
        )
        self.metrics, self.budget = FleetMetrics(), RetryBudget()
        self.server = RequestProxy(
            DefaultHeaderCodec(), self.pool, self.placer, self.budget, self.metrics
        )
        self.server.routing = make_routing(route)
        self.policy = HedgePolicy(HedgeSettings(fraction, fraction, 0.95, 0.05))
        self.server.enable_hedging(self.policy)
        now = asyncio.get_running_loop().time()
        for _ in range(20):
            self.policy.observe(route.name, 0, 0.1, now)
        for _ in range(5):
            self.policy.record_request("books", 0)

    async def send(self) -> RecordingWriter:
        """Send a request, and return its response."""
        writer = RecordingWriter()
        await self.server.handle(received_request(), writer)
        return writer

    def count(self, name: str) -> float:
        """Return the sum of a metric over its labels."""
        return sum(self.metrics.values(name).values())

    def withheld(self) -> list[str]:
        """Return the reasons of hedges that were withheld."""
        return [labels[0] for labels in self.metrics.values("hedges_withheld")]

    def sent(self, endpoint: str) -> int:
        """Return the number of requests that an endpoint got."""
        return len(self.pool.exchanges.get(endpoint, []))


def received_request() -> ReceivedRequest:
    headers = HTTPHeaders({"Host": "books.example", "X-Request-Id": "q1"})
    now = asyncio.get_running_loop().time()
    return ReceivedRequest(
        RequestStartLine("GET", "/r/1", "HTTP/1.1"), headers, now, "127.0.0.1"
    )


LOOKUP = make_route(RetryPolicy.ANY)
STREAM = make_route(RetryPolicy.RESUME, stream=True)


def event(number: int) -> bytes:
    return b"id: %d\ndata: %d\n\n" % (number, number)


async def test_a_late_lookup_is_served_by_its_hedge():
    """The first endpoint is stalled; its connection is closed when the hedge wins."""
    harness = HedgingHarness(LOOKUP, Script(NEVER), Script(chunks=(b"hedge",)))
    started_at = asyncio.get_running_loop().time()
    response = await harness.send()
    elapsed = asyncio.get_running_loop().time() - started_at
    assert (response.status, response.body) == (200, b"hedge")
    assert elapsed < 0.15
    assert harness.pool.exchanges["e1"][0].cancelled_at - started_at < 0.15
    assert harness.placer.superseded == ["e1"]
    assert harness.placer.outcomes == [Outcome.WHOLE]
    assert harness.count("hedges_won") == harness.count("hedges_sent") == 1
    assert 0.1 < harness.count("hedge_wasted_seconds") < 0.15
    assert harness.metrics.values("attempts")["abandoned", "books"] == 1


async def test_the_first_attempt_wins_against_a_slower_hedge():
    harness = HedgingHarness(LOOKUP, Script(0.3, chunks=(b"first",)), Script(NEVER))
    response = await harness.send()
    assert response.body == b"first"
    assert harness.pool.exchanges["e2"][0].cancelled_at is not None
    assert harness.placer.superseded == ["e2"]
    assert (harness.count("hedges_sent"), harness.count("hedges_won")) == (1, 0)


async def test_a_response_in_time_is_not_hedged():
    harness = HedgingHarness(LOOKUP, Script(0.05), Script())
    assert (await harness.send()).status == 200
    assert not harness.sent("e2")


async def test_a_response_wins_only_when_it_is_complete():
    """The first endpoint sends a part of its response and stalls."""
    stalled = Script(chunks=(b"fi", b"ne"), chunk_seconds=1.0)
    harness = HedgingHarness(LOOKUP, stalled, Script(chunks=(b"hedge",)))
    assert (await harness.send()).body == b"hedge"


async def test_without_hedging_a_late_response_is_awaited():
    harness = HedgingHarness(LOOKUP, Script(1.0), Script())
    harness.server._hedger = None
    assert (await harness.send()).body == b"fine"
    assert not harness.sent("e2")
    assert harness.policy.limit_reason("books", 0) is None


async def test_requests_that_may_not_be_repeated_are_not_hedged():
    """A hedge would run an order twice."""
    for route in (
        make_route(RetryPolicy.NEVER),
        make_route(RetryPolicy.NEVER, stream=True),
        make_route(RetryPolicy.RESUME),
    ):
        harness = HedgingHarness(route, Script(1.0, chunks=(event(1),)), Script())
        assert (await harness.send()).status == 200
        assert not harness.sent("e2")


async def test_events_of_the_loser_are_not_mixed_with_those_of_the_winner():
    """The first engine stalls in the middle of its first event.

    If both attempts shared the state of the splitter, the caller would get the halves
    of two events as one.
    """
    stalled = Script(chunks=(b"id: 1\nda", b"ta: 1\n\n"), chunk_seconds=0.08)
    late = Script(NEVER, chunks=())
    winner = Script(chunks=(event(1), event(2)), chunk_seconds=0.01)
    harness = HedgingHarness(STREAM, stalled, winner)
    assert (await harness.send()).body == event(1) + event(2)
    harness = HedgingHarness(STREAM, late, winner)
    assert (await harness.send()).body == event(1) + event(2)


async def test_a_hedge_that_breaks_after_its_first_event_is_resumed():
    """The state of the winner's splitter tells the next engine where to resume."""
    route = make_route(RetryPolicy.RESUME, stream=True, attempts=3)
    broken = Script(chunks=(event(1), b"id: 2\nda"), truncated=True)
    rest = Script(chunks=(event(2),))
    harness = HedgingHarness(route, Script(NEVER), broken, rest)
    response = await harness.send()
    assert (response.body, response.aborted) == (event(1) + event(2), False)
    assert harness.pool.exchanges["e3"][0].resume_after == "1"


async def test_a_stream_is_not_hedged_after_its_first_event():
    slow = Script(chunks=(event(1), event(2)), chunk_seconds=0.09)
    harness = HedgingHarness(STREAM, slow, Script())
    assert (await harness.send()).body == event(1) + event(2)
    assert not harness.sent("e2")


async def test_a_failed_attempt_leaves_the_request_to_the_other():
    """Each failure is that of its endpoint; the caller notices none."""
    for failing in (Script(0.2, 500), Script(0.2, None), Script(0.2, 503)):
        harness = HedgingHarness(LOOKUP, failing, Script(0.2, chunks=(b"hedge",)))
        assert (await harness.send()).body == b"hedge"
        assert harness.placer.outcomes[0] in (Outcome.FAILED, Outcome.LOST)
        assert not harness.placer.superseded
        failing.head_seconds = 0.01
        harness = HedgingHarness(LOOKUP, Script(0.4, chunks=(b"first",)), failing)
        assert (await harness.send()).body == b"first"


async def test_both_attempts_fail():
    """A status that promises that the request has not run is given only if so."""
    declined = Script(0.2, 503, declined=True)
    for first, hedge, status in (
        (Script(0.2, None), Script(0.2, None), 502),
        (declined, declined, 503),
        (declined, Script(0.2, None), 502),
        (Script(0.2, None), declined, 502),
        (Script(0.2, None), Script(connects=False), 502),
        (Script(connect_seconds=0.3, connects=False), declined, 503),
    ):
        harness = HedgingHarness(LOOKUP, first, hedge)
        assert (await harness.send()).status == status
        assert len(harness.placer.outcomes) == 2


async def test_a_declined_attempt_does_not_hide_that_the_other_may_have_run():
    """The first endpoint declines while the hedge runs, until the deadline."""
    route = make_route(RetryPolicy.ANY, timeout=1.0)
    harness = HedgingHarness(
        route, Script(0.2, 503, declined=True), Script(NEVER), Script()
    )
    assert (await harness.send()).status == 504


async def test_the_attempts_left_are_used_after_both_fail():
    route = make_route(RetryPolicy.ANY, attempts=3)
    harness = HedgingHarness(
        route, Script(0.2, None), Script(0.2, None), Script(chunks=(b"third",))
    )
    assert (await harness.send()).body == b"third"


async def test_hedges_count_as_attempts():
    """An attempt that is still connecting counts as well."""
    route = make_route(RetryPolicy.ANY, attempts=1)
    for first in (Script(0.3), Script(connect_seconds=0.3)):
        harness = HedgingHarness(route, first, Script())
        assert (await harness.send()).status == 200
        assert harness.withheld() == [HedgeReason.ATTEMPTS.value]


async def test_both_attempts_end_when_the_caller_disconnects():
    harness = HedgingHarness(LOOKUP, Script(NEVER), Script(NEVER))
    task = asyncio.create_task(harness.send())
    await asyncio.sleep(0.5)
    assert harness.sent("e2") == 1
    cancelled_at = asyncio.get_running_loop().time()
    task.cancel()
    await asyncio.sleep(0.001)
    for name in ("e1", "e2"):
        assert harness.pool.exchanges[name][0].cancelled_at - cancelled_at < 0.001
    assert harness.placer.outcomes == [Outcome.ABANDONED]
    assert harness.placer.superseded == ["e2"]


async def test_an_endpoint_that_leaves_gets_no_hedge():
    harness = HedgingHarness(LOOKUP, Script(0.3), Script())
    harness.placer.leaving.add("e2")
    assert (await harness.send()).status == 200
    assert not harness.sent("e2")
    assert harness.placer.outcomes == [Outcome.WITHDRAWN, Outcome.WHOLE]


async def test_hedges_draw_on_the_retry_budget():
    harness = HedgingHarness(LOOKUP, Script(0.3), Script())
    while harness.budget.try_acquire("books"):
        pass
    assert (await harness.send()).status == 200
    assert harness.withheld() == [HedgeReason.RETRY_BUDGET.value]
    assert harness.placer.outcomes == [Outcome.WITHDRAWN, Outcome.WHOLE]


async def test_no_hedge_follows_a_refusal_or_an_excess_over_the_share():
    harness = HedgingHarness(LOOKUP, Script(0.3), Script())
    harness.placer.inside_share = False
    await harness.send()
    harness.placer.inside_share = True
    harness.server.leaving = True
    assert (await harness.send()).status == 503
    harness.server.leaving = False
    await harness.send()
    assert not harness.sent("e2")
    assert harness.withheld() == ["over-share", "refusals"]


async def test_random_histories_keep_the_rules_of_attempts():
    """Attempts that fail, stall, connect late or break, and callers that leave.

    Each attempt ends once, a response is whole and that of one endpoint, and a status
    that promises that the request has not run is given only if none may have run.
    """
    for seed in range(400):
        draw = random.Random(seed)
        scripts = [random_script(draw, f"from e{n}".encode()) for n in (1, 2, 3)]
        route = make_route(RetryPolicy.ANY, attempts=draw.choice((1, 2, 3)))
        harness = HedgingHarness(route, *scripts)
        task = asyncio.create_task(harness.send())
        await asyncio.wait([task], timeout=draw.choice((0.15, 0.3, NEVER)))
        task.cancel()
        await asyncio.wait([task])
        exchanges = [e for sent in harness.pool.exchanges.values() for e in sent]
        assert len(exchanges) <= route.attempts, seed
        assert all(e.ended or e.cancelled_at is not None for e in exchanges), seed
        ends = len(harness.placer.outcomes) + len(harness.placer.superseded)
        assert ends == harness.count("attempts") >= len(exchanges), seed
        if task.cancelled():
            continue
        response = task.result()
        if response.status == 200:
            assert response.body in [b"".join(s.chunks) for s in scripts], seed
        if response.status == 503:
            assert all(e.script.declined for e in exchanges), seed


def random_script(draw: random.Random, text: bytes) -> Script:
    status = draw.choice((200, 200, 200, 500, 503, None))
    return Script(
        draw.choice((0.05, 0.12, 0.2, NEVER)),
        status,
        (text[:4], text[4:]),
        draw.choice((0.0, 0.06)),
        declined=status == 503 and draw.random() < 0.7,
        truncated=draw.random() < 0.2,
        connect_seconds=draw.choice((0.0, 0.0, 0.15)),
        connects=draw.random() < 0.8,
    )


async def test_hedges_are_limited_while_all_endpoints_are_slow():
    """All endpoints become slower and slower; hedges would double the load on them."""
    fraction, draw = 0.02, random.Random(7)
    harness = HedgingHarness(LOOKUP, Script(), Script(), fraction=fraction)
    requests = []
    for number in range(1500):
        for script in harness.pool.scripts.values():
            script.head_seconds = (0.2 + number / 500) * draw.random()
        requests.append(asyncio.create_task(harness.send()))
        await asyncio.sleep(0.02)
    await asyncio.gather(*requests)
    first = [each.sent_at for each in harness.pool.exchanges["e1"]]
    hedges = [each.sent_at for each in harness.pool.exchanges["e2"]]
    assert len(hedges) > 0.5 * fraction * len(first)
    for start in range(30):
        for seconds in (2, 10):
            end = start + seconds
            in_window = sum(start <= at < end for at in first)
            assert sum(start <= at < end for at in hedges) <= fraction * in_window + 1
