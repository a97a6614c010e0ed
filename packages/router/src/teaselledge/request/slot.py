"""A slot that is asked for, and given back unless it is used."""

import asyncio

from expression import Result

from teaselledge.errors import Fault
from teaselledge.process.ingress import Ingress, SlotGrant, SlotRequest

__all__ = ["SlotWait"]


class SlotWait:
    """One wait for a slot, beside other things that have to happen first.

    Attributes
    ----------
    task : asyncio.Task
        Ends with the ingress's answer.
    cancelled : bool
        Whether the wait was given up.
    wait_seconds : float
        Seconds that the wait took, once it is over.
    """

    def __init__(self, ingress: Ingress, ticket: SlotRequest) -> None:
        self._ingress = ingress
        self._used = False
        self.cancelled = False
        self.wait_seconds = 0.0
        self._since = asyncio.get_running_loop().time()
        self.task = asyncio.create_task(ingress.acquire(ticket))
        self.task.add_done_callback(self._note)

    async def acquire(self) -> Result[SlotGrant, Fault]:
        """Wait for the slot and use it."""
        result = await self.task
        self._used = True
        return result

    def cancel(self) -> None:
        """Stop waiting, and give the slot back if it is there."""
        self.cancelled = True
        if self._used or self.task.cancel() or self.task.cancelled():
            return
        result = self.task.result()
        if result.is_ok():
            self._used = True
            self._ingress.release(result.ok, 0.0, False)

    def _note(self, task: "asyncio.Task[Result[SlotGrant, Fault]]") -> None:
        self.wait_seconds = asyncio.get_running_loop().time() - self._since
