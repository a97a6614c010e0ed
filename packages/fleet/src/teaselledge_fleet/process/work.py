"""What the whole fleet has under way at each endpoint."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash
from teaselledge_wire.gen.fleet.ttypes import EndpointWork

__all__ = ["FleetWork", "Work", "key_of"]

FORGET_SECONDS = 2.0
"""Time after which the work that a silent router told of counts no more.

Its requests end within some seconds, and a router that was cut off would otherwise
keep engines looking busy.
"""

KEY_BITS = 63


def key_of(name: str) -> int:
    """Return the number by which routers name an endpoint or an organisation."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> (64 - KEY_BITS)


MICROSECONDS = 1_000_000


@dataclass
class Work:
    """Requests at one endpoint.

    Attributes
    ----------
    running : int
        Sent and not ended.
    reading : float
        Time that an engine needs for the prompts of those that have not begun to
        answer, in seconds.
    """

    running: int = 0
    reading: float = 0.0


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
        self._own: defaultdict[str, Work] = defaultdict(Work)
        self._told: dict[str, _Told] = {}

    def own(self, endpoint: str) -> Work:
        """Return what this router has at an endpoint, to be changed in place."""
        return self._own[endpoint]

    def total(self, endpoint: str) -> Work:
        """Return what all routers together have at an endpoint."""
        own = self._own[endpoint]
        total = Work(own.running, own.reading)
        oldest = self._now() - FORGET_SECONDS
        key = key_of(endpoint)
        for told in self._told.values():
            entry = told.work.get(key)
            if entry is not None and told.at >= oldest:
                total.running += entry.running or 0
                total.reading += (entry.reading or 0) / MICROSECONDS
        return total

    def keep(self, endpoints: Iterable[str]) -> None:
        """Forget endpoints that are gone and at which nothing runs."""
        kept = set(endpoints)
        for name in list(self._own):
            if name not in kept and self._own[name].running <= 0:
                del self._own[name]

    def tell(self) -> list[EndpointWork]:
        """Return this router's work, for the others."""
        return [
            EndpointWork(
                key_of(name), work.running, max(0, int(work.reading * MICROSECONDS))
            )
            for name, work in self._own.items()
            if work.running
        ]

    def hear(self, vm: str, work: Iterable[EndpointWork]) -> None:
        """Take another router's work."""
        by_key = {entry.endpoint: entry for entry in work}
        self._told[vm] = _Told(self._now(), by_key)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
