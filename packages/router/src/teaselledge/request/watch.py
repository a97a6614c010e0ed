"""Close a response that stalls, or whose slot the dispatcher reclaims."""

import asyncio

from teaselledge.connection.endpoint import EndpointResponse

__all__ = ["StreamWatchdog"]

STALL_TIMEOUT_SECONDS = 60.0
"""Time without a byte after which a response is closed.

A hanging endpoint keeps its connection open, so its streams would occupy their
slots for ever without this limit.
"""


class StreamWatchdog:
    """Closes a response that stalls or is preempted.

    A separate task waits for the preemption and a timer checks for stalls, so
    that relaying a chunk costs no more than storing the time.
    """

    def __init__(
        self, response: EndpointResponse, preempted: asyncio.Event | None
    ) -> None:
        self._response = response
        self._loop = asyncio.get_running_loop()
        self._last_activity = self._loop.time()
        self._timer = self._loop.call_later(STALL_TIMEOUT_SECONDS, self._check_stall)
        self._task: asyncio.Task[None] | None = None
        self.preempted = False
        if preempted is not None:
            self._task = asyncio.create_task(self._close_on_preemption(preempted))

    def record_activity(self) -> None:
        """Record that a chunk was received."""
        self._last_activity = self._loop.time()

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    async def _close_on_preemption(self, preempted: asyncio.Event) -> None:
        await preempted.wait()
        self.preempted = True
        self._response.close()

    def _check_stall(self) -> None:
        idle = self._loop.time() - self._last_activity
        if idle >= STALL_TIMEOUT_SECONDS:
            self._response.close()
            return
        self._timer = self._loop.call_later(
            STALL_TIMEOUT_SECONDS - idle, self._check_stall
        )
