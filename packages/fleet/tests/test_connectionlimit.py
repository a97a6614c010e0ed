"""Tests of how many connections a router takes."""

import math
from collections import deque

from teaselledge_fleet.process.busyness import LONG_ITERATION_SECONDS
from teaselledge_fleet.process.connectionlimit import (
    MAX_LIMIT,
    MIN_LIMIT,
    ConnectionLimit,
)

SHORT, LONG = LONG_ITERATION_SECONDS / 2, LONG_ITERATION_SECONDS * 10


def test_router_with_short_turns_takes_every_connection():
    limit = ConnectionLimit()
    for running in range(0, 10_000, 100):
        limit.update(SHORT, 0.5, running)
        assert limit.allows(running)


def test_pause_of_the_whole_vm_limits_nothing():
    """It shows as a single long turn, and the router has time for all that waited."""
    limit = ConnectionLimit()
    limit.update(5.0, 1.0, 300)
    assert limit.allows(300)


def test_limit_falls_with_long_turns_and_comes_back():
    limit = ConnectionLimit()
    limit.update(LONG, 1.0, 600)
    limit.update(LONG, 1.0, 600)
    assert MIN_LIMIT <= limit.limit < 300
    assert not limit.allows(600)
    for _ in range(200):
        limit.update(SHORT, 0.5, 100)
    assert math.isinf(limit.limit)


def test_limit_falls_however_many_connections_run():
    """A VM with many descriptors may run more than the limit ever grows to."""
    limit = ConnectionLimit()
    limit.update(LONG, 1.0, 2 * MAX_LIMIT)
    limit.update(LONG, 1.0, 2 * MAX_LIMIT)
    assert limit.limit < MAX_LIMIT


class Loop:
    """An event loop whose turns are as long as the connections that it serves need.

    A connection takes a twentieth of its time in each turn; a refusal takes a tenth of
    what a connection takes in all.
    """

    def __init__(self, connection_seconds: float) -> None:
        self.limit = ConnectionLimit()
        self._seconds = connection_seconds
        self._running = 0

    def play(self, arrivals: float, seconds: float) -> tuple[float, float]:
        """Return the connections served a second, and the longest turn at the end."""
        clock = served = turn = 0.0
        waiting = 0.0
        while clock < seconds:
            waiting += arrivals * turn
            taken = min(waiting, max(0.0, self.limit.limit - self._running))
            turn = 0.005 + self._running * self._seconds / 20
            turn += (waiting - taken) * self._seconds / 10
            ended = self._running / 20
            self._running += taken - ended
            served += ended
            waiting = 0.0
            clock += turn
            self.limit.update(turn, 1.0, round(self._running))
        return served / seconds, turn


def test_flooded_router_goes_on_serving_what_it_has_time_for():
    """Without a limit its turns grow until nothing is answered in time."""
    served, turn = Loop(0.002).play(arrivals=1400, seconds=20)
    assert turn < 3 * LONG_ITERATION_SECONDS
    # a router can serve 500 a second; refusing the others takes a part of its time
    assert served > 125


class FloodedRouter:
    """A router that passes connections on, each of which lasts for a while.

    What it takes too much of ends late: its turns are long until then, whatever it
    refuses.
    """

    TICK_SECONDS = 0.1
    LASTING_TICKS = 15
    TIME = 0.5
    """Processor time that it has a second."""
    TAKING, PASSING, REFUSING = 0.0005, 0.0005, 0.0003
    """Seconds that it takes to take over a connection, pass it on to its end, or refuse
    it."""

    def __init__(self) -> None:
        self.limit = ConnectionLimit()
        self.turns: list[float] = []
        self._ending = deque([0] * self.LASTING_TICKS)
        self._backlog = 0.0

    def play(self, arrivals: float, seconds: float) -> list[int]:
        """Return the connections taken in each tick."""
        return [
            self._tick(round(arrivals * self.TICK_SECONDS))
            for _ in range(round(seconds / self.TICK_SECONDS))
        ]

    def _tick(self, arrivals: int) -> int:
        self._ending.popleft()
        running = sum(self._ending)
        taken = 0
        while taken < arrivals and self.limit.allows(running + taken):
            taken += 1
        self._ending.append(taken)
        work = taken * self.TAKING + (arrivals - taken) * self.REFUSING
        work += running * self.PASSING / self.LASTING_TICKS
        asked, time = self._backlog + work, self.TIME * self.TICK_SECONDS
        self._backlog = max(0.0, asked - time)
        self.turns.append(0.01 + self._backlog / self.TIME)
        self.limit.update(self.turns[-1], min(1.0, asked / time), running + taken)
        return taken


def test_flooded_router_uses_the_time_that_it_has():
    """A limit that is cut again before the cut shows leaves time and callers unused."""
    router = FloodedRouter()
    router.play(arrivals=50, seconds=5)
    taken = router.play(arrivals=850, seconds=18)
    # it can take 350 a second and refuse the others
    most = (router.TIME - 850 * router.REFUSING) / 0.0007
    assert sum(taken[:60]) >= 6 * most / 2, sum(taken[:60])
    assert sum(taken[60:]) >= 12 * most * 0.7, sum(taken[60:])
    # a request takes about five turns, of an objective of 0.8 s
    assert max(router.turns) < 2 * LONG_ITERATION_SECONDS


def test_router_that_is_used_up_by_something_else_takes_connections():
    """A large configuration keeps the loop at work for some ticks, at start as well."""
    limit = ConnectionLimit()
    for _ in range(5):
        limit.update(SHORT, 1.0, 10)
    assert limit.allows(40)
