"""List the engines of a service with the least backlog.

Addresses services with more engines than a prompt considers. Knows the backlog of each
engine that other routers report, and decides which ones are considered besides those in
the prompt's rendezvous order.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from teaselledge_fleet.process.endpoints import Endpoint

__all__ = ["LeastBacklog"]

MIN_REFRESH_SECONDS = 0.1
REFRESH_SECONDS_PER_ENGINE = 0.001
"""Minimum time between two refreshes of a list, and for each engine of the service.

A refresh takes about 3 us for each engine, so all lists together take at most 0.3% of a
core; that of 70 engines is refreshed every 0.1 s."""

LIST_LENGTH = 16
"""Engines in a list, several times those considered: some of them are in the rendezvous
order anyway, and others may not be used by a request."""


@dataclass(frozen=True)
class _Refreshed:
    at: float
    engines: list[Endpoint]


class LeastBacklog:
    """Lists the engines of each service in the order of their backlog.

    Parameters
    ----------
    backlog : callable
        Returns the backlog of an engine in seconds.
    """

    def __init__(self, backlog: Callable[[Endpoint], float]) -> None:
        self._backlog = backlog
        self._lists: dict[str, _Refreshed] = {}

    def engines(
        self, service: str, of_service: Sequence[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return some engines with the least backlog, as it was a moment ago.

        Parameters
        ----------
        service : str
            The service.
        of_service : sequence of Endpoint
            All of its engines.
        now : float
            Loop time.
        """
        refreshed = self._lists.get(service)
        interval = max(
            MIN_REFRESH_SECONDS, len(of_service) * REFRESH_SECONDS_PER_ENGINE
        )
        if refreshed is None or now - refreshed.at >= interval:
            refreshed = _Refreshed(now, self._least(of_service))
            self._lists[service] = refreshed
        return refreshed.engines

    def _least(self, engines: Sequence[Endpoint]) -> list[Endpoint]:
        # in random order among equals, as all routers would else choose the same ones
        return heapq.nsmallest(
            LIST_LENGTH, engines, key=lambda e: (self._backlog(e), random.random())
        )
