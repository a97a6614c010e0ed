"""Tests of how many connections a router accepts."""

import math
from collections import deque

from teaselledge_fleet.process.busyness import LONG_ITERATION_SECONDS
from teaselledge_fleet.process.connectionlimit import (
    MAX_LIMIT,
    MIN_LIMIT,
    ConnectionLimit,
)

SHORT_SECONDS, LONG_SECONDS = LONG_ITERATION_SECONDS / 2, LONG_ITERATION_SECONDS * 10


def test_router_with_short_iterations_accepts_every_connection():
    limit = ConnectionLimit()
    for running in range(0, 10_000, 100):
        limit.update(SHORT_SECONDS, 0.5, running)
        assert limit.allows(running)


def test_pause_of_the_whole_vm_sets_no_limit():
    """It shows as a single long iteration; the router can serve all that waited."""
    limit = ConnectionLimit()
    limit.update(5.0, 1.0, 300)
    assert limit.allows(300)


def test_limit_falls_with_long_iterations_and_recovers():
    limit = ConnectionLimit()
    limit.update(LONG_SECONDS, 1.0, 600)
    limit.update(LONG_SECONDS, 1.0, 600)
    assert MIN_LIMIT <= limit.limit < 300
    assert not limit.allows(600)
    for _ in range(200):
        limit.update(SHORT_SECONDS, 0.5, 100)
    assert math.isinf(limit.limit)


def test_limit_falls_however_many_connections_run():
    """A VM with many file descriptors may run more than the maximum limit."""
    limit = ConnectionLimit()
    limit.update(LONG_SECONDS, 1.0, 2 * MAX_LIMIT)
    limit.update(LONG_SECONDS, 1.0, 2 * MAX_LIMIT)
    assert limit.limit < MAX_LIMIT


class SimulatedLoop:
    """An event loop whose iterations last as long as its connections need.

    A connection takes a twentieth of its total time in each iteration; a refusal takes
    a tenth of a connection's total time.
    """

    def __init__(self, connection_seconds: float) -> None:
        self.limit = ConnectionLimit()
        self._seconds = connection_seconds
        self._running = 0

    def simulate(self, arrivals: float, seconds: float) -> tuple[float, float]:
        """Return the connections served a second, and the last iteration's duration."""
        clock = served = iteration = 0.0
        pending = 0.0
        while clock < seconds:
            pending += arrivals * iteration
            accepted = min(pending, max(0.0, self.limit.limit - self._running))
            iteration = 0.005 + self._running * self._seconds / 20
            iteration += (pending - accepted) * self._seconds / 10
            ended = self._running / 20
            self._running += accepted - ended
            served += ended
            pending = 0.0
            clock += iteration
            self.limit.update(iteration, 1.0, round(self._running))
        return served / seconds, iteration


def test_overloaded_router_continues_to_serve_connections():
    """Without a limit its iterations grow until no response is in time."""
    served, iteration = SimulatedLoop(0.002).simulate(arrivals=1400, seconds=20)
    assert iteration < 3 * LONG_ITERATION_SECONDS
    # it can serve 500 a second; refusing the others takes some of its time
    assert served > 125


class SimulatedRouter:
    """A router that relays connections, each of which lasts for some ticks.

    Excess connections end late: iterations are long until then, whatever it refuses.
    """

    TICK_SECONDS = 0.1
    CONNECTION_TICKS = 15
    CPU_SECONDS_PER_SECOND = 0.5
    """CPU time available a second."""
    ACCEPT_SECONDS, RELAY_SECONDS, REFUSE_SECONDS = 0.0005, 0.0005, 0.0003
    """CPU time to accept a connection, to relay it until its end, or to refuse it."""

    def __init__(self) -> None:
        self.limit = ConnectionLimit()
        self.iterations: list[float] = []
        self._accepted_by_tick = deque([0] * self.CONNECTION_TICKS)
        self._backlog = 0.0

    def simulate(self, arrivals: float, seconds: float) -> list[int]:
        """Return the connections accepted in each tick."""
        return [
            self._tick(round(arrivals * self.TICK_SECONDS))
            for _ in range(round(seconds / self.TICK_SECONDS))
        ]

    def _tick(self, arrivals: int) -> int:
        self._accepted_by_tick.popleft()
        running = sum(self._accepted_by_tick)
        accepted = 0
        while accepted < arrivals and self.limit.allows(running + accepted):
            accepted += 1
        self._accepted_by_tick.append(accepted)
        work = (
            accepted * self.ACCEPT_SECONDS + (arrivals - accepted) * self.REFUSE_SECONDS
        )
        work += running * self.RELAY_SECONDS / self.CONNECTION_TICKS
        requested_seconds, available_seconds = (
            self._backlog + work,
            self.CPU_SECONDS_PER_SECOND * self.TICK_SECONDS,
        )
        self._backlog = max(0.0, requested_seconds - available_seconds)
        self.iterations.append(0.01 + self._backlog / self.CPU_SECONDS_PER_SECOND)
        self.limit.update(
            self.iterations[-1],
            min(1.0, requested_seconds / available_seconds),
            running + accepted,
        )
        return accepted


def test_overloaded_router_uses_its_cpu_time():
    """A limit lowered again before the first cut takes effect would leave CPU idle."""
    router = SimulatedRouter()
    router.simulate(arrivals=50, seconds=5)
    accepted = router.simulate(arrivals=850, seconds=18)
    # it can accept 350 a second and refuse the others
    max_accepted = (
        router.CPU_SECONDS_PER_SECOND - 850 * router.REFUSE_SECONDS
    ) / 0.0007
    assert sum(accepted[:60]) >= 6 * max_accepted / 2, sum(accepted[:60])
    assert sum(accepted[60:]) >= 12 * max_accepted * 0.7, sum(accepted[60:])
    # a request takes about five iterations, and its latency objective is 0.8 s
    assert max(router.iterations) < 2 * LONG_ITERATION_SECONDS


def test_router_saturated_by_other_work_accepts_connections():
    """A large configuration saturates the loop for some ticks, also at start."""
    limit = ConnectionLimit()
    for _ in range(5):
        limit.update(SHORT_SECONDS, 1.0, 10)
    assert limit.allows(40)


def test_entitled_connections_exceed_the_limit_by_a_fifth_at_most():
    """They would otherwise saturate the router that the limit protects."""
    limit = ConnectionLimit()
    for _ in range(10):
        limit.update(0.0, 1.0, 100)
    assert not limit.allows(100)
    assert limit.allows_entitled(119)
    assert not limit.allows_entitled(120)
