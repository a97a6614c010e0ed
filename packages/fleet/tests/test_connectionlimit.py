"""Tests of how many connections a router takes."""

import math

from teaselledge_fleet.process.busyness import LONG_TURN_SECONDS
from teaselledge_fleet.process.connectionlimit import LEAST, ConnectionLimit

SHORT, LONG = LONG_TURN_SECONDS / 2, LONG_TURN_SECONDS * 10


def test_router_with_short_turns_takes_every_connection():
    limit = ConnectionLimit()
    for running in range(0, 10_000, 100):
        limit.note(SHORT, running)
        assert limit.allows(running)


def test_pause_of_the_whole_vm_limits_nothing():
    """It shows as a single long turn, and the router has time for all that waited."""
    limit = ConnectionLimit()
    limit.note(5.0, 300)
    assert limit.allows(300)


def test_limit_falls_with_long_turns_and_comes_back():
    limit = ConnectionLimit()
    limit.note(LONG, 600)
    limit.note(LONG, 600)
    assert LEAST <= limit.limit < 300
    assert not limit.allows(600)
    for _ in range(200):
        limit.note(SHORT, 100)
    assert math.isinf(limit.limit)


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
            self.limit.note(turn, round(self._running))
        return served / seconds, turn


def test_flooded_router_goes_on_serving_what_it_has_time_for():
    """Without a limit its turns grow until nothing is answered in time."""
    served, turn = Loop(0.002).play(arrivals=1400, seconds=20)
    assert turn < 3 * LONG_TURN_SECONDS
    # a router can serve 500 a second; refusing the others takes a part of its time
    assert served > 125
