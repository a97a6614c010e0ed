"""Counting and rate-limited logging of invalid input from peers and endpoints."""

import asyncio

from teaselledge.log import get_log
from teaselledge.metrics import Metrics

__all__ = ["InvalidInputReporter"]

LOG_PERIOD_SECONDS = 10.0


class InvalidInputReporter:
    """Counts invalid input and logs each cause once per period."""

    def __init__(self, part: str, metrics: Metrics) -> None:
        self._log = get_log(part)
        self._metrics = metrics
        self._logged: dict[tuple[str, str], float] = {}

    def report(self, metric: str, cause: str, text: str) -> None:
        """Count an occurrence, and log it unless its cause was logged recently."""
        self._metrics.count(metric, 1, cause)
        now = asyncio.get_running_loop().time()
        last = self._logged.get((metric, cause))
        if last is not None and now - last < LOG_PERIOD_SECONDS:
            return
        self._logged[(metric, cause)] = now
        self._log.warning(text)
