"""Statistics of other routers, by sender, with an expiry time."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, Self, TypeVar

__all__ = ["EXPIRY_SECONDS", "TOTAL_EXPIRY_SECONDS", "Addable", "StatsBySource"]

EXPIRY_SECONDS = 2.0
"""Time after which the statistics of a silent router expire.

The requests of a router that was cut off end within some seconds. Without the expiry,
its endpoints would look loaded and its organisations would look served for ever.
"""

TOTAL_EXPIRY_SECONDS = 4.0
"""The same time for a total that an aggregator sent. If it dies, the next aggregator
takes 2 to 3 s to get the heartbeats of all routers; until then an old total is a better
estimate than none."""


class Addable(Protocol):
    """A statistic that can be summed."""

    def __add__(self, other: Self) -> Self:
        """Return the sum."""


StatT = TypeVar("StatT", bound=Addable)


@dataclass(frozen=True)
class _Update(Generic[StatT]):
    expires_at: float
    stats: dict[int, StatT]


class StatsBySource(Generic[StatT]):
    """Sums the latest statistics of each source.

    Each update of a source is complete and replaces the one before, so a lost message
    has no effect beyond the next update.
    """

    def __init__(self) -> None:
        self._updates: dict[str, _Update[StatT]] = {}

    def update_source(
        self,
        source: str,
        stats: dict[int, StatT],
        seconds: float = EXPIRY_SECONDS,
    ) -> None:
        """Replace the statistics of a source, by key, until they expire."""
        self._updates[source] = _Update(self._now() + seconds, stats)

    def remove_source(self, source: str) -> None:
        """Remove the statistics of a source."""
        self._updates.pop(source, None)

    def retain_only_source(self, source: str) -> None:
        """Remove all sources but one."""
        self._updates = {name: u for name, u in self._updates.items() if name == source}

    def is_fresh(self, source: str) -> bool:
        """Return whether the statistics of a source have not expired."""
        update = self._updates.get(source)
        return update is not None and update.expires_at >= self._now()

    def sum_of_sources(self, sources: Iterable[str] | None = None) -> dict[int, StatT]:
        """Return the sum of the unexpired statistics of some or all sources."""
        total: dict[int, StatT] = {}
        for source in self._updates if sources is None else sources:
            if not self.is_fresh(source):
                continue
            for key, value in self._updates[source].stats.items():
                total[key] = total[key] + value if key in total else value
        return total

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
