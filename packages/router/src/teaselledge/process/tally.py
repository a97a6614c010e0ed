"""Metrics recorded for the status page."""

import asyncio

from teaselledge.metrics import Metrics

__all__ = ["RecordingMetrics"]

WINDOW_SECONDS = 60.0
MAX_LABELS = 1000
"""Maximum number of recorded counters and of gauges, by name and label.

Labels come from requests and must not fill the memory.
"""


class RecordingMetrics:
    """Forwards metrics, and records totals and recent rates.

    Parameters
    ----------
    metrics : Metrics
        Receives the forwarded metrics.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._totals: dict[str, float] = {}
        self._gauges: dict[str, float] = {}
        self._window = 0
        self._previous_window_start: dict[str, float] = {}
        self._window_start: dict[str, float] = {}

    @property
    def totals(self) -> dict[str, float]:
        """Counters since the start of the process, by name and label."""
        return dict(self._totals)

    @property
    def gauges(self) -> dict[str, float]:
        """Latest values of gauges, by name and label."""
        return dict(self._gauges)

    def rate(self, name: str) -> float:
        """Return the recent increase per second of a counter over all its labels.

        The rate is measured from the start of the previous minute.
        """
        self._rotate()
        now = asyncio.get_running_loop().time()
        elapsed = now - (self._window - 1) * WINDOW_SECONDS
        increase = _sum(self._totals, name) - _sum(self._previous_window_start, name)
        return increase / max(1.0, elapsed)

    def total(self, name: str) -> float:
        """Return the total of a counter over all its labels."""
        return _sum(self._totals, name)

    def count(self, name: str, value: float = 1, label: str = "") -> None:
        """Add to a counter."""
        self._rotate()
        self._metrics.count(name, value, label)
        key = f"{name}.{label}" if label else name
        if key in self._totals or len(self._totals) < MAX_LABELS:
            self._totals[key] = self._totals.get(key, 0.0) + value

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._metrics.gauge(name, value, label)
        key = f"{name}.{label}" if label else name
        if key in self._gauges or len(self._gauges) < MAX_LABELS:
            self._gauges[key] = value

    def time(self, name: str, seconds: float, label: str = "") -> None:
        """Forward a duration."""
        self._metrics.time(name, seconds, label)

    def _rotate(self) -> None:
        window = int(asyncio.get_running_loop().time() // WINDOW_SECONDS)
        if window == self._window:
            return
        current = dict(self._totals)
        self._previous_window_start = (
            self._window_start if window == self._window + 1 else current
        )
        self._window_start = current
        self._window = window


def _sum(values: dict[str, float], name: str) -> float:
    prefix = f"{name}."
    return sum(v for k, v in values.items() if k == name or k.startswith(prefix))
