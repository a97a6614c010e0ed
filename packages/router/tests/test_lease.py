"""Tests of the lease."""

import asyncio
from contextlib import contextmanager

from teaselledge.platform import Write
from teaselledge.process.lease import LEASES_TABLE, Lease, LeaseRecord
from teaselledge_standins.tables import MemoryTables

VIRTUAL_CLOCK = True

ROW = ("t", "row")


@contextmanager
def tables():
    yield MemoryTables()


def lease(tables, holder):
    return Lease(tables, "l", holder, 10.0)


def record(tables):
    return LeaseRecord.decode(tables.peek(LEASES_TABLE, "l").value)


async def test_one_of_two_racing_processes_acquires_the_lease(tables):
    a, b = lease(tables, "a"), lease(tables, "b")
    held = await asyncio.gather(a.acquire_or_renew(), b.acquire_or_renew())
    assert [h is not None for h in held].count(True) == 1


async def test_renewed_lease_is_not_taken_over(tables):
    a, b = lease(tables, "a"), lease(tables, "b")
    for _ in range(20):
        assert await a.acquire_or_renew() is not None
        assert await b.acquire_or_renew() is None
        await asyncio.sleep(3.0)
    assert record(tables).number == 1


async def test_paused_holder_cannot_write_after_a_takeover(tables):
    """The holder is paused until its lease has lapsed, and resumes. Its writes must
    not take effect beside those of its successor.
    """
    a, b = lease(tables, "a"), lease(tables, "b")
    first = await a.acquire_or_renew()
    await b.acquire_or_renew()
    await asyncio.sleep(11.0)
    second = await b.acquire_or_renew()
    assert second.number > first.number
    late_commit = await a.commit([Write(*ROW, b"a", 0)], first.number + 1)
    assert late_commit.is_error()
    assert tables.peek(*ROW) is None
    assert a.held is None
    assert (await b.commit([Write(*ROW, b"b", 0)], second.number + 1)).is_ok()
    assert tables.peek(*ROW).value == b"b"


async def test_write_with_a_lost_response_is_recognised(tables):
    """The write takes effect and its response is lost. If it counted as a failure,
    nobody would use the lease until it lapses.
    """
    a = lease(tables, "a")
    tables.faults.lose_answers = 1
    assert await a.acquire_or_renew() is not None
    tables.faults.lose_answers = 1
    assert (await a.commit([Write(*ROW, b"a", 0)], 5)).is_ok()
    assert record(tables).number == 5
    assert tables.peek(*ROW).version == 1


async def test_released_lease_is_free_at_once_and_keeps_its_number(tables):
    a, b = lease(tables, "a"), lease(tables, "b")
    first = await a.acquire_or_renew()
    await a.release()
    second = await b.acquire_or_renew()
    assert second.number > first.number


async def test_lease_ends_on_the_holders_clock_while_the_store_is_down(tables):
    """The holder can't renew. It must stop before others may take the lease over."""
    a = lease(tables, "a")
    await a.acquire_or_renew()
    tables.faults.down = True
    await asyncio.sleep(9.0)
    assert a.held is not None
    await a.acquire_or_renew()
    await asyncio.sleep(1.1)
    assert a.held is None
    tables.faults.down = False
    assert await a.acquire_or_renew() is not None
