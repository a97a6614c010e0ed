"""What the whole fleet has under way at each endpoint."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash
from teaselledge_wire.gen.fleet.ttypes import EndpointWork

__all__ = ["FleetWork", "key_of"]

FORGET_SECONDS = 2.0
"""Time after which the work that a silent router told of counts no more.

Its requests end within some seconds, and a router that was cut off would otherwise
keep engines looking busy.
"""

KEY_BITS = 63


def key_of(name: str) -> int:
    """Return the number by which routers name an endpoint or an organisation."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> (64 - KEY_BITS)


@dataclass(frozen=True)
class _Told:
    at: float
    work: dict[int, EndpointWork]


class FleetWork:
    """Adds up what this router and all others have under way.

    Each router knows its own requests exactly, and those of the others as they were
    at their last pulse.
    """

    def __init__(self) -> None:
        self._own: Counter[str] = Counter()
        self._told: dict[str, _Told] = {}

    def begin(self, endpoint: str) -> None:
        """Count a request of this router."""
        self._own[endpoint] += 1

    def end(self, endpoint: str) -> None:
        """Count a request of this router no more."""
        self._own[endpoint] -= 1

    def running(self, endpoint: str) -> int:
        """Return the requests of all routers together at an endpoint."""
        total = self._own[endpoint]
        oldest = self._now() - FORGET_SECONDS
        key = key_of(endpoint)
        for told in self._told.values():
            entry = told.work.get(key)
            if entry is not None and told.at >= oldest:
                total += entry.running or 0
        return total

    def keep(self, endpoints: Iterable[str]) -> None:
        """Forget endpoints that are gone and at which nothing runs."""
        kept = set(endpoints)
        for name in list(self._own):
            if name not in kept and self._own[name] <= 0:
                del self._own[name]

    @property
    def own(self) -> Mapping[str, int]:
        """This router's requests by endpoint."""
        return self._own

    def hear(self, vm: str, work: Iterable[EndpointWork]) -> None:
        """Take another router's work."""
        by_key = {entry.endpoint: entry for entry in work}
        self._told[vm] = _Told(self._now(), by_key)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
