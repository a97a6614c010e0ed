"""Tests of random graceful shutdowns."""

import asyncio

import looptime
from teaselledge.process.drain import Drain
from teaselledge_standins.virtual.leaving import run_drain_scenario


def run_seed(seed):
    def loop():
        return looptime.new_event_loop(noop_cycles=0)

    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(run_drain_scenario(seed))


def test_shutdown_of_routers_cuts_no_response():
    """Two of four routers shut down with open streams and queued requests, while the
    store fails or frames are lost. Every caller gets its complete response or a
    correct refusal, and both shutdowns complete before their deadline.
    """
    for seed in (1, 2, 3):
        report = run_seed(seed)
        assert report.answered > 0 and report.refused > 0
        assert (report.cut, report.false_no, report.not_whole) == (0, 0, 0), seed


def test_shutdown_that_does_not_wait_is_detected():
    """A router that stops as soon as it refuses new requests breaks the streams of its
    callers; the report must count them.
    """
    original_wait = Drain.wait

    async def wait_for_nothing(self):
        self._in_progress = lambda: 0
        return await original_wait(self)

    Drain.wait = wait_for_nothing
    try:
        assert run_seed(1).cut > 0
    finally:
        Drain.wait = original_wait
