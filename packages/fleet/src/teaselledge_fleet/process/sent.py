"""What this router told of itself, to take it out of the sums that come back."""

from collections import deque
from dataclasses import dataclass
from typing import Protocol, Self, TypeVar

from teaselledge_fleet.process.shares import TokenUsage
from teaselledge_fleet.process.work import EndpointLoad

__all__ = ["NO_MARK", "LoadStats", "SentLoadStats", "mark_of"]

NO_MARK = 0
"""Stands for nothing told."""

MARKS = 255
"""Marks fit a byte; 255 pulses are 30 s at least."""

KEPT = 16
"""Pulses whose figures are kept; a sum is made within the next five."""


class Subtractable(Protocol):
    """A figure of which a part can be taken out."""

    def subtract(self, other: Self) -> Self:
        """Return what is left."""


FigureT = TypeVar("FigureT", bound=Subtractable)


@dataclass(frozen=True)
class LoadStats:
    """Figures that one pulse tells.

    Attributes
    ----------
    work : dict of int to EndpointLoad
        Work under way, by endpoint.
    uses : dict of int to TokenUsage
        Use within the last window, by organisation.
    """

    work: dict[int, EndpointLoad]
    uses: dict[int, TokenUsage]

    def subtract(self, other: "LoadStats") -> "LoadStats":
        """Return the figures less those of another router."""
        return LoadStats(_less(self.work, other.work), _less(self.uses, other.uses))


def mark_of(sequence: int) -> int:
    """Return the mark of a pulse."""
    return sequence % MARKS + 1


class SentLoadStats:
    """Remembers the last figures that were told, by the mark of their pulse.

    The sums of an aggregator hold this router's part as it was told some pulses ago.
    What is told now would not take out the same.
    """

    def __init__(self) -> None:
        self._sent: deque[tuple[int, LoadStats]] = deque(maxlen=KEPT)

    def record(self, sequence: int, figures: LoadStats) -> None:
        """Keep what a pulse tells."""
        self._sent.append((mark_of(sequence), figures))

    def subtract_sent(self, sums: LoadStats, mark: int) -> LoadStats:
        """Return sums less this router's own part, which came with a marked pulse."""
        for mark_sent, figures in reversed(self._sent):
            if mark_sent == mark:
                return sums.subtract(figures)
        return sums


def _less(sums: dict[int, FigureT], parts: dict[int, FigureT]) -> dict[int, FigureT]:
    return {
        key: figure.subtract(parts[key]) if key in parts else figure
        for key, figure in sums.items()
    }
