"""Tests of the lines that a router writes each second under load."""

import asyncio
from contextlib import contextmanager

import loguru
from teaselledge_fleet.process.connectionlog import ConnectionCounts, ConnectionLog
from teaselledge_fleet.process.sharelog import ShareLog
from teaselledge_fleet.process.shares import OrganisationShares

VIRTUAL_CLOCK = True


@contextmanager
def lines():
    """Records of the log while the test runs."""
    records: list[dict] = []
    handler = loguru.logger.add(lambda message: records.append(message.record["extra"]))
    try:
        yield records
    finally:
        loguru.logger.remove(handler)


async def test_a_line_a_second_tells_what_became_of_connections(lines):
    log = ConnectionLog()
    log.update(ConnectionCounts(accepted=5), 5, float("inf"), 0.1)
    for tick in range(25):
        await asyncio.sleep(0.1)
        counts = ConnectionCounts(
            accepted=5 + 10 * tick, refused=2 * tick, relays_served=tick
        )
        log.update(counts, 7, 40.2, 0.5)
    assert [line["seconds"] for line in lines] == [1.0, 1.0]
    assert (lines[1]["accepted"], lines[1]["refused"]) == (100, 20)
    assert (lines[1]["relays_served"], lines[1]["limit"]) == (10, 40)


async def test_nothing_is_written_while_every_connection_is_served(lines):
    log = ConnectionLog()
    for tick in range(25):
        await asyncio.sleep(0.1)
        log.update(ConnectionCounts(accepted=10 * tick), 7, float("inf"), 0.5)
    assert not lines


async def record(shares: OrganisationShares, requested: int, allocated: int) -> None:
    for _ in range(20):
        shares.record_request("behind", requested)
        shares.record_allocation("behind", allocated)
        shares.record_request("ahead", 5000)
        shares.record_allocation("ahead", 1000)
        await asyncio.sleep(0.1)


async def test_an_underserved_organisation_is_logged_beside_the_best_served(lines):
    shares = OrganisationShares()
    await record(shares, 4000, 300)
    ShareLog(shares).update()
    assert [line["organisation"] for line in lines] == ["behind"]
    assert lines[0]["best_organisation"] == "ahead"
    assert abs(lines[0]["ratio"] - 0.3) < 0.02


async def test_an_organisation_that_gets_what_it_requests_is_not_logged(lines):
    shares = OrganisationShares()
    await record(shares, 300, 300)
    ShareLog(shares).update()
    assert not lines


async def test_a_level_that_has_just_become_infinite_is_logged_as_none(lines):
    """The error ended the task that measures the event loop of the router."""

    class RefreshedShares(OrganisationShares):
        level = float("inf")

    shares = RefreshedShares()
    await record(shares, 4000, 300)
    ShareLog(shares).update()
    assert [line["share_level"] for line in lines] == [None]
