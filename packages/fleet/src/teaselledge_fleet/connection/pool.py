"""Idle connections to endpoints, for reuse."""

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from teaselledge_fleet.connection.endpoint import EndpointConnection, SendFailure
from teaselledge_fleet.connection.sendbuffers import SendBufferLimits, SendBuffers

__all__ = ["ConnectionPool", "PoolLimits"]


@dataclass(frozen=True)
class PoolLimits:
    """Limits on the reuse of idle connections.

    Attributes
    ----------
    idle_seconds : float
        Maximum idle time if the endpoint does not announce one.
    margin_seconds : float
        Time before the end of the announced keep-alive time in which a connection is
        no longer used. The endpoint measures it from the last byte that it sent, and
        its close could cross with a request on the way, which takes at most 23 ms.
    at_most_once_idle_seconds : float
        Maximum idle time before a request that may run at most once. Endpoints
        sometimes close idle connections early, and such a request can't be retried.
    """

    idle_seconds: float = 4.0
    margin_seconds: float = 0.5
    at_most_once_idle_seconds: float = 0.8


class ConnectionPool:
    """Holds this router's connections to all endpoints."""

    def __init__(
        self,
        limits: PoolLimits | None = None,
        send_buffers: SendBuffers | None = None,
    ) -> None:
        self._limits = limits or PoolLimits()
        self._send_buffers = send_buffers or SendBuffers(SendBufferLimits.from_memory())
        self._connections: dict[str, list[EndpointConnection]] = defaultdict(list)
        self._connection_limits: Mapping[str, int] = {}
        self._opened_count = 0

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened_count

    def count(self, address: str) -> int:
        """Return the number of open connections to an endpoint."""
        return len(self._open_connections(address))

    async def acquire(
        self, address: str, at_most_once: bool
    ) -> Result[EndpointConnection, SendFailure]:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        address : str
            The endpoint's ``host:port``.
        at_most_once : bool
            Whether the request may run at most once.
        """
        connection = self._find_idle(address, at_most_once)
        if connection is not None:
            return Ok(connection)
        self._close_excess(address, self._connection_limits.get(address, 1))
        opened = await EndpointConnection.open(address, self._send_buffers)
        if opened.is_error():
            return Error(opened.error)
        self._opened_count += 1
        self._connections[address].append(opened.ok)
        return Ok(opened.ok)

    def set_connection_limits(self, limits: Mapping[str, int]) -> None:
        """Set the number of connections to keep open to each endpoint, by address.

        An endpoint accepts a limited number of connections from all routers together
        and resets those beyond it, with the requests on them. Idle connections to
        addresses without a limit are closed, as another endpoint may start there.
        """
        self._connection_limits = limits
        for address in list(self._connections):
            self._close_excess(address, limits.get(address, 0))

    def _close_excess(self, address: str, limit: int) -> None:
        """Close the connections idle for longest, down to a limit if possible."""
        open_connections = self._open_connections(address)
        idle = sorted(
            (c for c in open_connections if c.idle), key=lambda c: c.idle_since
        )
        for connection in idle[: max(0, len(open_connections) - limit)]:
            connection.close()
        if not self._open_connections(address):
            del self._connections[address]

    def close(self) -> None:
        """Close all connections."""
        for connections in self._connections.values():
            for connection in connections:
                connection.close()
        self._connections.clear()

    def _find_idle(self, address: str, at_most_once: bool) -> EndpointConnection | None:
        now = asyncio.get_running_loop().time()
        latest = None
        for connection in self._open_connections(address):
            if not connection.idle:
                continue
            idle_seconds = now - connection.idle_since
            if idle_seconds > self._max_idle_seconds(connection):
                connection.close()
                continue
            if at_most_once and idle_seconds > self._limits.at_most_once_idle_seconds:
                continue
            # reuses the one used last, so that the others can time out
            if latest is None or connection.idle_since > latest.idle_since:
                latest = connection
        return latest

    def _max_idle_seconds(self, connection: EndpointConnection) -> float:
        keep_alive = connection.keep_alive_seconds
        if keep_alive is None:
            return self._limits.idle_seconds
        return max(0.0, keep_alive - self._limits.margin_seconds)

    def _open_connections(self, address: str) -> list[EndpointConnection]:
        """Return the open connections to an endpoint, and drop closed ones."""
        open_connections = [
            connection
            for connection in self._connections[address]
            if not connection.closed
        ]
        self._connections[address] = open_connections
        return open_connections
