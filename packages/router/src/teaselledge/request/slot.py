"""A wait for a slot that can be cancelled."""

import asyncio

from expression import Result

from teaselledge.errors import Fault
from teaselledge.process.ingress import Ingress, SlotGrant, SlotRequest

__all__ = ["SlotWait"]


class SlotWait:
    """Waits for a slot in a task of its own, so that a claim can be written meanwhile.

    Attributes
    ----------
    task : asyncio.Task
        Task whose result is that of the ingress.
    cancelled : bool
        Whether the wait was cancelled.
    wait_seconds : float
        Duration of the wait, set once the task is done.
    """

    def __init__(self, ingress: Ingress, slot_request: SlotRequest) -> None:
        self._ingress = ingress
        self._used = False
        self.cancelled = False
        self.wait_seconds = 0.0
        self._started_at = asyncio.get_running_loop().time()
        self.task = asyncio.create_task(ingress.acquire(slot_request))
        self.task.add_done_callback(self._record_wait)

    async def acquire(self) -> Result[SlotGrant, Fault]:
        """Wait for the slot; the caller of this method has to release it."""
        result = await self.task
        self._used = True
        return result

    def cancel(self) -> None:
        """Stop waiting, and release the slot if it was granted but not used."""
        self.cancelled = True
        if self._used or self.task.cancel() or self.task.cancelled():
            return
        result = self.task.result()
        if result.is_ok():
            self._used = True
            self._ingress.release(result.ok, 0.0, False)

    def _record_wait(self, task: "asyncio.Task[Result[SlotGrant, Fault]]") -> None:
        self.wait_seconds = asyncio.get_running_loop().time() - self._started_at
