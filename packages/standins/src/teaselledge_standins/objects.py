"""In-memory double of the platform's object store."""

import asyncio

from expression import Error, Ok, Result
from teaselledge.platform import ObjectStore, StoreError, StoreErrorKind

from teaselledge_standins.faults import StoreFaults

__all__ = ["MemoryObjects"]


class MemoryObjects(ObjectStore):
    """In-memory objects with fault switches."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self._objects: dict[str, bytes] = {}

    async def put(self, key: str, data: bytes) -> Result[None, StoreError]:
        """Store an object."""
        error = await self._apply_faults()
        if error is not None:
            return Error(error)
        self._objects[key] = data
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Error(StoreError(StoreErrorKind.UNCERTAIN, "answer lost"))
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, StoreError]:
        """Read an object."""
        error = await self._apply_faults()
        if error is not None:
            return Error(error)
        return Ok(self._objects.get(key))

    async def delete(self, key: str) -> Result[None, StoreError]:
        """Remove an object."""
        error = await self._apply_faults()
        if error is not None:
            return Error(error)
        self._objects.pop(key, None)
        return Ok(None)

    async def _apply_faults(self) -> StoreError | None:
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            return StoreError(StoreErrorKind.UNAVAILABLE, "down")
        return None
