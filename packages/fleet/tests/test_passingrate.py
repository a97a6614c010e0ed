"""Tests of the limit of offloaded connections."""

from teaselledge_fleet.process.passingrate import MIN_OFFLOADS, OffloadLimiter

TICKS = 50


def simulate(
    limiter: OffloadLimiter, arrivals: int, capacity: int
) -> tuple[float, float]:
    """Return the connections offloaded and accepted a tick, in the second half."""
    offloaded = accepted = 0
    for tick in range(TICKS):
        limiter.start_tick()
        offloaded_in_tick = 0
        while offloaded_in_tick < arrivals and limiter.allowed:
            limiter.record_offload()
            offloaded_in_tick += 1
        for _ in range(max(0, offloaded_in_tick - capacity)):
            limiter.record_refusal()
        if tick >= TICKS / 2:
            offloaded += offloaded_in_tick
            accepted += min(offloaded_in_tick, capacity)
    return offloaded / (TICKS / 2), accepted / (TICKS / 2)


def test_all_connections_are_offloaded_while_others_have_room():
    assert simulate(OffloadLimiter(), 100, 100) == (100, 100)


def test_little_more_is_offloaded_than_others_accept():
    """Callers would wait for a refusal that this router could send at once."""
    offloaded, accepted = simulate(OffloadLimiter(), 100, 20)
    assert accepted > 0.9 * 20
    assert offloaded < 3 * 20


def test_the_limit_is_lifted_when_others_have_room_again():
    limiter = OffloadLimiter()
    offloaded, accepted = simulate(limiter, 100, 0)
    assert accepted == 0
    assert offloaded <= 2 * MIN_OFFLOADS
    assert simulate(limiter, 100, 100) == (100, 100)
