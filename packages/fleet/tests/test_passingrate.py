"""Tests of the limit of offloaded connections."""

from collections import deque

from teaselledge_fleet.process.passingrate import (
    MIN_OFFLOADS,
    RESPONSE_TICKS,
    OffloadLimiter,
)

TICKS = 50


def simulate(
    limiter: OffloadLimiter, arrivals: int, capacity: int, delay_ticks: int = 0
) -> tuple[float, float]:
    """Return the connections offloaded and accepted a tick, in the second half.

    Other routers refuse those beyond their capacity some ticks later.
    """
    offloaded = accepted = 0
    refusals: deque[list[int]] = deque([] for _ in range(delay_ticks))
    for tick in range(TICKS):
        limiter.start_tick()
        ticks_of_offloads = []
        while len(ticks_of_offloads) < arrivals and limiter.allowed:
            ticks_of_offloads.append(limiter.record_offload())
        refusals.append(ticks_of_offloads[capacity:])
        for tick_number in refusals.popleft():
            limiter.record_refusal(tick_number)
        if tick >= TICKS / 2:
            offloaded += len(ticks_of_offloads)
            accepted += min(len(ticks_of_offloads), capacity)
    return offloaded / (TICKS / 2), accepted / (TICKS / 2)


def test_all_connections_are_offloaded_while_others_have_room():
    assert simulate(OffloadLimiter(), 100, 100) == (100, 100)


def test_little_more_is_offloaded_than_others_accept():
    """Callers would wait for a refusal that this router could send at once."""
    offloaded, accepted = simulate(OffloadLimiter(), 100, 20)
    assert accepted > 0.9 * 20
    assert offloaded < 3 * 20


def test_others_are_used_though_their_refusals_arrive_late():
    """Those of a burst stopped offloading for a second, and the next burst followed."""
    offloaded, accepted = simulate(OffloadLimiter(), 130, 30, delay_ticks=2)
    assert accepted > 0.9 * 30
    assert offloaded < 3 * 30


def test_refusals_that_arrive_after_their_tick_was_evaluated_are_ignored():
    """They raised an error, and the responses of their relays were lost."""
    offloaded, _ = simulate(OffloadLimiter(), 100, 20, delay_ticks=RESPONSE_TICKS + 5)
    assert offloaded == 100


def test_the_limit_is_lifted_when_others_have_room_again():
    limiter = OffloadLimiter()
    offloaded, accepted = simulate(limiter, 100, 0)
    assert accepted == 0
    assert offloaded <= 2 * MIN_OFFLOADS
    assert simulate(limiter, 100, 100) == (100, 100)
