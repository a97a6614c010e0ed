"""Model of the narrow link between two regions, which all traffic shares."""

import asyncio

__all__ = ["ModelLink"]


class ModelLink:
    """Transfers bytes in order of arrival, one direction of a link.

    Parameters
    ----------
    bytes_per_second : float
        Its rate.
    latency : float
        Time that a byte takes besides, in seconds.
    """

    def __init__(self, bytes_per_second: float, latency: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._latency = latency
        self._free_at = 0.0

    def enqueue(self, size: int) -> float:
        """Send some bytes; return the seconds until they have arrived."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_second
        return self._free_at - now + self._latency

    async def transfer(self, size: int) -> None:
        """Send some bytes and wait until they have arrived."""
        await asyncio.sleep(self.enqueue(size))
