"""Tests of data residency: requests stay in their allowed regions."""

import asyncio
import time

from teaselledge_fleet.faults import FaultKind
from teaselledge_fleet.process.addresses import (
    COVERAGE_SECONDS,
    RegionCoverage,
    addresses_for,
)
from teaselledge_fleet.process.drains import DrainedZones, ZoneDrain
from teaselledge_fleet.process.eligibility import EligibleEndpoints
from teaselledge_fleet.process.endpoints import Endpoint, EndpointEntry, EndpointView
from teaselledge_fleet.process.members import Member, MemberState
from teaselledge_fleet.process.placing import FleetPlacer
from teaselledge_fleet.process.revision import Revision
from teaselledge_fleet.process.signals import EndpointSignals
from teaselledge_fleet.request.call import (
    CallerRequest,
    EndpointSignal,
    Prompt,
    PromptSegment,
)
from teaselledge_fleet.request.context import Outcome, RequestContext
from teaselledge_fleet.version.residency import ANYWHERE, Residency
from teaselledge_fleet.version.routes import (
    Organisation,
    RetryPolicy,
    RoutingConfiguration,
    request_residency,
)
from teaselledge_standins.routes import make_route
from tornado.httputil import HTTPHeaders

VIRTUAL_CLOCK = True
ZONES = {"north": "west", "south": "west", "far": "east", "farther": "east"}
WEST, EAST = Residency(frozenset({"west"})), Residency(frozenset({"east"}))
MAX_CHECK_SECONDS = 5e-6


def make_view(*zones: str) -> EndpointView:
    view = EndpointView()
    view.merge(
        EndpointEntry(
            f"e{number}",
            Revision(0, 1),
            Endpoint(f"e{number}", "books", f"127.0.0.1:{number}", zone, 48),
        )
        for number, zone in enumerate(zones)
    )
    return view


def make_context(residency: Residency, with_prompt: bool = True) -> RequestContext:
    prompt = None
    if with_prompt:
        segments = (PromptSegment("p1", 13_000), PromptSegment("own", 3_700))
        prompt = Prompt(16_700, 120, segments)
    call = CallerRequest("q1", "POST", "/r/1", "h", HTTPHeaders(), prompt=prompt)
    route = make_route(
        RetryPolicy.RESUME, stream=with_prompt, carries_prompt=with_prompt
    )
    now = asyncio.get_running_loop().time()
    return RequestContext(
        call, b"", route, "books", None, now, now + 8.0, residency=residency
    )


def router(name: str, zone: str, utilisation: float = 0.0) -> Member:
    address = f"{name}:80"
    return Member(
        name, 1, zone, ZONES[zone], address, "", MemberState.READY, 1.0, utilisation
    )


def test_route_and_organisation_both_bind():
    route = make_route(RetryPolicy.ANY, residency=Residency.from_regions(["a", "b"]))
    organisation = Organisation("o", (), None, Residency.from_regions(["b", "c"]))
    residency = request_residency(route, organisation)
    assert [residency.allows(region) for region in "abc"] == [False, True, False]
    assert request_residency(route, None) == route.residency


def test_without_named_regions_all_are_allowed():
    assert Residency.from_regions([]) == ANYWHERE
    assert ANYWHERE.allows("anything")
    assert ANYWHERE.allows(None)


def test_an_unknown_region_is_allowed_only_without_a_restriction():
    assert not WEST.allows(None)


async def test_no_attempt_leaves_the_allowed_regions():
    """All engines at home fail, and another attempt is sent to one elsewhere."""
    for with_prompt in (True, False):
        placer = FleetPlacer(
            make_view("far", "north", "farther", "south"), "far", ZONES
        )
        context = make_context(WEST, with_prompt)
        for _ in range(2):
            placed = (await placer.place(context)).ok
            assert placed.endpoint.zone in ("north", "south")
            context.attempted_endpoints.append(placed.endpoint.id)
            context.send_count += 1
            placer.on_attempt_ended(context, placed.endpoint, Outcome.BROKEN)
        assert (await placer.place(context)).error.kind is FaultKind.NO_ENDPOINT


async def test_a_prefix_is_copied_from_allowed_regions_only():
    """The engine with the cached prefix is in another region than the request's."""
    placer = FleetPlacer(make_view(*["far"] * 6, "north", "south"), "north", ZONES)
    for _ in range(20):
        context = make_context(WEST)
        placed = (await placer.place(context)).ok
        assert placed.fetch_from in (None, "127.0.0.1:6", "127.0.0.1:7")
        placer.on_attempt_ended(context, placed.endpoint, Outcome.WHOLE)


async def test_without_a_common_region_the_request_is_refused_at_once():
    placer = FleetPlacer(make_view("north"), "north", ZONES)
    fault = (await placer.place(make_context(WEST.intersect(EAST)))).error
    assert (fault.kind, fault.retry_after) == (FaultKind.NO_ALLOWED_REGION, None)


async def test_without_an_endpoint_at_home_the_request_is_refused_at_once():
    started = asyncio.get_running_loop().time()
    placer = FleetPlacer(make_view("far"), "north", ZONES)
    fault = (await placer.place(make_context(WEST))).error
    assert fault.kind is FaultKind.NO_ENDPOINT
    assert fault.retry_after > 0
    assert asyncio.get_running_loop().time() == started


async def test_a_queued_request_is_not_sent_to_a_zone_drained_meanwhile():
    """The operator drains the zone while a request waits for its connection."""
    drained_zones = DrainedZones()
    placer = FleetPlacer(make_view("north"), "north", ZONES, drained_zones)
    context = make_context(ANYWHERE)
    endpoint = (await placer.place(context)).ok.endpoint
    assert placer.may_send(context, endpoint)
    drained_zones.merge([ZoneDrain("north", Revision(0, 2), True)])
    assert not placer.may_send(context, endpoint)
    assert (await placer.place(context)).error.kind is FaultKind.NO_ENDPOINT
    drained_zones.merge([ZoneDrain("north", Revision(0, 3), False)])
    assert placer.may_send(context, endpoint)


async def test_a_residency_that_changed_after_placing_is_respected():
    placer = FleetPlacer(make_view("north"), "north", ZONES)
    context = make_context(ANYWHERE)
    endpoint = (await placer.place(context)).ok.endpoint
    context.residency = EAST
    assert not placer.may_send(context, endpoint)


def test_callers_get_no_routers_of_a_region_that_is_not_allowed():
    """The routers of the caller's region are overloaded, others have room."""
    ready = [router(f"n{n}", "north", 0.9) for n in range(3)]
    ready += [router(f"f{n}", "far", 0.1) for n in range(3)]
    for _ in range(100):
        addresses = addresses_for(ready, ZONES, "north", "west", WEST)
        assert {address[0] for address in addresses} == {"n"}


def test_callers_without_a_ready_router_in_allowed_regions_get_others():
    ready = [router("f1", "far")]
    assert addresses_for(ready, ZONES, "north", "west", WEST) == ["f1:80"]


def test_residency_of_all_requests_is_that_of_each_route_and_organisation():
    routes = (
        make_route(RetryPolicy.ANY, residency=Residency.from_regions(["west", "x"])),
        make_route(RetryPolicy.ANY, name="r2"),
    )
    organisations = (Organisation("o", (), None, WEST), Organisation("p", ()))
    assert RoutingConfiguration(1, routes, {}, organisations).residency == WEST
    assert RoutingConfiguration(1, routes[1:], {}, ()).residency == ANYWHERE


async def test_callers_of_a_region_without_routers_connect_elsewhere_for_a_while():
    """Their connections must not be relayed to a third VM."""
    coverage = RegionCoverage(ZONES)
    everyone = [router("n1", "north"), router("f1", "far")]
    coverage.update(everyone)
    assert not coverage.complete
    await asyncio.sleep(COVERAGE_SECONDS)
    assert coverage.complete
    coverage.update(everyone[:1])
    assert not coverage.complete


def seconds_per_check(eligible: EligibleEndpoints) -> float:
    """Return the least CPU time of a check in some rounds, as others use the CPU."""
    count, rounds = 10_000, 5
    seconds = []
    for _ in range(rounds):
        started = time.process_time()
        for _ in range(count):
            eligible.of_service("books", WEST)
        seconds.append((time.process_time() - started) / count)
    return min(seconds)


async def test_the_check_costs_little():
    """Each request is checked, in front of thousands of endpoints."""
    view = make_view(*["north", "far"] * 1450)
    signals = EndpointSignals()
    eligible = EligibleEndpoints(view, ZONES, DrainedZones(), signals)
    assert seconds_per_check(eligible) < MAX_CHECK_SECONDS
    for endpoint in view.endpoints[:50]:
        signals.record(endpoint, EndpointSignal(leaving=True, pause_seconds=60.0))
    assert seconds_per_check(eligible) < MAX_CHECK_SECONDS
