"""Tests of the limit of requests to endpoints that are warming up."""

import asyncio
import random

from teaselledge_fleet.process.admission import AdmissionController, AdmissionQuery
from teaselledge_fleet.process.drains import ZoneDrain
from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry
from teaselledge_fleet.process.placing import FleetPlacer
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.storecache import StoreCache
from teaselledge_fleet.process.warmup import (
    GRANT_SECONDS,
    GRANT_WINDOW_SECONDS,
    MAX_LOGGED_GRANTS,
    TAKEN_BACK_SECONDS,
    WarmupGrants,
    WarmupTracker,
)
from teaselledge_fleet.process.work import EndpointLoad, name_hash
from teaselledge_fleet.request.call import CallerRequest, Prompt, PromptSegment
from teaselledge_fleet.request.context import Outcome, RequestContext
from teaselledge_fleet.version.routes import (
    RetryPolicy,
    RoutingConfiguration,
    ServiceConfiguration,
)
from teaselledge_standins.routes import make_route
from teaselledge_standins.spreadfleet import running_gossip_fleet
from teaselledge_standins.statestore import decode_empty_routing, make_store
from tornado.httputil import HTTPHeaders

VIRTUAL_CLOCK = True
RATE_FACTOR, RATE_EXTRA, REQUESTS_PER_SECOND, WARMUP_SECONDS = 1.5, 5.0, 9.1, 3.0
MAX_REQUESTS_PER_SECOND = 18
"""Requests a second that an endpoint may get: 9.1 x 1.5 + 5, rounded down."""

HISTORIES = 1000
ROUTING = RoutingConfiguration(
    1,
    (),
    {
        "books": ServiceConfiguration(
            "books", "/", 100, WARMUP_SECONDS, REQUESTS_PER_SECOND
        ),
        "notes": ServiceConfiguration("notes", "/", 100),
    },
    (),
)


def endpoint(
    name: str = "e1", warmup: float = 0.0, service: str = "books", zone: str = "z0"
) -> Endpoint:
    return Endpoint(name, service, f"{name}:1", zone, 48, warmup_seconds=warmup)


def make_tracker() -> WarmupTracker:
    tracker = WarmupTracker(RATE_FACTOR, RATE_EXTRA)
    tracker.apply_routing(ROUTING)
    return tracker


def most_in_a_second(moments: list[float]) -> int:
    """Return the most moments in any second."""
    ordered, first, most = sorted(moments), 0, 0
    for last, moment in enumerate(ordered):
        while ordered[first] <= moment - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def make_query(sequence: int, rate: int | None) -> AdmissionQuery:
    hashed = name_hash("e1")
    return AdmissionQuery(
        1, sequence, hashed, 1000, EndpointLoad(), 0.0, 100.0, warmup_rate=rate
    )


def make_context(number: int, with_prompt: bool = True) -> RequestContext:
    segments = (PromptSegment(f"p{number}", 300), PromptSegment(f"own{number}", 300))
    prompt = Prompt(600, 20, segments) if with_prompt else None
    call = CallerRequest(
        f"q{number}", "POST", "/r/1", "h", HTTPHeaders(), prompt=prompt
    )
    route = make_route(RetryPolicy.NEVER, carries_prompt=with_prompt)
    now = asyncio.get_running_loop().time()
    return RequestContext(call, b"", route, "books", None, now, now + 8.0)


async def test_without_the_settings_there_is_no_limit():
    tracker = WarmupTracker()
    tracker.apply_routing(ROUTING)
    tracker.record_announcement(endpoint(warmup=3.0))
    tracker.suspect(endpoint())
    assert tracker.rate(endpoint()) is None


async def test_an_announced_warm_up_limits_until_it_ends():
    tracker = make_tracker()
    tracker.record_announcement(endpoint(warmup=2.0))
    assert tracker.rate(endpoint()) == MAX_REQUESTS_PER_SECOND // 2
    await asyncio.sleep(2.0)
    assert tracker.rate(endpoint()) is None


async def test_a_service_without_warm_up_is_not_limited():
    tracker = make_tracker()
    notes = endpoint(service="notes", warmup=2.0)
    tracker.record_announcement(notes)
    tracker.suspect(notes)
    assert tracker.rate(notes) is None


async def test_an_endpoint_that_failed_counts_as_restarting():
    """It returns under its old id before its next announcement is read."""
    tracker = make_tracker()
    tracker.suspect(endpoint())
    await asyncio.sleep(WARMUP_SECONDS - 0.1)
    assert tracker.rate(endpoint()) is not None
    await asyncio.sleep(0.2)
    assert tracker.rate(endpoint()) is None


async def test_endpoints_of_a_zone_that_was_taken_back_count_as_warming_up():
    """They were restarted while their zone was drained, and announce it late."""
    cache = StoreCache("r1", decode_empty_routing, make_tracker())
    cache.merge_entries([EndpointEntry("e1", Revision(0, 1), endpoint())], "r2")
    cache.merge_drains([ZoneDrain("z0", Revision(0, 2), True)], "store")
    cache.merge_drains([ZoneDrain("z0", Revision(0, 3), False)], "store")
    assert cache.warmup.rate(endpoint()) is not None
    await asyncio.sleep(TAKEN_BACK_SECONDS)
    assert cache.warmup.rate(endpoint()) is None


async def test_two_coordinators_stay_below_the_limit_in_any_second():
    """Routers that disagree on the coordinator, or send what was granted late.

    Coordinators learn of the warm-up at any moment, by themselves or from a query.
    """
    for seed in range(HISTORIES):
        rng = random.Random(seed)
        sent: list[float] = []
        views = []
        for _ in range(2):
            controller = AdmissionController()
            tracker = make_tracker()
            controller.warmup_rate = tracker.rate_by_hash
            views.append((controller, tracker))
        await asyncio.sleep(GRANT_WINDOW_SECONDS)
        if rng.random() < 0.7:
            for _, tracker in views:
                tracker.record_announcement(endpoint(warmup=4.0))
        started = asyncio.get_running_loop().time()
        rate = MAX_REQUESTS_PER_SECOND // 2
        for sequence in range(rng.choice((40, 120))):
            await asyncio.sleep(rng.expovariate(rng.choice((10.0, 60.0))))
            now = asyncio.get_running_loop().time()
            if now - started > 4.0:
                break
            controller, _ = rng.choice(views)
            if controller.decide(make_query(sequence, rate)).admitted:
                sent.append(now + rng.uniform(0.0, GRANT_SECONDS))
        assert most_in_a_second(sent) <= MAX_REQUESTS_PER_SECOND, seed


async def test_a_new_coordinator_grants_nothing_at_first():
    """Its two predecessors may have granted as much as is allowed in this second."""
    grants = WarmupGrants()
    assert not grants.has_room(1, 9)
    assert grants.has_room(1, None)
    await asyncio.sleep(GRANT_WINDOW_SECONDS)
    assert grants.has_room(1, 9)


async def test_a_limit_beyond_what_is_remembered_still_limits():
    """Otherwise a service with a high limit would have none."""
    grants = WarmupGrants()
    await asyncio.sleep(GRANT_WINDOW_SECONDS)
    granted = 0
    while grants.has_room(1, 10_000) and granted < 1_000:
        grants.record_grant(1)
        granted += 1
    assert granted == MAX_LOGGED_GRANTS


async def test_requests_sent_before_the_warm_up_was_known_count():
    controller = AdmissionController()
    await asyncio.sleep(GRANT_WINDOW_SECONDS)
    for sequence in range(20):
        assert controller.decide(make_query(sequence, None)).admitted
    assert not controller.decide(make_query(20, 9)).admitted


async def test_a_coordinator_limits_after_one_router_noticed_the_restart():
    controller = AdmissionController()
    await asyncio.sleep(GRANT_WINDOW_SECONDS)
    admitted = [
        controller.decide(make_query(n, 9 if n == 0 else None)) for n in range(20)
    ]
    assert sum(decision.admitted for decision in admitted) == 9


async def test_warm_endpoints_are_preferred():
    tracker = make_tracker()
    cache = StoreCache("r1", decode_empty_routing, tracker)
    entries = [endpoint("e1", warmup=3.0), endpoint("e2")]
    cache.merge_entries([EndpointEntry(e.id, Revision(0, 1), e) for e in entries], "r2")
    placer = FleetPlacer(cache.view, "z0", {}, cache.drained_zones, tracker)
    for number in range(40):
        context = make_context(number, with_prompt=number % 2 == 0)
        assert (await placer.place(context)).ok.endpoint.id == "e2"


async def test_without_its_coordinator_an_endpoint_that_warms_up_gets_nothing():
    tracker = make_tracker()
    cache = StoreCache("r1", decode_empty_routing, tracker)
    cold = endpoint(warmup=3.0)
    cache.merge_entries([EndpointEntry("e1", Revision(0, 1), cold)], "r2")
    placer = FleetPlacer(cache.view, "z0", {}, cache.drained_zones, tracker)
    for with_prompt in (True, False):
        placed = await placer.place(make_context(1, with_prompt))
        assert placed.is_error()
        assert placed.error.retry_after > 0


async def test_a_request_placed_before_the_restart_needs_a_grant():
    """A router was blocked between placing a request and sending it."""
    tracker = make_tracker()
    cache = StoreCache("r1", decode_empty_routing, tracker)
    cache.merge_entries([EndpointEntry("e1", Revision(0, 1), endpoint())], "r2")
    placer = FleetPlacer(cache.view, "z0", {}, cache.drained_zones, tracker)
    context = make_context(1)
    placed = (await placer.place(context)).ok
    placer.on_attempt_ended(make_context(2), placed.endpoint, Outcome.UNSENT)
    assert not placer.may_send(context, placed.endpoint)


async def test_a_lost_response_is_no_sign_of_a_restart():
    """Endpoints that lose responses would get far fewer requests than they can run."""
    tracker = make_tracker()
    cache = StoreCache("r1", decode_empty_routing, tracker)
    cache.merge_entries([EndpointEntry("e1", Revision(0, 1), endpoint())], "r2")
    placer = FleetPlacer(cache.view, "z0", {}, cache.drained_zones, tracker)
    for outcome in (Outcome.LOST, Outcome.BROKEN, Outcome.FAILED):
        placer.on_attempt_ended(make_context(1), endpoint(), outcome)
    assert tracker.rate(endpoint()) is None


async def test_one_failed_connect_limits_what_the_whole_fleet_sends():
    """An endpoint returns at once; one router noticed that it was away."""
    store = make_store([endpoint("e1", zone="z0")])
    async with running_gossip_fleet(store, 20, decode_empty_routing) as fleet:
        for router in fleet.routers:
            tracker = router.store_cache.warmup
            tracker._rate_factor, tracker._rate_extra = RATE_FACTOR, RATE_EXTRA
        await asyncio.sleep(4)
        for router in fleet.routers:
            router.store_cache.warmup.apply_routing(ROUTING)
        noticed = fleet.routers[7].placer
        noticed.on_attempt_ended(make_context(0), endpoint(), Outcome.UNSENT)
        await asyncio.sleep(0.1)
        placed = []
        for number in range(60):
            router = fleet.routers[number % 20]
            if (await router.placer.place(make_context(number))).is_ok():
                placed.append(asyncio.get_running_loop().time())
        assert 0 < most_in_a_second(placed) <= MAX_REQUESTS_PER_SECOND


async def test_a_fleet_stays_below_the_limit_while_all_endpoints_warm_up():
    """A zone returns with all endpoints warming up, and nothing else is left."""
    store = make_store([endpoint("e1", warmup=3.0, zone="z0")])
    async with running_gossip_fleet(store, 20, decode_empty_routing) as fleet:
        for router in fleet.routers:
            tracker = router.store_cache.warmup
            tracker._rate_factor, tracker._rate_extra = RATE_FACTOR, RATE_EXTRA
        await asyncio.sleep(4)
        for router in fleet.routers:
            router.store_cache.warmup.apply_routing(ROUTING)
        store.put(endpoint("e1", warmup=3.5, zone="z0"))
        await asyncio.sleep(1.5)
        sent: list[float] = []

        async def send(number: int) -> None:
            router = random.choice(fleet.routers)
            context = make_context(number)
            if (await router.placer.place(context)).is_ok():
                sent.append(asyncio.get_running_loop().time())

        async with asyncio.TaskGroup() as tasks:
            for number in range(300):
                tasks.create_task(send(number))
                await asyncio.sleep(0.005)
        assert 0 < most_in_a_second(sent) <= MAX_REQUESTS_PER_SECOND
