"""Find out whether an endpoint that closed a connection has ended."""

import asyncio
from typing import Protocol

from teaselledge_fleet.connection.endpoint import SendFault
from teaselledge_fleet.connection.pool import ConnectionPool

__all__ = ["EndpointProbe", "PoolProbe"]

CHECK_DELAYS_SECONDS = (0.005, 0.02, 0.075)
"""Times before the checks, the first one after the close of a connection. On a busy VM
a process that ends closes its connections and its listener within milliseconds, not at
once."""


class EndpointProbe(Protocol):
    """Tells endpoints that ended from those that closed one connection."""

    async def has_ended(self, address: str) -> bool:
        """Whether it is certain that nothing listens at an address any more."""


class PoolProbe:
    """Looks at the connections to an endpoint, and connects if none is left.

    A process that ends closes all its connections, and the system refuses new ones. An
    endpoint that is silent or out of reach refuses none.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to endpoints. A connection that the probe opens stays there.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def has_ended(self, address: str) -> bool:
        """Whether the endpoint has no open connection and refuses a new one."""
        for delay in CHECK_DELAYS_SECONDS:
            await asyncio.sleep(delay)
            if self._pool.count(address):
                continue
            acquired = await self._pool.acquire(address, at_most_once=True)
            if acquired.is_error():
                return acquired.error.fault is SendFault.REFUSED
        return False
