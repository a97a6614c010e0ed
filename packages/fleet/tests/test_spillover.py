"""Tests of sending callers of a crowded zone to other zones of its region."""

import asyncio
import random
from statistics import fmean

from teaselledge_fleet.process.addresses import addresses_for
from teaselledge_fleet.process.members import Member, MemberState
from teaselledge_fleet.process.spillover import (
    SMOOTHING_FACTOR,
    RefusedFraction,
    ZoneSpillover,
    offered_utilisation,
)

VIRTUAL_CLOCK = True
ZONES = {"a": "west", "b": "west", "c": "west", "d": "east"}
ROUTERS_PER_ZONE = 8
ROUTER_RATE = 10.0
"""Requests a second that a router can serve."""

STEP_SECONDS = 0.1
LOAD_SECONDS = 8.0
RESPONSES_PER_STEP = 20
MIN_SERVED_FRACTION = 0.95
"""Fraction of callers that must be served while the routers of their region have room
for all of them."""


def make_router(name: str, utilisation: float) -> Member:
    zone, state = name[0], MemberState.READY
    return Member(name, 1, zone, ZONES[zone], name, "", state, 1.0, utilisation)


def make_ready(utilisations: dict[str, float]) -> list[Member]:
    return [
        make_router(f"{zone}{number}", utilisation)
        for zone, utilisation in utilisations.items()
        for number in range(ROUTERS_PER_ZONE)
    ]


async def serve(rates: dict[str, float], adapts: bool) -> float:
    """Return the fraction of requests that are served in the last second.

    Each router serves up to its rate and refuses the rest, and reports a smoothed
    utilisation. Callers choose their routers by the addresses that they get.
    """
    random.seed(1)
    spillover = ZoneSpillover()
    ready = make_ready(dict.fromkeys(ZONES, 0.0))
    used = {member.vm: 0.0 for member in ready}
    refused = {member.vm: RefusedFraction() for member in ready}
    totals = {member.vm: (0.0, 0.0) for member in ready}
    served = []
    for _ in range(int(LOAD_SECONDS / STEP_SECONDS)):
        arriving = dict.fromkeys(used, 0.0)
        for zone, rate in rates.items():
            fraction = spillover.update(zone, ready) if adapts else 0.0
            for _ in range(RESPONSES_PER_STEP):
                addresses = addresses_for(
                    ready, ZONES, zone, ZONES[zone], spillover=fraction
                )
                for address in addresses:
                    arriving[address] += rate / RESPONSES_PER_STEP / len(addresses)
        for vm, rate in arriving.items():
            accepted = min(rate, ROUTER_RATE)
            before = totals[vm]
            totals[vm] = (before[0] + rate, before[1] + rate - accepted)
            refused[vm].update(*totals[vm])
            used[vm] += SMOOTHING_FACTOR * (accepted / ROUTER_RATE - used[vm])
        ready = [
            make_router(vm, offered_utilisation(used[vm], refused[vm].value))
            for vm in used
        ]
        served.append(
            sum(min(rate, ROUTER_RATE) for rate in arriving.values())
            / sum(arriving.values())
        )
        await asyncio.sleep(STEP_SECONDS)
    return fmean(served[-int(1 / STEP_SECONDS) :])


async def test_a_crowd_in_one_zone_is_served_by_the_zones_of_its_region():
    """More than twice the callers that the zone can serve; the others are idle."""
    rates = {"a": 2.4 * ROUTERS_PER_ZONE * ROUTER_RATE, "b": 8.0, "c": 8.0, "d": 8.0}
    assert await serve(rates, adapts=False) < 0.9
    assert await serve(rates, adapts=False) < MIN_SERVED_FRACTION
    assert await serve(rates, adapts=True) > MIN_SERVED_FRACTION


async def test_callers_of_zones_with_room_stay():
    rates = dict.fromkeys(ZONES, 0.4 * ROUTERS_PER_ZONE * ROUTER_RATE)
    assert await serve(rates, adapts=True) == 1.0
    spillover = ZoneSpillover()
    for _ in range(20):
        assert spillover.update("a", make_ready(dict.fromkeys(ZONES, 0.5))) == 0.0
        await asyncio.sleep(STEP_SECONDS)


async def test_callers_return_when_the_crowd_is_gone():
    spillover = ZoneSpillover()
    fractions = []
    for utilisation in (1.0, 0.2):
        for _ in range(30):
            ready = make_ready({"a": utilisation, "b": 0.1, "c": 0.1, "d": 0.1})
            fractions.append(spillover.update("a", ready))
            await asyncio.sleep(STEP_SECONDS)
    assert max(fractions) > 0.5
    assert fractions[-1] == 0.0


def test_the_other_region_gets_no_more_callers_than_before():
    ready = make_ready({"a": 0.5, "d": 0.0})
    for _ in range(50):
        addresses = addresses_for(ready, ZONES, "a", "west", spillover=0.8)
        assert all(address.startswith("a") for address in addresses)


def test_a_router_that_refuses_reports_no_room():
    """Its connections are limited, so its processor has time left."""
    assert offered_utilisation(0.3, 0.0) == 0.3
    assert offered_utilisation(0.3, 0.3) > 0.85
    assert offered_utilisation(0.9, 0.5) == 1.0


def test_the_refused_fraction_follows_within_a_second():
    refusals = RefusedFraction()
    for tick in range(1, 11):
        refusals.update(10 * tick, 5 * tick)
    assert 0.35 < refusals.value <= 0.5
    for _ in range(10):
        refusals.update(100, 50)
    assert refusals.value < 0.15
