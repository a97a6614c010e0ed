"""Tests of choosing engines and of refusing requests."""

import asyncio
from dataclasses import dataclass, field, replace

from teaselledge_fleet.faults import FaultKind
from teaselledge_fleet.process.admission import AdmissionDecision
from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry, EndpointView
from teaselledge_fleet.process.placing import FleetPlacer
from teaselledge_fleet.process.prefill import PREFILL_TIME_FRACTION, SlowdownSamples
from teaselledge_fleet.process.prefixes import rendezvous_order
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.roundtrips import RoundTrips
from teaselledge_fleet.process.shares import TokenUsage
from teaselledge_fleet.process.signals import (
    LEAVING_RETENTION_SECONDS,
    EndpointSignals,
)
from teaselledge_fleet.process.work import EndpointLoad, name_hash
from teaselledge_fleet.request.call import (
    CallerRequest,
    EndpointSignal,
    Prompt,
    PromptSegment,
)
from teaselledge_fleet.request.context import Outcome, RequestContext
from teaselledge_fleet.version.routes import Organisation, RetryPolicy
from teaselledge_standins.routes import make_route
from tornado.httputil import HTTPHeaders

VIRTUAL_CLOCK = True
NOT_BEGUN = (Outcome.UNSENT, Outcome.WITHDRAWN, Outcome.DECLINED, Outcome.LOST)
ZONES = {"north": "west", "south": "west", "far": "east"}
ENGINES = [
    Endpoint(f"e{number}", "books", f"127.0.0.1:{number}", zone, 48)
    for number, zone in enumerate(("north", "north", "south", "south", "far"))
]


@dataclass
class PlacerHarness:
    """A placer with its view of the endpoints."""

    view: EndpointView = field(default_factory=EndpointView)
    request_count: int = 0

    def __post_init__(self) -> None:
        self.view.merge(EndpointEntry(e.id, Revision(0, 1), e) for e in ENGINES)
        self.placer = FleetPlacer(self.view, "north", ZONES)

    def context(
        self,
        prefix: str = "p1",
        prefix_tokens: int = 13_000,
        suffix_tokens: int = 3_700,
        **options,
    ):
        """Return a request with a prompt."""
        self.request_count += 1
        segments = (
            PromptSegment(prefix, prefix_tokens),
            PromptSegment(f"own{self.request_count}", suffix_tokens),
        )
        prompt = Prompt(prefix_tokens + suffix_tokens, 120, segments)
        call = CallerRequest(
            f"q{self.request_count}", "POST", "/r/1", "h", HTTPHeaders(), prompt=prompt
        )
        now = asyncio.get_running_loop().time()
        route = make_route(
            RetryPolicy.NEVER, stream=True, carries_prompt=True, latency_objective=0.8
        )
        organisation = Organisation(options.get("organisation", "cellar"), ())
        body = b"x" * options.get("size", 17_000)
        return RequestContext(call, body, route, "books", organisation, now, now + 8.0)

    def report_load(
        self, engine: str, prefill_seconds: float, in_flight: int = 1
    ) -> None:
        """Merge a report of another router's load at an engine."""
        self.placer.load.update_source(
            "r2", {name_hash(engine): EndpointLoad(in_flight, prefill_seconds)}
        )


async def place(harness: PlacerHarness, context: RequestContext):
    result = await harness.placer.place(context)
    return result.ok.endpoint.id if result.is_ok() else result.error


async def test_prompts_with_the_same_prefix_go_to_the_same_engine():
    """Spread over engines, a prefix would be computed again on each of them."""
    harness = PlacerHarness()
    for prefix in ("p1", "p2", "p3", "p4"):
        chosen = set()
        for _ in range(5):
            context = harness.context(prefix)
            chosen.add(await place(harness, context))
            harness.placer.on_response_started(
                context, harness.view.get(next(iter(chosen)))
            )
        assert chosen == {rendezvous_order(prefix, ENGINES)[0].id}


async def test_another_router_chooses_the_same_engine():
    local, remote = PlacerHarness(), PlacerHarness()
    remote.placer = FleetPlacer(remote.view, "far", ZONES)
    for prefix in ("p1", "p2", "p3"):
        assert await place(local, local.context(prefix)) == await place(
            remote, remote.context(prefix)
        )


async def test_a_prefix_stays_when_another_engine_is_removed():
    harness = PlacerHarness()
    first_choice = rendezvous_order("p1", ENGINES)[0].id
    second = rendezvous_order("p1", ENGINES)[1].id
    harness.view.merge([EndpointEntry(second, Revision(0, 2), None)])
    assert await place(harness, harness.context("p1")) == first_choice


async def test_a_new_first_choice_copies_the_prefix_from_the_previous_one():
    """The engine with the prefix leaves; the next one need not compute it again."""
    harness = PlacerHarness()
    first_choice, second = rendezvous_order("p1", ENGINES)[:2]
    result = await harness.placer.place(harness.context("p1"))
    assert result.ok.endpoint == first_choice
    assert result.ok.fetch_from == second.address


async def test_a_prefix_is_not_copied_from_an_engine_of_another_version():
    """What two versions write does not fit together, and engines don't check it."""
    harness = PlacerHarness()
    holder = rendezvous_order("p1", ENGINES)[1]
    newer = [replace(each, version="v2") for each in ENGINES if each is not holder]
    entries = [EndpointEntry(each.id, Revision(0, 2), each) for each in newer]
    harness.view.merge(entries)
    harness.placer.set_locator(FakeDirectory([name_hash(holder.id)]))
    loads = {name_hash(holder.id): EndpointLoad(5, 0.45)}
    harness.placer.load.update_source("r2", loads)
    result = await harness.placer.place(harness.context("p1"))
    assert result.ok.endpoint in newer
    assert result.ok.fetch_from != holder.address


async def test_a_request_is_refused_when_all_engines_have_a_prefill_backlog():
    """Other routers have sent every engine more prompts than it can process in time.

    If the request were admitted, all callers would get their first token late. Refused
    at once, it can be retried.
    """
    harness = PlacerHarness()
    for engine in ENGINES:
        harness.report_load(engine.id, 0.0)
    harness.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.6) for e in ENGINES}
    )
    refused = await place(harness, harness.context())
    assert refused.kind is FaultKind.OVER_CAPACITY
    assert 0 < refused.retry_after < 2


async def test_a_short_prompt_avoids_a_full_engine():
    harness = PlacerHarness()
    first_choice = rendezvous_order("chat", ENGINES)[0].id
    harness.report_load(first_choice, 0.05, in_flight=47)
    context = harness.context(
        "chat", prefix_tokens=350, suffix_tokens=1_100, size=1_500
    )
    assert await place(harness, context) != first_choice


async def test_an_organisation_over_its_share_is_refused_first():
    """One organisation floods the fleet; the others must still be served."""
    harness = PlacerHarness()
    harness.placer.shares.update_source(
        "r2",
        {
            name_hash("flood"): TokenUsage(900_000, 500_000),
            name_hash("cellar"): TokenUsage(300_000, 100_000),
        },
    )
    harness.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.2) for e in ENGINES}
    )
    flood = await place(harness, harness.context(organisation="flood"))
    assert flood.kind is FaultKind.OVER_SHARE
    assert isinstance(await place(harness, harness.context(organisation="cellar")), str)


async def test_capacity_beyond_the_guaranteed_rate_is_shared_too():
    """Engines exceed the guaranteed rate, and two organisations are over their share.

    The excess went to the organisation with the most requests: it got 2.1 million
    tokens, and another one that requested more than that was refused and got 0.7
    million.
    """
    harness = PlacerHarness()
    harness.placer.shares.set_guaranteed_rate(100_000)
    usage = {
        "flood": TokenUsage(3_000_000, 1_200_000),
        "other": TokenUsage(1_500_000, 400_000),
        "cellar": TokenUsage(300_000, 300_000),
    }
    harness.placer.shares.update_source(
        "r2", {name_hash(engine_id): each for engine_id, each in usage.items()}
    )
    harness.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.07) for e in ENGINES}
    )
    flood = await place(harness, harness.context(organisation="flood"))
    assert not isinstance(flood, str)
    assert flood.kind is FaultKind.OVER_SHARE
    assert isinstance(await place(harness, harness.context(organisation="other")), str)


def report_usage(harness: PlacerHarness, usage: dict[str, TokenUsage]) -> None:
    harness.placer.shares.update_source(
        "r2", {name_hash(name): each for name, each in usage.items()}
    )


async def test_an_organisation_far_below_its_share_finds_room_beside_full_ones():
    """With one limit for all inside their share, the largest ones fill the queues."""
    harness = PlacerHarness()
    peers = {f"peer{n}": TokenUsage(9_000_000, 1_300_000) for n in range(10)}
    small = {"small": TokenUsage(1_500_000, 200_000)}
    report_usage(harness, peers | small)
    harness.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.2) for e in ENGINES}
    )
    peer = await place(harness, harness.context(organisation="peer1"))
    assert not isinstance(peer, str)
    assert peer.kind is FaultKind.OVER_CAPACITY
    assert isinstance(await place(harness, harness.context(organisation="small")), str)


async def test_organisations_wait_as_usual_while_none_is_far_below_its_share():
    """A shorter limit would cost them responses, and nobody would get the room."""
    harness = PlacerHarness()
    peers = {f"peer{n}": TokenUsage(9_000_000, 1_300_000) for n in range(10)}
    served = {"small": TokenUsage(210_000, 200_000)}
    report_usage(harness, peers | served)
    harness.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.2) for e in ENGINES}
    )
    assert isinstance(await place(harness, harness.context(organisation="peer1")), str)


async def test_of_two_organisations_over_their_share_the_one_with_less_finds_room():
    """Engines went to the one with more attempts, which had 2.5 times its share."""
    harness = PlacerHarness()
    usage = {
        "flood": TokenUsage(9_000_000, 3_600_000),
        "other": TokenUsage(9_000_000, 2_500_000),
        "cellar": TokenUsage(9_000_000, 600_000),
    }
    report_usage(harness, usage)
    harness.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.07) for e in ENGINES}
    )
    flood = await place(harness, harness.context(organisation="flood"))
    assert not isinstance(flood, str)
    assert flood.kind is FaultKind.OVER_SHARE
    assert isinstance(await place(harness, harness.context(organisation="other")), str)


async def test_fields_of_a_refusal_replace_none_of_its_log_line():
    """The line of a request that is not placed lost its level to a share."""
    harness = PlacerHarness()
    fields = harness.placer._share_fields("cellar")
    assert not fields.keys() & {"at", "level", "part", "event", "id", "fault"}


async def test_over_share_is_not_refused_while_engines_have_room():
    harness = PlacerHarness()
    harness.placer.shares.update_source(
        "r2", {name_hash("flood"): TokenUsage(900_000, 500_000)}
    )
    assert isinstance(await place(harness, harness.context(organisation="flood")), str)


async def test_a_withdrawn_request_does_not_eject_its_endpoint():
    """The endpoint was not tried: only its grant expired, or its zone was drained."""
    harness = PlacerHarness()
    context = harness.context()
    engine = (await harness.placer.place(context)).ok.endpoint
    harness.placer.on_attempt_ended(context, engine, Outcome.WITHDRAWN)
    assert await place(harness, harness.context()) == engine.id


async def test_load_of_a_silent_router_expires():
    """A router is cut off; its last report must not block engines for ever."""
    harness = PlacerHarness()
    harness.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(48, 5.0) for e in ENGINES}
    )
    assert not isinstance(await place(harness, harness.context()), str)
    await asyncio.sleep(2.5)
    assert isinstance(await place(harness, harness.context()), str)


async def test_ended_requests_leave_no_load():
    harness = PlacerHarness()
    for outcome in Outcome:
        context = harness.context()
        engine_id = await place(harness, context)
        harness.placer.on_attempt_ended(context, harness.view.get(engine_id), outcome)
        await asyncio.sleep(60)
    for engine in ENGINES:
        total = harness.placer.load.total(engine.id)
        assert (total.in_flight, round(total.prefill_seconds, 9)) == (0, 0)


async def test_an_unreachable_engine_is_avoided_temporarily():
    harness = PlacerHarness()
    context = harness.context("p1")
    first_choice = await place(harness, context)
    harness.placer.on_attempt_ended(
        context, harness.view.get(first_choice), Outcome.UNSENT
    )
    assert await place(harness, harness.context("p1")) != first_choice
    await asyncio.sleep(5)
    assert await place(harness, harness.context("p1")) == first_choice


def announce(harness: PlacerHarness, endpoint: Endpoint, revision: int) -> None:
    harness.view.merge([EndpointEntry(endpoint.id, Revision(0, revision), endpoint)])


async def test_a_waiting_request_is_not_sent_to_an_engine_whose_row_says_it_leaves():
    """The request was placed before, and waited for a connection or its turn."""
    harness = PlacerHarness()
    context = harness.context()
    endpoint = harness.view.get(await place(harness, context))
    assert harness.placer.may_send(context, endpoint)
    announce(harness, replace(endpoint, leaving=True), 2)
    assert not harness.placer.may_send(context, endpoint)


async def test_a_waiting_request_is_not_sent_to_an_engine_that_responds_it_leaves():
    harness = PlacerHarness()
    context = harness.context()
    endpoint = harness.view.get(await place(harness, context))
    harness.placer.on_signal(endpoint, EndpointSignal(leaving=True))
    assert not harness.placer.may_send(context, endpoint)


async def test_no_attempt_goes_to_engines_that_respond_they_leave():
    """Neither a first attempt nor a retry, with a prompt or without."""
    harness = PlacerHarness()
    for engine in ENGINES[:-1]:
        harness.placer.on_signal(engine, EndpointSignal(leaving=True))
    for prompt, send_count in ((True, 0), (True, 1), (False, 0), (False, 1)):
        context = harness.context()
        context.send_count = send_count
        if not prompt:
            context.request = replace(context.request, prompt=None)
        assert await place(harness, context) == ENGINES[-1].id


async def test_a_waiting_request_is_not_sent_to_an_engine_that_asked_for_a_pause():
    harness = PlacerHarness()
    context = harness.context()
    endpoint = harness.view.get(await place(harness, context))
    harness.placer.on_signal(endpoint, EndpointSignal(pause_seconds=3.0))
    assert not harness.placer.may_send(context, endpoint)
    await asyncio.sleep(3.1)
    assert harness.placer.may_send(context, endpoint)


async def test_callers_are_refused_at_once_while_all_engines_pause():
    """They are told when the first pause ends, and are served from then on."""
    harness = PlacerHarness()
    for number, engine in enumerate(ENGINES):
        signal = EndpointSignal(pause_seconds=3.0 + number)
        harness.placer.on_signal(engine, signal)
    await asyncio.sleep(1.0)
    refused = await place(harness, harness.context())
    assert refused.kind is FaultKind.NO_ENDPOINT
    assert 2.0 <= refused.retry_after <= 2.5
    await asyncio.sleep(refused.retry_after)
    assert await place(harness, harness.context()) == ENGINES[0].id


async def test_a_shorter_pause_does_not_end_a_longer_one():
    """Responses to requests that were sent before a pause may arrive during it."""
    harness = PlacerHarness()
    for seconds in (3.0, 0.5):
        for engine in ENGINES:
            harness.placer.on_signal(engine, EndpointSignal(pause_seconds=seconds))
    await asyncio.sleep(1.0)
    refused = await place(harness, harness.context())
    assert refused.kind is FaultKind.NO_ENDPOINT


async def test_an_engine_that_paused_gets_requests_once_it_has_started_again():
    harness = PlacerHarness()
    for engine in ENGINES:
        harness.placer.on_signal(engine, EndpointSignal(pause_seconds=60.0))
    announce(harness, replace(ENGINES[0], started_ms=5), 2)
    assert await place(harness, harness.context()) == ENGINES[0].id


async def test_signals_outlast_the_row_of_an_endpoint():
    """It expires while the store is away, and returns as that of a ready one."""
    signals = EndpointSignals()
    leaving, pausing = ENGINES[:2]
    signals.record(leaving, EndpointSignal(leaving=True))
    signals.record(pausing, EndpointSignal(pause_seconds=9.0))
    await asyncio.sleep(4)
    signals.retain_endpoints([])
    await asyncio.sleep(4)
    signals.retain_endpoints(ENGINES)
    assert not signals.accepts_requests(leaving)
    assert not signals.accepts_requests(pausing)


async def test_signals_of_endpoints_that_are_gone_for_long_are_dropped():
    """Otherwise the memory of a router would grow with each replaced endpoint."""
    signals = EndpointSignals()
    staying, gone = ENGINES[:2]
    for endpoint in (staying, gone):
        signals.record(endpoint, EndpointSignal(leaving=True))
    for _ in range(3):
        await asyncio.sleep(0.5 * LEAVING_RETENTION_SECONDS)
        signals.retain_endpoints([staying])
    signals.retain_endpoints([])
    assert not signals.accepts_requests(staying)
    assert signals.accepts_requests(gone)


async def test_an_engine_that_left_gets_requests_once_it_has_started_again():
    harness = PlacerHarness()
    for engine in ENGINES[1:]:
        harness.placer.on_signal(engine, EndpointSignal(leaving=True))
    first = ENGINES[0]
    harness.placer.on_signal(first, EndpointSignal(leaving=True))
    announce(harness, replace(first, sequence=9), 2)
    refused = await place(harness, harness.context())
    assert refused.kind is FaultKind.NO_ENDPOINT
    announce(harness, replace(first, started_ms=5), 3)
    assert await place(harness, harness.context()) == first.id


@dataclass
class FakeDirectory:
    """A prefix directory with given holders; None stands for no reply."""

    holders: list[int] | None
    reported: list[str] = field(default_factory=list)

    async def locate(self, prefix: str, first_choice: Endpoint) -> list[int] | None:
        """Return the given holders."""
        return self.holders

    def report_use(
        self, prefix: str, first_choice: Endpoint, endpoint: Endpoint
    ) -> None:
        """Record the endpoint."""
        self.reported.append(endpoint.id)


async def test_a_prefix_is_copied_from_the_engine_another_router_used():
    """A prompt was sent to another engine than its first choice, which was busy.

    Routers that had not sent it themselves requested the copy from the wrong engine,
    and the prefix was computed again: the longest prompts were late.
    """
    harness = PlacerHarness()
    third = rendezvous_order("p1", ENGINES)[2]
    directory = FakeDirectory([name_hash(third.id)])
    harness.placer.set_locator(directory)
    harness.placer.load.update_source(
        "r2", {name_hash(third.id): EndpointLoad(5, 0.45)}
    )
    result = await harness.placer.place(harness.context("p1"))
    assert result.ok.endpoint != third
    assert result.ok.fetch_from == third.address
    assert directory.reported == [result.ok.endpoint.id]


async def test_an_engine_with_the_prefix_cached_is_preferred_to_the_first_choice():
    harness = PlacerHarness()
    third = rendezvous_order("p1", ENGINES)[2]
    harness.placer.set_locator(FakeDirectory([name_hash(third.id)]))
    assert await place(harness, harness.context("p1")) == third.id


async def test_an_uncached_prefix_is_computed_by_its_first_choice():
    """The prefix was evicted everywhere; the prefill covers its whole length."""
    harness = PlacerHarness()
    harness.placer.set_locator(FakeDirectory([]))
    context = harness.context("p1", prefix_tokens=13_000, suffix_tokens=3_700)
    assert await place(harness, context) == rendezvous_order("p1", ENGINES)[0].id
    cached = harness.context("p1", prefix_tokens=13_000, suffix_tokens=3_700)
    harness.placer.set_locator(
        FakeDirectory([name_hash(rendezvous_order("p1", ENGINES)[0].id)])
    )
    await place(harness, cached)
    assert context.prefill_seconds > 2 * cached.prefill_seconds


async def test_without_a_directory_the_first_choice_is_assumed_to_hold_the_prefix():
    """The router with the directory is cut off; requests are placed as before."""
    harness = PlacerHarness()
    harness.placer.set_locator(FakeDirectory(None))
    assert (
        await place(harness, harness.context("p1"))
        == rendezvous_order("p1", ENGINES)[0].id
    )


async def test_short_prefixes_are_not_looked_up():
    """A lookup for each short prompt would cost more than it saves engines."""
    harness = PlacerHarness()
    directory = FakeDirectory([name_hash(rendezvous_order("p1", ENGINES)[2].id)])
    harness.placer.set_locator(directory)
    context = harness.context("p1", prefix_tokens=300, suffix_tokens=600, size=900)
    assert await place(harness, context) == rendezvous_order("p1", ENGINES)[0].id
    assert directory.reported == []


async def test_shared_prefixes_count_as_usage():
    """Two organisations ask for prompts of the same length; one shares less of them."""
    harness = PlacerHarness()
    prompts = {"cellar": (13_000, 3_700), "flood": (1_000, 15_700)}
    for organisation, (prefix_tokens, suffix_tokens) in prompts.items():
        await place(
            harness,
            harness.context(
                "p1",
                prefix_tokens=prefix_tokens,
                suffix_tokens=suffix_tokens,
                organisation=organisation,
            ),
        )
    usage = harness.placer.shares.local()
    assert usage[name_hash("cellar")] == usage[name_hash("flood")]
    assert usage[name_hash("cellar")].allocated >= 16_700


async def test_only_requests_that_engines_begin_count_as_allocated():
    """While engines crash, organisations seemed to get up to twice what they got."""
    harness = PlacerHarness()
    shares = harness.placer.shares
    context = harness.context()
    for outcome in NOT_BEGUN:
        placed = await harness.placer.place(context)
        harness.placer.on_attempt_ended(context, placed.ok.endpoint, outcome)
        assert shares.local() == {}
    # sent before, resumed after the first event: once in all
    context.send_count = 1
    for first_event_at in (None, 1.0):
        context.first_event_at = first_event_at
        placed = await harness.placer.place(context)
        harness.placer.on_response_started(context, placed.ok.endpoint)
        harness.placer.on_attempt_ended(context, placed.ok.endpoint, Outcome.LOST)
        (usage,) = shares.local().values()
        assert 16_700 <= usage.allocated < 2 * 16_700


async def test_cached_prefixes_do_not_use_up_the_guaranteed_rate():
    """Callers were refused over their share of a rate that engines had not reached."""
    harness = PlacerHarness()
    shares = harness.placer.shares
    shares.set_guaranteed_rate(100_000)
    for _ in range(20):
        for organisation in ("cellar", "cellar", "cellar", "other"):
            context = harness.context(organisation=organisation)
            harness.placer.record_demand(context.request, context.organisation)
            placed = await harness.placer.place(context)
            harness.placer.on_attempt_ended(context, placed.ok.endpoint, Outcome.WHOLE)
        await asyncio.sleep(0.2)
    assert not shares.is_over_share("cellar", 1.0)


async def test_a_request_is_not_refused_while_another_engine_is_idle():
    """The engine with a very long prefix has a backlog; the others are idle.

    The copy of the prefix was estimated to cost more than the queueing time, so the
    same engine always ranked first, and callers were refused on a quiet day.
    """
    harness = PlacerHarness()
    first_choice = rendezvous_order("p1", ENGINES)[0].id
    harness.placer.set_locator(FakeDirectory([name_hash(first_choice)]))
    harness.report_load(first_choice, 0.45, in_flight=3)
    placed_at = await place(harness, harness.context("p1", prefix_tokens=30_000))
    assert isinstance(placed_at, str)
    assert placed_at != first_choice


async def test_a_prompt_waits_where_its_prefix_is_cached_rather_than_be_copied():
    """A copy evicts other prefixes, which are then computed or copied again."""
    harness = PlacerHarness()
    first_choice = rendezvous_order("p1", ENGINES)[0].id
    harness.placer.set_locator(FakeDirectory([name_hash(first_choice)]))
    harness.report_load(first_choice, 0.36, in_flight=3)
    assert await place(harness, harness.context("p1")) == first_choice


async def test_coordinators_of_full_engines_are_not_queried():
    """Each query costs two routers a fraction of a millisecond."""
    harness = PlacerHarness()
    queried = []

    async def refuse_admission(endpoint, prefill_seconds, max_wait, warmup_rate):
        queried.append(endpoint.id)
        return AdmissionDecision(False, EndpointLoad(5, 0.6))

    harness.placer.set_admission_check(refuse_admission)
    harness.placer.load.update_source(
        "r2", {name_hash(e.id): EndpointLoad(5, 0.6) for e in ENGINES}
    )
    refused = await place(harness, harness.context())
    assert refused.kind is FaultKind.OVER_CAPACITY
    assert len(queried) == 1


async def slowdown_after_late_responses(harness: PlacerHarness, times: int) -> float:
    """Let responses begin late; return the estimated slowdown of the engines."""
    for _ in range(times):
        context = harness.context(suffix_tokens=12_000)
        engine = harness.view.get(await place(harness, context))
        await asyncio.sleep(3.0)
        harness.placer.on_response_started(context, engine)
        harness.placer.on_attempt_ended(context, engine, Outcome.WHOLE)
    return harness.placer._chooser.prefill.slowdown("books")


async def test_delay_of_the_router_is_not_attributed_to_engines():
    """An overloaded router reads all responses late.

    It estimated engines as six times slower than they are, and refused requests as over
    their share while engines were idle.
    """
    harness = PlacerHarness()
    harness.placer.set_sample_filter(lambda at: False)
    assert await slowdown_after_late_responses(harness, 100) == 1.0
    harness.placer.set_sample_filter(lambda at: True)
    assert await slowdown_after_late_responses(harness, 20) > 1.0


async def no_reply(endpoint, prefill_seconds, max_wait, warmup_rate):
    return None


async def test_no_prompt_waits_on_a_full_link_beyond_its_objective():
    """The engines beyond the link look idle, and their responses take a second more."""
    harness, round_trips = PlacerHarness(), RoundTrips()
    harness.placer.set_admission_check(no_reply, round_trips)
    harness.placer.load.update_source(
        "r2",
        {name_hash(e.id): EndpointLoad(5, 0.6) for e in ENGINES if e.zone != "far"},
    )
    assert await place(harness, harness.context()) == "e4"
    round_trips.record_loss("east")
    refused = await place(harness, harness.context())
    assert refused.kind is FaultKind.OVER_CAPACITY


async def test_prompts_stay_in_their_region_while_the_link_is_congested():
    """A prefix cached beyond the link would keep the link full."""
    harness, round_trips = PlacerHarness(), RoundTrips()
    harness.placer.set_admission_check(no_reply, round_trips)
    harness.placer.set_locator(FakeDirectory([name_hash("e4")]))
    assert await place(harness, harness.context(prefix_tokens=3_000)) == "e4"
    for _ in range(10):
        round_trips.observe("east", 0.36)
    assert await place(harness, harness.context(prefix_tokens=3_000)) != "e4"


async def test_delay_of_a_full_link_is_not_attributed_to_engines():
    """Requests would be refused for which engines of the own region have room."""
    for engine in ENGINES:
        harness, round_trips = PlacerHarness(), RoundTrips()
        harness.placer.set_admission_check(no_reply, round_trips)
        harness.view.merge(
            EndpointEntry(other.id, Revision(0, 2), None)
            for other in ENGINES
            if other is not engine
        )
        context = harness.context(suffix_tokens=12_000)
        assert await place(harness, context) == engine.id
        await asyncio.sleep(3.0)
        round_trips.record_loss("east")
        harness.placer.on_response_started(context, engine)
        slowdown = harness.placer.prefill.slowdown("books")
        assert (slowdown == 1.0) == (engine.zone == "far")


async def test_responses_are_compared_with_what_was_predicted_for_them():
    """The estimate of slower engines grew while responses were on their way.

    Compared with the new one, each response would count as so many times slower again.
    """
    harness = PlacerHarness()
    prefill = harness.placer.prefill
    sent = []
    for number in range(4):
        context = harness.context(f"p{number}", suffix_tokens=12_000)
        sent.append((context, harness.view.get(await place(harness, context))))
    learnt = {name_hash("books"): SlowdownSamples.from_mean(1000.0, 1.0)}
    prefill.update_source("r2", learnt)
    await asyncio.sleep(0.5)
    grown = prefill.slowdown("books")
    for context, engine in sent:
        predicted = context.prefill_seconds / PREFILL_TIME_FRACTION
        await asyncio.sleep(max(0.0, grown * predicted - 0.5))
        harness.placer.on_response_started(context, engine)
    samples = prefill.local()[name_hash("books")]
    assert samples.mean_log < 1.5


async def test_the_queue_before_a_request_is_not_attributed_to_its_prefill():
    """A prompt that waited behind others would make its engine look slow."""
    harness = PlacerHarness()
    context = harness.context(suffix_tokens=12_000)
    first_choice = rendezvous_order("p1", ENGINES)[0]
    harness.report_load(first_choice.id, 0.2)
    assert await place(harness, context) == first_choice.id
    queued = 0.2 / PREFILL_TIME_FRACTION
    await asyncio.sleep(queued + context.prefill_seconds / PREFILL_TIME_FRACTION)
    harness.placer.on_response_started(context, first_choice)
    samples = harness.placer.prefill.local()[name_hash("books")]
    assert abs(samples.mean_log) < 0.1
