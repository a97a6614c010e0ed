"""An event loop with a virtual clock, for long runs."""

import asyncio

import looptime

__all__ = ["virtual_loop"]


def virtual_loop() -> asyncio.AbstractEventLoop:
    """Return a loop whose clock jumps to the next timer once nothing is ready.

    looptime runs 42 idle iterations of the loop before each jump, for code that
    depends on other threads. No such code runs here, and these iterations would
    take most of the time.
    """
    return looptime.new_event_loop(start=0, noop_cycles=0)
