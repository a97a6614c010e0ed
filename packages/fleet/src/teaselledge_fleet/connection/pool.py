"""Idle connections to endpoints, for reuse."""

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from teaselledge_fleet.connection.endpoint import EndpointConnection, SendFailure

__all__ = ["ConnectionPool", "PoolLimits"]


@dataclass(frozen=True)
class PoolLimits:
    """When an idle connection may be used again.

    Attributes
    ----------
    idle_seconds : float
        Longest idle time where the endpoint tells none.
    margin_seconds : float
        A connection is not used in the last part of the time that the endpoint
        told: its close and the request could cross on the way, which takes at most
        23 ms, and the endpoint counts from the last byte that it sent.
    at_most_once_idle_seconds : float
        Longest idle time before a request that runs at most once. Endpoints drop
        idle connections early at times, and such a request could not be sent again.
    """

    idle_seconds: float = 4.0
    margin_seconds: float = 0.5
    at_most_once_idle_seconds: float = 0.8


class ConnectionPool:
    """Keeps the connections of this router to all endpoints."""

    def __init__(self, limits: PoolLimits | None = None) -> None:
        self._limits = limits or PoolLimits()
        self._open: dict[str, list[EndpointConnection]] = defaultdict(list)
        self._caps: Mapping[str, int] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    def count(self, address: str) -> int:
        """Return the open connections to an endpoint."""
        return len(self._sweep(address))

    async def acquire(
        self, address: str, at_most_once: bool
    ) -> Result[EndpointConnection, SendFailure]:
        """Return an idle connection or a new one.

        Parameters
        ----------
        address : str
            The endpoint's ``host:port``.
        at_most_once : bool
            Whether the request may run at most once.
        """
        connection = self._find(address, at_most_once)
        if connection is not None:
            return Ok(connection)
        self._shrink(address, self._caps.get(address, 1))
        opened = await EndpointConnection.open(address)
        if opened.is_error():
            return Error(opened.error)
        self._opened += 1
        self._open[address].append(opened.ok)
        return Ok(opened.ok)

    def set_connection_limits(self, limits: Mapping[str, int]) -> None:
        """Take how many connections to keep open, by address of the endpoint.

        An endpoint accepts a number of connections from all routers together and
        resets those beyond it, with the requests on them. Idle connections to
        addresses without a number are closed: another endpoint may take them over.
        """
        self._caps = limits
        for address in list(self._open):
            self._shrink(address, limits.get(address, 0))

    def _shrink(self, address: str, cap: int) -> None:
        """Close the longest idle connections beyond a number."""
        alive = self._sweep(address)
        idle = sorted((c for c in alive if c.idle), key=lambda c: c.idle_since)
        for connection in idle[: max(0, len(alive) - cap)]:
            connection.close()
        if not self._sweep(address):
            del self._open[address]

    def close(self) -> None:
        """Close all connections."""
        for connections in self._open.values():
            for connection in connections:
                connection.close()
        self._open.clear()

    def _find(self, address: str, once: bool) -> EndpointConnection | None:
        now = asyncio.get_running_loop().time()
        found = None
        for connection in self._sweep(address):
            if not connection.idle:
                continue
            idle = now - connection.idle_since
            if idle > self._longest(connection):
                connection.close()
                continue
            if once and idle > self._limits.at_most_once_idle_seconds:
                continue
            # the latest one, so that the others can time out
            if found is None or connection.idle_since > found.idle_since:
                found = connection
        return found

    def _longest(self, connection: EndpointConnection) -> float:
        told = connection.keep_alive_seconds
        if told is None:
            return self._limits.idle_seconds
        return max(0.0, told - self._limits.margin_seconds)

    def _sweep(self, address: str) -> list[EndpointConnection]:
        alive = [each for each in self._open[address] if not each.closed]
        self._open[address] = alive
        return alive
