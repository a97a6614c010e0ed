"""Tests of fair shares."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st
from teaselledge_fleet.process.shares import OrganisationShares, max_min_share

VIRTUAL_CLOCK = True
DEMANDS = st.lists(st.floats(0, 1e6), min_size=1, max_size=20)


@given(DEMANDS, st.floats(1, 1e6))
def test_the_level_uses_the_whole_capacity_and_no_more(demands, capacity):
    level = max_min_share(demands, capacity)
    given_out = sum(min(demand, level) for demand in demands)
    expected = min(capacity, sum(demands))
    assert abs(given_out - expected) <= 1e-6 * max(1.0, expected)


async def play(shares: OrganisationShares, seconds: float, asked, received) -> None:
    for _ in range(int(seconds * 10)):
        for name, tokens in asked.items():
            shares.record_request(name, tokens)
        for name, tokens in received.items():
            shares.record_allocation(name, tokens)
        shares.is_over_share("a", 1.0)
        await asyncio.sleep(0.1)


async def test_nobody_is_over_while_all_demands_fit():
    shares = OrganisationShares()
    await play(shares, 6, {"a": 900, "b": 100}, {"a": 900, "b": 100})
    assert not shares.is_over_share("a", 1.0)


async def test_the_one_that_floods_is_over():
    """One organisation asks for many times its usual, and the others for little."""
    shares = OrganisationShares()
    asked = {"a": 5000, "b": 300, "c": 200}
    received = {"a": 700, "b": 200, "c": 100}
    await play(shares, 6, asked, received)
    assert shares.is_over_share("a", 1.0)
    assert not shares.is_over_share("b", 1.0)
    assert not shares.is_over_share("c", 1.0)


async def test_use_at_other_routers_counts():
    here, there = OrganisationShares(), OrganisationShares()
    for _ in range(60):
        there.record_request("a", 5000)
        there.record_allocation("a", 900)
        here.record_request("b", 200)
        here.record_allocation("b", 100)
        here.update_source("r2", there.local())
        here.is_over_share("a", 1.0)
        await asyncio.sleep(0.1)
    assert here.is_over_share("a", 1.0)
    assert not here.is_over_share("b", 1.0)


async def test_a_silent_router_counts_no_more():
    """A router is cut off while one of its organisations floods it."""
    here, there = OrganisationShares(), OrganisationShares()
    there.record_request("a", 10_000)
    there.record_allocation("a", 5_000)
    here.update_source("r2", there.local())
    here.record_request("b", 10)
    assert here.is_over_share("a", 1.0)
    await asyncio.sleep(3)
    assert not here.is_over_share("a", 1.0)


async def test_sums_of_sources_add_up():
    one, other, third = (OrganisationShares() for _ in range(3))
    one.record_request("a", 100)
    other.record_request("a", 50)
    third.update_source("r1", one.local())
    third.update_source("r2", other.local())
    (use,) = third.sum_of_sources(["r1", "r2", "r3"]).values()
    assert (use.requested, use.allocated) == (150, 0)


async def test_callers_over_the_share_are_told_when_it_has_room():
    """An organisation received twice its share in the last four seconds.

    Told to come back at once, its callers are refused again until half of that is
    forgotten; each has one try more.
    """
    shares = OrganisationShares()
    asked = {"a": 5000, "b": 5000}
    await play(shares, 8, asked, {"a": 600, "b": 200})
    assert shares.seconds_until_within_share("b") == 0.0
    seconds = shares.seconds_until_within_share("a")
    assert 1.0 < seconds < 2.0
    # meanwhile the other one is given what the engines can do
    await play(shares, seconds + 0.6, asked, {"b": 800})
    assert not shares.is_over_share("a", 1.1)


async def test_what_engines_do_beyond_the_promise_raises_no_share():
    """The engines do twice what is promised, as two organisations ask for much more.

    With shares of all that is received, those two would be inside theirs, and queue
    before the engines side by side with the third, whose callers wait for nothing.
    """
    shares = OrganisationShares()
    shares.set_guaranteed_rate(6000.0)
    asked = {"a": 5000, "b": 5000, "c": 100}
    await play(shares, 6, asked, {"a": 600, "b": 500, "c": 100})
    assert shares.is_over_share("a", 1.1)
    assert shares.is_over_share("b", 1.1)
    assert not shares.is_over_share("c", 1.1)
    shares.set_guaranteed_rate(0.0)
    await asyncio.sleep(0.6)
    assert not shares.is_over_share("b", 1.1)
