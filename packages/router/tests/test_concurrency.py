"""Tests of the limit of concurrent requests with a simulated engine."""

import heapq

from teaselledge.process.concurrency import ConcurrencyLimit

SLOTS = 16
REQUESTS = 3000


def run_engine(limit, get_pace, requests=REQUESTS, now=0.0):
    """Keep an engine at its limit; return all limits and the time of the end."""
    heap, running, limits = [], 0, []
    for n in range(requests):
        while running < limit.limit:
            running += 1
            work = 50 + 37 * (len(heap) + n) % 100
            seconds = work * get_pace(running, now)
            heapq.heappush(heap, (now + seconds, running, seconds, work))
        now, _, seconds, work = heapq.heappop(heap)
        limit.observe(running, seconds, work, now)
        running -= 1
        limits.append(limit.stable_limit)
    return limits, now


def healthy(running, now):
    return 0.01 * (1 + 0.03 * (running - 1))


def thrashing(running, now):
    """Return the pace of an engine whose cache has room for six requests."""
    overload = max(1.0, running / 6)
    return healthy(running, now) * overload**2.5


def test_healthy_engine_keeps_its_slots():
    limits, _ = run_engine(ConcurrencyLimit(SLOTS), healthy)
    assert min(limits) == SLOTS


def test_overloaded_engine_gets_fewer_requests():
    """The cache of an engine is exhausted, and each further request slows all.

    Responses are many times slower, although fewer concurrent requests would
    give a higher throughput.
    """
    limit = ConcurrencyLimit(SLOTS)
    _, now = run_engine(limit, healthy, 200)
    limits, _ = run_engine(limit, thrashing, now=now)
    assert 4 <= limits[-1] <= 9


def test_recovered_engine_regains_its_slots():
    limit = ConcurrencyLimit(SLOTS)
    _, now = run_engine(limit, healthy, 200)
    _, now = run_engine(limit, thrashing, now=now)
    limits, _ = run_engine(limit, healthy, now=now)
    assert limits[-1] == SLOTS


def test_slow_engine_keeps_its_slots():
    """An engine is four times slower at any load.

    Fewer concurrent requests would not make it faster, and slots would be idle
    while requests wait.
    """
    limit = ConcurrencyLimit(SLOTS)
    _, now = run_engine(limit, healthy, 200)
    limits, _ = run_engine(limit, lambda n, t: 4 * healthy(n, t), now=now)
    assert limits[-1] == SLOTS


def test_requests_of_unknown_duration_or_work_are_ignored():
    limit = ConcurrencyLimit(SLOTS)
    limit.observe(SLOTS, 0.0, 10.0, 1.0)
    limit.observe(SLOTS, 1.0, 0.0, 1.0)
    assert limit.seconds_per_unit == 0.0
