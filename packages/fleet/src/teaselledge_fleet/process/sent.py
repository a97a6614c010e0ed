"""Statistics that this router sent, to subtract them from an aggregator's totals."""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol, Self, TypeVar

from teaselledge_fleet.process.prefill import SlowdownSamples
from teaselledge_fleet.process.shares import TokenUsage
from teaselledge_fleet.process.work import EndpointLoad

__all__ = ["NO_MARK", "LoadStats", "SentLoadStats", "mark_of"]

NO_MARK = 0
"""Mark for no heartbeat."""

MARK_COUNT = 255
"""Number of different marks, which fit a byte; 255 heartbeats take at least 30 s."""

RETAINED_HEARTBEATS = 16
"""Heartbeats whose statistics are retained. The aggregator's total that contains a
heartbeat arrives within the next five."""


class Subtractable(Protocol):
    """A statistic that can be subtracted from a total."""

    def subtract(self, other: Self) -> Self:
        """Return the difference."""


StatT = TypeVar("StatT", bound=Subtractable)


@dataclass(frozen=True)
class LoadStats:
    """Statistics in one heartbeat.

    Attributes
    ----------
    loads : dict of int to EndpointLoad
        Load by hash of the endpoint.
    usage : dict of int to TokenUsage
        Tokens requested and allocated in the share window, by hash of the organisation.
    slowdowns : dict of int to SlowdownSamples
        Responses from which the slowdown of engines follows, by hash of the service.
    engine_slowdowns : dict of int to SlowdownSamples
        The same by hash of the engine, relative to its service; some engines only.
    """

    loads: dict[int, EndpointLoad]
    usage: dict[int, TokenUsage]
    slowdowns: dict[int, SlowdownSamples] = field(default_factory=dict)
    engine_slowdowns: dict[int, SlowdownSamples] = field(default_factory=dict)

    def subtract(self, other: "LoadStats") -> "LoadStats":
        """Return these statistics minus those of another router.

        Those of engines are kept, as a heartbeat contains some engines only; see
        `RowRotation.subtract_sent`.
        """
        return LoadStats(
            _subtract(self.loads, other.loads),
            _subtract(self.usage, other.usage),
            _subtract(self.slowdowns, other.slowdowns),
            self.engine_slowdowns,
        )


def mark_of(sequence: int) -> int:
    """Return the mark of a heartbeat, its sequence number reduced to one byte."""
    return sequence % MARK_COUNT + 1


class SentLoadStats:
    """The statistics that this router sent last, by the mark of their heartbeat.

    The totals of an aggregator contain this router's statistics as it sent them some
    heartbeats ago. Its current statistics may differ and can't be subtracted.
    """

    def __init__(self) -> None:
        self._sent: deque[tuple[int, LoadStats]] = deque(maxlen=RETAINED_HEARTBEATS)

    def record(self, sequence: int, stats: LoadStats) -> None:
        """Record the statistics in a heartbeat."""
        self._sent.append((mark_of(sequence), stats))

    def subtract_sent(self, totals: LoadStats, mark: int) -> LoadStats:
        """Return totals minus the statistics that this router sent with a mark."""
        for mark_sent, stats in reversed(self._sent):
            if mark_sent == mark:
                return totals.subtract(stats)
        return totals


def _subtract(totals: dict[int, StatT], sent: dict[int, StatT]) -> dict[int, StatT]:
    return {
        key: total.subtract(sent[key]) if key in sent else total
        for key, total in totals.items()
    }
