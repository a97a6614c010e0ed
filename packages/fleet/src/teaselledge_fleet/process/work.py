"""Load of the whole fleet at each endpoint."""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from teaselledge_fleet.process.sources import EXPIRY_SECONDS, StatsBySource

__all__ = ["FleetLoad", "EndpointLoad", "name_hash"]

SUM_CACHE_SECONDS = 0.1
"""Time for which the sum of reported loads is cached.

It is then computed again, as some reports may have expired. A request considers all
endpoints; a sum for each took 3 ms of 45."""

REMOTE_LOAD_TTL_SECONDS = 0.5
"""Time for which a load from an admission reply is preferred to that of heartbeats.

Those are up to 0.8 s old in a large fleet."""

NAME_HASH_BITS = 31
"""Bits of a name's hash.

With 3,000 names, two share a hash in one of 500 fleets; their loads would then be added
up."""


@lru_cache(maxsize=8192)
def name_hash(name: str) -> int:
    """Return the hash that stands for an endpoint or organisation in messages."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> (64 - NAME_HASH_BITS)


@dataclass(frozen=True)
class EndpointLoad:
    """Load at one endpoint.

    Attributes
    ----------
    in_flight : int
        Requests that were sent and have not ended.
    prefill_seconds : float
        Total prefill time of those whose response has not begun.
    """

    in_flight: int = 0
    prefill_seconds: float = 0.0

    def __add__(self, other: "EndpointLoad") -> "EndpointLoad":
        return EndpointLoad(
            self.in_flight + other.in_flight,
            self.prefill_seconds + other.prefill_seconds,
        )

    def subtract(self, other: "EndpointLoad") -> "EndpointLoad":
        """Return the difference, each value at least 0."""
        in_flight = max(0, self.in_flight - other.in_flight)
        return EndpointLoad(
            in_flight, max(0.0, self.prefill_seconds - other.prefill_seconds)
        )


@dataclass(frozen=True)
class _RemoteLoad:
    received_at: float
    load: EndpointLoad


class FleetLoad(StatsBySource[EndpointLoad]):
    """Tracks the load of this router and of all others at each endpoint.

    The load of this router is exact. That of the others comes with heartbeats from the
    endpoints' coordinators, and more up to date with each admission reply.
    """

    def __init__(self) -> None:
        super().__init__()
        self._local: defaultdict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self._remote: dict[str, _RemoteLoad] = {}
        self._changed: set[str] = set()
        self._change = asyncio.Event()
        self._sums: dict[int, EndpointLoad] = {}
        self._summed_at = -SUM_CACHE_SECONDS
        self.coordinated_load: Callable[[int], EndpointLoad] = lambda endpoint_hash: (
            EndpointLoad()
        )
        """Returns the fleet's load at an endpoint that this router coordinates."""
        self.extrapolation_factor = 1.0
        """Ratio of all routers to those whose load is known, this one included."""

    @property
    def active_endpoints(self) -> list[str]:
        """Endpoints at which this router has requests in flight."""
        return [name for name, load in self._local.items() if load.in_flight]

    def local(self, endpoint: str) -> EndpointLoad:
        """Return this router's load at an endpoint."""
        return self._local[endpoint]

    def add_local(self, endpoint: str, in_flight: int, prefill_seconds: float) -> None:
        """Add to this router's load at an endpoint; values may be negative."""
        self._local[endpoint] += EndpointLoad(in_flight, prefill_seconds)
        self._changed.add(endpoint)
        self._change.set()

    async def wait_for_change(self, seconds: float) -> None:
        """Wait for a change of load since `pop_changed`, at most for some seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._change.wait()

    def pop_changed(self) -> set[str]:
        """Return the endpoints whose load has changed since the last call."""
        self._change.clear()
        changed, self._changed = self._changed, set()
        return changed

    def record_remote(self, endpoint: str, load: EndpointLoad) -> None:
        """Record the load of all other routers, from an admission reply."""
        self._remote[endpoint] = _RemoteLoad(self._now(), load)

    def total(self, endpoint: str) -> EndpointLoad:
        """Return the load of all routers at an endpoint."""
        local = self._local[endpoint]
        remote = self._remote.get(endpoint)
        if (
            remote is not None
            and self._now() - remote.received_at < REMOTE_LOAD_TTL_SECONDS
        ):
            return local + remote.load
        # reported load includes that of this router; sums of `EndpointLoad` would take
        # twice as long, and each request considers a dozen endpoints
        in_flight, prefill_seconds = self._reported_load(name_hash(endpoint))
        in_flight = local.in_flight + max(0, in_flight - local.in_flight)
        prefill_seconds = local.prefill_seconds + max(
            0.0, prefill_seconds - local.prefill_seconds
        )
        factor = self.extrapolation_factor
        return EndpointLoad(round(in_flight * factor), prefill_seconds * factor)

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Drop the state of endpoints that no longer exist and have no load."""
        retained = set(endpoints)
        for name in list(self._local):
            if name not in retained and self._local[name].in_flight <= 0:
                del self._local[name]
                self._remote.pop(name, None)

    def remove_source(self, source: str) -> None:
        """Remove the load reported by a source."""
        super().remove_source(source)
        self._summed_at = -SUM_CACHE_SECONDS

    def retain_only_source(self, source: str) -> None:
        """Remove the load reported by all sources but one."""
        super().retain_only_source(source)
        self._summed_at = -SUM_CACHE_SECONDS

    def update_source(
        self,
        source: str,
        stats: dict[int, EndpointLoad],
        seconds: float = EXPIRY_SECONDS,
    ) -> None:
        """Set the load reported by a source; it expires after some seconds."""
        super().update_source(source, stats, seconds)
        self._summed_at = -SUM_CACHE_SECONDS

    def _reported_load(self, endpoint_hash: int) -> tuple[int, float]:
        """Return the requests and their prefill time at an endpoint."""
        now = self._now()
        if now - self._summed_at >= SUM_CACHE_SECONDS:
            self._sums, self._summed_at = self.sum_of_sources(), now
        coordinated, reported = (
            self.coordinated_load(endpoint_hash),
            self._sums.get(endpoint_hash),
        )
        if reported is None:
            return coordinated.in_flight, coordinated.prefill_seconds
        return (
            coordinated.in_flight + reported.in_flight,
            coordinated.prefill_seconds + reported.prefill_seconds,
        )
