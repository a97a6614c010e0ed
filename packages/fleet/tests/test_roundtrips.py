"""Tests of the measured round-trip times to other regions."""

import asyncio

from teaselledge_fleet.process.roundtrips import RoundTrips

VIRTUAL_CLOCK = True
UNLOADED_SECONDS = 0.04


async def test_a_few_lost_queries_are_told_from_a_full_link():
    """One datagram of 30 is lost on a bad link, and most of them on a full one."""
    bad, full = RoundTrips(), RoundTrips()
    for number in range(60):
        for round_trips, lost in ((bad, number % 30 == 0), (full, number % 2 == 0)):
            if lost:
                round_trips.record_loss("east")
            else:
                round_trips.observe("east", UNLOADED_SECONDS)
        await asyncio.sleep(0.02)
    assert bad.seconds("east") < 3 * UNLOADED_SECONDS
    assert full.seconds("east") > 10 * UNLOADED_SECONDS


async def test_a_link_that_is_free_again_is_noticed_within_two_seconds():
    round_trips = RoundTrips()
    for _ in range(100):
        round_trips.record_loss("east")
    for _ in range(20):
        await asyncio.sleep(0.1)
        round_trips.observe("east", UNLOADED_SECONDS)
    assert round_trips.seconds("east") < 2 * UNLOADED_SECONDS


async def test_old_measurements_do_not_keep_requests_off_a_region():
    """Without requests there are no queries, so that nothing would end the state."""
    round_trips = RoundTrips()
    round_trips.record_loss("east")
    await asyncio.sleep(1.1)
    assert round_trips.seconds("east") == 0.0


async def test_regions_are_measured_independently():
    round_trips = RoundTrips()
    round_trips.record_loss("east")
    round_trips.observe("west", UNLOADED_SECONDS)
    assert abs(round_trips.seconds("west") - UNLOADED_SECONDS) < 1e-9
    assert round_trips.longest_seconds("east") == round_trips.seconds("west")
