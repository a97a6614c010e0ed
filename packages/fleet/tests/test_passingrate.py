"""Tests of how many connections are passed on."""

from teaselledge_fleet.process.passingrate import MIN_OFFLOADS, OffloadLimiter

TICKS = 50


def play(rate: OffloadLimiter, arrivals: int, room: int) -> tuple[float, float]:
    """Return the connections passed on and taken a tick, once it has learnt."""
    passed = taken = 0
    for tick in range(TICKS):
        rate.start_tick()
        here = 0
        while here < arrivals and rate.allowed:
            rate.record_offload()
            here += 1
        for _ in range(max(0, here - room)):
            rate.record_refusal()
        if tick >= TICKS / 2:
            passed += here
            taken += min(here, room)
    return passed / (TICKS / 2), taken / (TICKS / 2)


def test_all_are_passed_on_while_others_have_room():
    assert play(OffloadLimiter(), 100, 100) == (100, 100)


def test_little_more_is_passed_on_than_others_take():
    """Callers wait for a refusal that this router could give at once."""
    passed, taken = play(OffloadLimiter(), 100, 20)
    assert taken > 0.9 * 20
    assert passed < 3 * 20


def test_room_that_others_have_again_is_found():
    rate = OffloadLimiter()
    passed, taken = play(rate, 100, 0)
    assert taken == 0
    assert passed <= 2 * MIN_OFFLOADS
    assert play(rate, 100, 100) == (100, 100)
