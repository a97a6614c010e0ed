"""Tests of random graceful shutdowns."""

import asyncio

import looptime
from teaselledge.process.drain import Drain
from teaselledge_standins.virtual.leaving import run_drain_scenario


def verdict_of(seed):
    def loop():
        return looptime.new_event_loop(noop_cycles=0)

    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(run_drain_scenario(seed))


def test_routers_that_leave_cut_nothing():
    """Two of four routers leave while streams run and requests wait, and the store
    fails or frames are lost meanwhile. Every caller gets its whole answer or a true
    refusal, and both processes end by themselves.
    """
    for seed in (1, 2, 3):
        verdict = verdict_of(seed)
        assert verdict.answered > 0 and verdict.refused > 0
        assert (verdict.cut, verdict.false_no, verdict.not_whole) == (0, 0, 0), seed


def test_shutdown_that_does_not_wait_is_caught():
    """A router ends as soon as it refuses new requests. Its callers' streams break,
    and the count has to show it.
    """
    whole = Drain.wait

    async def hasty(self):
        self._in_progress = lambda: 0
        return await whole(self)

    Drain.wait = hasty
    try:
        assert verdict_of(1).cut > 0
    finally:
        Drain.wait = whole
