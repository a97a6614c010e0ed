"""Tests of the limit of concurrent requests, against a model of an engine."""

import heapq

from teaselledge.process.concurrency import ConcurrencyLimit

SLOTS = 16
REQUESTS = 3000


def drive(limit, pace_of, requests=REQUESTS, now=0.0):
    """Keep an engine full; return the limits and when the last request ended."""
    heap, running, limits = [], 0, []
    for n in range(requests):
        while running < limit.limit:
            running += 1
            work = 50 + 37 * (len(heap) + n) % 100
            seconds = work * pace_of(running, now)
            heapq.heappush(heap, (now + seconds, running, seconds, work))
        now, _, seconds, work = heapq.heappop(heap)
        limit.observe(running, seconds, work, now)
        running -= 1
        limits.append(limit.stable_limit)
    return limits, now


def healthy(running, now):
    return 0.01 * (1 + 0.03 * (running - 1))


def thrashing(running, now):
    """An engine whose cache has room for six requests."""
    over = max(1.0, running / 6)
    return healthy(running, now) * over**2.5


def test_a_healthy_engine_keeps_its_slots():
    limits, _ = drive(ConcurrencyLimit(SLOTS), healthy)
    assert min(limits) == SLOTS


def test_an_overloaded_engine_gets_fewer_requests():
    """An engine's cache is exhausted, and each request more slows all of them.

    Callers see answers many times slower, although fewer at once would bring
    more through.
    """
    limit = ConcurrencyLimit(SLOTS)
    _, now = drive(limit, healthy, 200)
    limits, _ = drive(limit, thrashing, now=now)
    assert 4 <= limits[-1] <= 9


def test_an_engine_that_recovers_gets_its_slots_back():
    limit = ConcurrencyLimit(SLOTS)
    _, now = drive(limit, healthy, 200)
    _, now = drive(limit, thrashing, now=now)
    limits, _ = drive(limit, healthy, now=now)
    assert limits[-1] == SLOTS


def test_a_slow_engine_keeps_its_slots():
    """An engine is four times slower at any load.

    With fewer requests at once it would be no faster, and its slots would
    stand idle while work waits.
    """
    limit = ConcurrencyLimit(SLOTS)
    _, now = drive(limit, healthy, 200)
    limits, _ = drive(limit, lambda n, t: 4 * healthy(n, t), now=now)
    assert limits[-1] == SLOTS


def test_unknown_times_teach_nothing():
    limit = ConcurrencyLimit(SLOTS)
    limit.observe(SLOTS, 0.0, 10.0, 1.0)
    limit.observe(SLOTS, 1.0, 0.0, 1.0)
    assert limit.seconds_per_unit == 0.0
