"""What the whole fleet has under way at each endpoint."""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from teaselledge_fleet.process.sources import EXPIRY_SECONDS, StatsBySource

__all__ = ["FleetLoad", "EndpointLoad", "name_hash"]

SUMMED_SECONDS = 0.1
"""Age at which the sum of what was told is made again, as some of it may be too old. A
request looks at all endpoints, and adding up for each one took 3 ms of 45."""

ANSWER_SECONDS = 0.5
"""Time for which an answer goes before what pulses tell; those are up to 0.8 s old in a
large fleet."""

KEY_BITS = 31
"""Of two names in 3,000, one in 500 fleets would share a number; their loads would
then be added up."""


@lru_cache(maxsize=8192)
def name_hash(name: str) -> int:
    """Return the number by which routers name an endpoint or an organisation."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> (64 - KEY_BITS)


@dataclass(frozen=True)
class EndpointLoad:
    """Requests at one endpoint.

    Attributes
    ----------
    in_flight : int
        Sent and not ended.
    prefill_seconds : float
        Time that an engine needs for the prompts of those that have not begun to
        answer, in seconds.
    """

    in_flight: int = 0
    prefill_seconds: float = 0.0

    def __add__(self, other: "EndpointLoad") -> "EndpointLoad":
        return EndpointLoad(
            self.in_flight + other.in_flight,
            self.prefill_seconds + other.prefill_seconds,
        )

    def subtract(self, other: "EndpointLoad") -> "EndpointLoad":
        """Return what is left without another's part, never below nothing."""
        running = max(0, self.in_flight - other.in_flight)
        return EndpointLoad(
            running, max(0.0, self.prefill_seconds - other.prefill_seconds)
        )


@dataclass(frozen=True)
class _Answered:
    at: float
    others: EndpointLoad


class FleetLoad(StatsBySource[EndpointLoad]):
    """Knows what this router has under way, and what all others have.

    Its own requests it knows exactly. Of the others it hears by pulse, from the routers
    that admit to the endpoints, and more freshly in the answer to each question.
    """

    def __init__(self) -> None:
        super().__init__()
        self._own: defaultdict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self._answered: dict[str, _Answered] = {}
        self._changed: set[str] = set()
        self._change = asyncio.Event()
        self._sums: dict[int, EndpointLoad] = {}
        self._summed_at = -SUMMED_SECONDS
        self.coordinated_load: Callable[[int], EndpointLoad] = lambda key: (
            EndpointLoad()
        )
        """What all routers have at an endpoint to which this router admits."""
        self.extrapolation_factor = 1.0
        """Routers there are for each one whose work is known, this one included."""

    @property
    def active_endpoints(self) -> list[str]:
        """Endpoints at which this router has work."""
        return [name for name, work in self._own.items() if work.in_flight]

    def local(self, endpoint: str) -> EndpointLoad:
        """Return what this router has at an endpoint."""
        return self._own[endpoint]

    def add_local(self, endpoint: str, running: int, reading: float) -> None:
        """Count more, or less, of this router's work at an endpoint."""
        self._own[endpoint] += EndpointLoad(running, reading)
        self._changed.add(endpoint)
        self._change.set()

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until work has changed since it was taken, for some seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._change.wait()

    def pop_changed(self) -> set[str]:
        """Return the endpoints whose work has changed since the last call."""
        self._change.clear()
        changed, self._changed = self._changed, set()
        return changed

    def record_remote(self, endpoint: str, others: EndpointLoad) -> None:
        """Take what all others have at an endpoint, as just answered."""
        self._answered[endpoint] = _Answered(self._now(), others)

    def total(self, endpoint: str) -> EndpointLoad:
        """Return what all routers together have at an endpoint."""
        own = self._own[endpoint]
        answered = self._answered.get(endpoint)
        if answered is not None and self._now() - answered.at < ANSWER_SECONDS:
            return own + answered.others
        # what is told holds this router's part as well
        total = own + self._heard(name_hash(endpoint)).subtract(own)
        return EndpointLoad(
            round(total.in_flight * self.extrapolation_factor),
            total.prefill_seconds * self.extrapolation_factor,
        )

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Forget endpoints that are gone and at which nothing runs."""
        kept = set(endpoints)
        for name in list(self._own):
            if name not in kept and self._own[name].in_flight <= 0:
                del self._own[name]
                self._answered.pop(name, None)

    def remove_source(self, source: str) -> None:
        """Forget what a source told."""
        super().remove_source(source)
        self._summed_at = -SUMMED_SECONDS

    def retain_only_source(self, source: str) -> None:
        """Forget all sources but one."""
        super().retain_only_source(source)
        self._summed_at = -SUMMED_SECONDS

    def update_source(
        self,
        source: str,
        figures: dict[int, EndpointLoad],
        seconds: float = EXPIRY_SECONDS,
    ) -> None:
        """Take the work that a source tells of, for some seconds."""
        super().update_source(source, figures, seconds)
        self._summed_at = -SUMMED_SECONDS

    def _heard(self, key: int) -> EndpointLoad:
        now = self._now()
        if now - self._summed_at >= SUMMED_SECONDS:
            self._sums, self._summed_at = self.sum_of_sources(), now
        kept, told = self.coordinated_load(key), self._sums.get(key)
        return kept if told is None else kept + told
