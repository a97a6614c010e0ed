"""In-memory double of the platform's VM list, which shows changes with a delay."""

import asyncio
from dataclasses import replace

from expression import Error, Ok, Result
from teaselledge.platform import StoreError, StoreErrorKind, VmEntry, VmList

from teaselledge_standins.faults import StoreFaults

__all__ = ["MemoryVms"]


class MemoryVms(VmList):
    """In-memory VM list that shows each change after a delay.

    Parameters
    ----------
    lag : float
        Seconds until a change is visible.
    """

    def __init__(self, lag: float = 0.0) -> None:
        self.faults = StoreFaults()
        self._lag = lag
        self._shown: dict[str, VmEntry] = {}

    def add(self, entry: VmEntry) -> None:
        """Add or replace a VM."""
        self._schedule(entry.vm, entry)

    def remove(self, vm: str) -> None:
        """Remove a VM."""
        self._schedule(vm, None)

    def mark_leaving(self, vm: str) -> None:
        """Mark a VM as about to be removed."""
        entry = self._shown.get(vm)
        if entry is not None:
            self._schedule(vm, replace(entry, leaving=True))

    async def list(self) -> Result[list[VmEntry], StoreError]:
        """Read the list."""
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, "down"))
        return Ok(list(self._shown.values()))

    def _schedule(self, vm: str, entry: VmEntry | None) -> None:
        if self._lag <= 0:
            self._show(vm, entry)
            return
        asyncio.get_running_loop().call_later(self._lag, self._show, vm, entry)

    def _show(self, vm: str, entry: VmEntry | None) -> None:
        if entry is None:
            self._shown.pop(vm, None)
            return
        self._shown[vm] = entry
