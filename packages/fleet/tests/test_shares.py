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
    total_allocated = sum(min(demand, level) for demand in demands)
    expected = min(capacity, sum(demands))
    assert abs(total_allocated - expected) <= 1e-6 * max(1.0, expected)


async def record_usage(
    shares: OrganisationShares, seconds: float, requested, allocated
) -> None:
    for _ in range(int(seconds * 10)):
        for name, tokens in requested.items():
            shares.record_request(name, tokens)
        for name, tokens in allocated.items():
            shares.record_allocation(name, tokens)
        shares.is_over_share("a", 1.0)
        await asyncio.sleep(0.1)


async def test_no_organisation_is_over_its_share_while_all_demands_fit():
    shares = OrganisationShares()
    await record_usage(shares, 6, {"a": 900, "b": 100}, {"a": 900, "b": 100})
    assert not shares.is_over_share("a", 1.0)


async def test_a_flooding_organisation_is_over_its_share():
    """One organisation requests far more than usual, and the others request little."""
    shares = OrganisationShares()
    requested = {"a": 5000, "b": 300, "c": 200}
    allocated = {"a": 700, "b": 200, "c": 100}
    await record_usage(shares, 6, requested, allocated)
    assert shares.is_over_share("a", 1.0)
    assert not shares.is_over_share("b", 1.0)
    assert not shares.is_over_share("c", 1.0)


async def test_the_excess_over_a_share_is_its_multiple():
    """Two floods over their share are told apart by how much they have."""
    shares = OrganisationShares()
    requested = {"a": 5000, "b": 5000, "c": 100}
    allocated = {"a": 700, "b": 200, "c": 100}
    await record_usage(shares, 6, requested, allocated)
    assert abs(shares.excess("a") - 700 / 450) < 0.05
    assert shares.excess("b") == shares.excess("c") == 1.0


async def test_usage_at_other_routers_counts():
    local, remote = OrganisationShares(), OrganisationShares()
    for _ in range(60):
        remote.record_request("a", 5000)
        remote.record_allocation("a", 900)
        local.record_request("b", 200)
        local.record_allocation("b", 100)
        local.update_source("r2", remote.local())
        local.is_over_share("a", 1.0)
        await asyncio.sleep(0.1)
    assert local.is_over_share("a", 1.0)
    assert not local.is_over_share("b", 1.0)


async def test_usage_at_a_silent_router_expires():
    """A router is cut off while one of its organisations floods it."""
    local, remote = OrganisationShares(), OrganisationShares()
    remote.record_request("a", 10_000)
    remote.record_allocation("a", 5_000)
    local.update_source("r2", remote.local())
    local.record_request("b", 10)
    assert local.is_over_share("a", 1.0)
    await asyncio.sleep(3)
    assert not local.is_over_share("a", 1.0)


async def test_what_a_hanging_engine_never_began_hides_no_later_allocation():
    """Its organisation would look unserved, and others over their share."""
    shares, loop = OrganisationShares(), asyncio.get_running_loop()
    for tokens in (16_700, 5_000):
        allocated_at = loop.time()
        shares.record_allocation("a", tokens)
        for _ in range(12):
            shares.local()
            await asyncio.sleep(0.5)
    shares.record_allocation("a", 7_000)
    shares.record_return("a", 5_000, allocated_at)
    (usage,) = shares.local().values()
    assert usage.allocated == 7_000
    shares.record_return("a", 7_000, loop.time())
    assert shares.local() == {}


async def test_sums_of_sources_add_up():
    first, second, third = (OrganisationShares() for _ in range(3))
    first.record_request("a", 100)
    second.record_request("a", 50)
    third.update_source("r1", first.local())
    third.update_source("r2", second.local())
    (usage,) = third.sum_of_sources(["r1", "r2", "r3"]).values()
    assert (usage.requested, usage.allocated) == (150, 0)


async def test_retry_delay_ends_when_usage_is_within_the_share():
    """An organisation was allocated twice its share in the last four seconds.

    If its callers retried at once, they would be refused until half of that had left
    the window; each has only one retry.
    """
    shares = OrganisationShares()
    requested = {"a": 5000, "b": 5000}
    await record_usage(shares, 8, requested, {"a": 600, "b": 200})
    assert shares.seconds_until_within_share("b") == 0.0
    seconds = shares.seconds_until_within_share("a")
    assert 1.0 < seconds < 2.0
    # meanwhile the other organisation gets the whole capacity
    await record_usage(shares, seconds + 0.6, requested, {"b": 800})
    assert not shares.is_over_share("a", 1.1)


async def test_the_guaranteed_rate_counts_computed_tokens():
    """Prompts have three quarters cached, and engines compute what is guaranteed.

    Counted whole, the prompts exceed the guaranteed rate fourfold, and organisations
    would be over their share on a day on which nobody has to wait.
    """
    shares = OrganisationShares()
    shares.set_guaranteed_rate(2500.0)
    for _ in range(60):
        for name, tokens in {"a": 600, "b": 300, "c": 60}.items():
            shares.record_request(name, tokens, tokens // 4)
            shares.record_allocation(name, tokens)
        shares.is_over_share("a", 1.0)
        await asyncio.sleep(0.1)
    assert not shares.is_over_share("a", 1.0)
    shares.set_guaranteed_rate(1200.0)
    await asyncio.sleep(0.6)
    assert shares.is_over_share("a", 1.0)
    assert not shares.is_over_share("c", 1.0)


async def test_capacity_beyond_the_guaranteed_rate_raises_no_share():
    """Engines deliver twice the guaranteed rate, and two organisations request more.

    If shares were computed from all allocated tokens, those two would be inside theirs,
    and their requests would queue with those of the third, which must not wait.
    """
    shares = OrganisationShares()
    shares.set_guaranteed_rate(6000.0)
    requested = {"a": 5000, "b": 5000, "c": 100}
    await record_usage(shares, 6, requested, {"a": 600, "b": 500, "c": 100})
    assert shares.is_over_share("a", 1.1)
    assert shares.is_over_share("b", 1.1)
    assert not shares.is_over_share("c", 1.1)
    shares.set_guaranteed_rate(0.0)
    await asyncio.sleep(0.6)
    assert not shares.is_over_share("b", 1.1)


async def test_use_is_contended_while_one_that_has_used_less_waits():
    """An organisation with few requests has nothing to gain from what others leave."""
    shares = OrganisationShares()
    requested = {"a": 5000, "b": 5000, "c": 5000, "d": 100}
    allocated = {"a": 500, "b": 900, "c": 200, "d": 100}
    await record_usage(shares, 6, requested, allocated)
    assert 0.8 < shares.contended_use("a") < shares.contended_use("b") == 1.0
    assert shares.contended_use("c") == shares.contended_use("d") == 0.0


async def test_the_use_of_an_organisation_alone_is_not_contended():
    """Its limit on waiting would fall though nobody else wants the engines."""
    shares = OrganisationShares()
    await record_usage(shares, 6, {"a": 5000, "b": 100}, {"a": 900, "b": 100})
    assert shares.contended_use("a") == 0.0


async def test_nothing_is_contended_before_anything_was_allocated():
    shares = OrganisationShares()
    await record_usage(shares, 1, {"a": 5000, "b": 100}, {})
    assert shares.contended_use("a") == shares.contended_use("b") == 0.0
