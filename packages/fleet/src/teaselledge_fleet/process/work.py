"""What the whole fleet has under way at each endpoint."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

__all__ = ["FleetWork", "Work", "key_of"]

FORGET_SECONDS = 2.0
"""Time after which the work that a silent router told of counts no more.

Its requests end within some seconds, and a router that was cut off would otherwise
keep engines looking busy.
"""

KEY_BITS = 31
"""Of two names in 3,000, one in 500 fleets would share a number; their loads would
then be added up."""


def key_of(name: str) -> int:
    """Return the number by which routers name an endpoint or an organisation."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> (64 - KEY_BITS)


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

    def __add__(self, other: "Work") -> "Work":
        return Work(self.running + other.running, self.reading + other.reading)


@dataclass(frozen=True)
class _Told:
    at: float
    work: dict[int, Work]


class FleetWork:
    """Adds up what this router and all others have under way.

    Each router knows its own requests exactly, and those of the others as they were
    at their last pulse.
    """

    def __init__(self) -> None:
        self._own: defaultdict[str, Work] = defaultdict(Work)
        self._told: dict[str, _Told] = {}
        self.unheard = 1.0
        """Routers there are for each one whose work is known, this one included."""

    def own(self, endpoint: str) -> Work:
        """Return what this router has at an endpoint, to be changed in place."""
        return self._own[endpoint]

    def total(self, endpoint: str) -> Work:
        """Return what all routers together have at an endpoint."""
        total = self._own[endpoint]
        oldest = self._now() - FORGET_SECONDS
        key = key_of(endpoint)
        for told in self._told.values():
            work = told.work.get(key)
            if work is not None and told.at >= oldest:
                total = total + work
        return Work(round(total.running * self.unheard), total.reading * self.unheard)

    def keep(self, endpoints: Iterable[str]) -> None:
        """Forget endpoints that are gone and at which nothing runs."""
        kept = set(endpoints)
        for name in list(self._own):
            if name not in kept and self._own[name].running <= 0:
                del self._own[name]

    def own_by_key(self) -> dict[int, Work]:
        """Return this router's work by endpoint."""
        return {key_of(name): work for name, work in self._own.items() if work.running}

    def from_sources(self, sources: Iterable[str]) -> dict[int, Work]:
        """Return the sum of what some sources told lately."""
        oldest = self._now() - FORGET_SECONDS
        total: defaultdict[int, Work] = defaultdict(Work)
        for source in sources:
            told = self._told.get(source)
            if told is None or told.at < oldest:
                continue
            for key, work in told.work.items():
                total[key] = total[key] + work
        return dict(total)

    def keep_source(self, source: str) -> None:
        """Forget all sources but one."""
        self._told = {name: t for name, t in self._told.items() if name == source}

    def hear(self, source: str, work: dict[int, Work]) -> None:
        """Take the work that a source tells of."""
        self._told[source] = _Told(self._now(), work)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
