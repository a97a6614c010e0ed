"""End an answer that stalls, or whose slot the dispatcher wants back."""

import asyncio

from teaselledge.connection.endpoint import EndpointResponse

__all__ = ["StreamWatchdog"]

STALL_SECONDS = 60.0
"""Time without a byte after which a stream counts as broken.

An endpoint that hangs keeps its connection open. One notices by streams that
stop for good; without a limit they would hold their slots for ever.
"""


class StreamWatchdog:
    """Closes an answer that stalls or is preempted.

    A task of its own waits for the preemption, and a timer looks for stalls,
    so that passing a part on costs no more than noting the time.
    """

    def __init__(
        self, answer: EndpointResponse, preempted: asyncio.Event | None
    ) -> None:
        self._answer = answer
        self._loop = asyncio.get_running_loop()
        self._last = self._loop.time()
        self._timer = self._loop.call_later(STALL_SECONDS, self._look)
        self._task: asyncio.Task[None] | None = None
        self.preempted = False
        if preempted is not None:
            self._task = asyncio.create_task(self._wait(preempted))

    def record_activity(self) -> None:
        """Note that a part came."""
        self._last = self._loop.time()

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    async def _wait(self, preempted: asyncio.Event) -> None:
        await preempted.wait()
        self.preempted = True
        self._answer.close()

    def _look(self) -> None:
        silent = self._loop.time() - self._last
        if silent >= STALL_SECONDS:
            self._answer.close()
            return
        self._timer = self._loop.call_later(STALL_SECONDS - silent, self._look)
