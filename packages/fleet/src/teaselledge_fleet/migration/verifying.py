"""Verify that an endpoint still runs the software version of its entry."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.store import StateStore

__all__ = ["VersionVerifier"]

_log = get_log("streams")

READ_SECONDS = 0.4
"""Time to wait for the store, which responds in 4 ms."""

SUSPICION_SECONDS = 30.0
"""Time for which a lost connection is taken for a restart while the store is away."""


@dataclass(frozen=True)
class _LostConnection:
    """A connection that an endpoint's process closed, reset or refused."""

    started_ms: int
    at: float


class VersionVerifier:
    """Reads an endpoint's entry from the store before a stream goes on there.

    An engine may start again under its id with another version, and the entry that a
    router knows is up to a second old, or as old as an outage of the store. An engine
    announces its start before it serves, so that an entry which is read just before
    the connection is opened is that of the same process, but for some milliseconds.

    Parameters
    ----------
    store : StateStore
        Store that holds the entries.
    is_in_contact : callable, optional
        Returns whether another router answers this one. One that is cut off from the
        store and the others can't hear of a restart.
    clock : callable, optional
        Returns the loop time.
    """

    def __init__(
        self,
        store: StateStore,
        is_in_contact: Callable[[], Awaitable[bool]] | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._store = store
        self._is_in_contact = is_in_contact
        self._clock = clock or (lambda: asyncio.get_running_loop().time())
        self._lost: dict[str, _LostConnection] = {}

    def on_connection_lost(self, endpoint: Endpoint) -> None:
        """Record that an endpoint's process may have ended."""
        oldest = self._clock() - SUSPICION_SECONDS
        self._lost = {
            name: each for name, each in self._lost.items() if each.at > oldest
        }
        self._lost[endpoint.id] = _LostConnection(endpoint.started_ms, self._clock())

    async def has_version(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint to which a stream is to be sent has its entry's version.

        If the store can't be read, it has unless this router is cut off, or has lost a
        connection to the same process.
        """
        try:
            async with asyncio.timeout(READ_SECONDS):
                read = await self._store.endpoint(endpoint.id)
        except TimeoutError:
            return await self._has_version_unread(endpoint)
        if read.is_error():
            return await self._has_version_unread(endpoint)
        current = read.ok
        if current is not None and current.version == endpoint.version:
            return True
        _log.info(
            "endpoint has another version",
            endpoint=endpoint.id,
            known=endpoint.version,
            current=current.version if current is not None else None,
        )
        return False

    async def _has_version_unread(self, endpoint: Endpoint) -> bool:
        if self._is_suspected(endpoint):
            return False
        return self._is_in_contact is None or await self._is_in_contact()

    def _is_suspected(self, endpoint: Endpoint) -> bool:
        lost = self._lost.get(endpoint.id)
        return (
            lost is not None
            and lost.started_ms == endpoint.started_ms
            and self._clock() - lost.at <= SUSPICION_SECONDS
        )
