"""Bad input from peers and endpoints: counted each time, logged seldom."""

import asyncio

from teaselledge.log import get_log
from teaselledge.metrics import Metrics

__all__ = ["InvalidInputReporter"]

PERIOD_SECONDS = 10.0


class InvalidInputReporter:
    """Counts bad input and logs each cause once a period."""

    def __init__(self, part: str, metrics: Metrics) -> None:
        self._log = get_log(part)
        self._metrics = metrics
        self._logged: dict[tuple[str, str], float] = {}

    def report(self, metric: str, cause: str, text: str) -> None:
        """Count an occurrence; a flood of them must not fill the logs."""
        self._metrics.count(metric, 1, cause)
        now = asyncio.get_running_loop().time()
        last = self._logged.get((metric, cause))
        if last is not None and now - last < PERIOD_SECONDS:
            return
        self._logged[(metric, cause)] = now
        self._log.warning(text)
