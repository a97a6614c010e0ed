"""Figures that other routers tell of, by source, until they are too old."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, Self, TypeVar

__all__ = ["EXPIRY_SECONDS", "SUM_EXPIRY_SECONDS", "Addable", "StatsBySource"]

EXPIRY_SECONDS = 2.0
"""Time after which what a silent router told counts no more.

A router that was cut off would otherwise keep engines looking busy and organisations
looking served; its requests end within some seconds.
"""

SUM_EXPIRY_SECONDS = 4.0
"""The same for a sum that an aggregator told. When it dies, the next one takes 2 to 3 s
to hear everybody; until then an old sum is nearer the truth than none."""


class Addable(Protocol):
    """A figure of which sums are made."""

    def __add__(self, other: Self) -> Self:
        """Return the sum."""


FigureT = TypeVar("FigureT", bound=Addable)


@dataclass(frozen=True)
class _Told(Generic[FigureT]):
    until: float
    figures: dict[int, FigureT]


class StatsBySource(Generic[FigureT]):
    """Adds up what sources told last, each of them everything it knows.

    A lost message does no harm: the next one of its source replaces it.
    """

    def __init__(self) -> None:
        self._told: dict[str, _Told[FigureT]] = {}

    def update_source(
        self,
        source: str,
        figures: dict[int, FigureT],
        seconds: float = EXPIRY_SECONDS,
    ) -> None:
        """Take the figures that a source tells of, by key, for some seconds."""
        self._told[source] = _Told(self._now() + seconds, figures)

    def remove_source(self, source: str) -> None:
        """Forget what a source told."""
        self._told.pop(source, None)

    def retain_only_source(self, source: str) -> None:
        """Forget all sources but one."""
        self._told = {name: t for name, t in self._told.items() if name == source}

    def is_fresh(self, source: str) -> bool:
        """Return whether what a source told still counts."""
        told = self._told.get(source)
        return told is not None and told.until >= self._now()

    def sum_of_sources(
        self, sources: Iterable[str] | None = None
    ) -> dict[int, FigureT]:
        """Return the sum of what some sources told lately, or all of them."""
        total: dict[int, FigureT] = {}
        for source in self._told if sources is None else sources:
            if not self.is_fresh(source):
                continue
            for key, figure in self._told[source].figures.items():
                total[key] = total[key] + figure if key in total else figure
        return total

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
