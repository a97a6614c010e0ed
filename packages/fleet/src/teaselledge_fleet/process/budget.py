"""A budget of repeats that holds for the whole fleet without asking it."""

import asyncio
from collections import defaultdict, deque
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryLimits"]


@dataclass(frozen=True)
class RetryLimits:
    """How many sends beyond the first the whole fleet may make.

    Attributes
    ----------
    ratio : float
        Repeats for each request, in a window.
    base_retries : float
        Repeats in a window besides, for the whole fleet.
    window : float
        Length of the sliding window, in seconds.
    safety_factor : float
        Part of both that is used. Clients' counts and the router's differ by what
        is on the way, and members may be more than this router knows.
    """

    ratio: float = 0.2
    base_retries: float = 50.0
    window: float = 10.0
    safety_factor: float = 0.75


class RetryBudget:
    """Counts the sends of this router and allows a part of them to be repeats.

    When a service fails, each request would go to several endpoints, and the load
    of the repeats would keep the service down after it has come back. Each router
    stays inside its own part: its own requests times the ratio, and an even part of
    the extra. The parts add up to the fleet's budget, also when routers can't hear
    one another.
    """

    def __init__(self, limits: RetryLimits | None = None) -> None:
        self._limits = limits or RetryLimits()
        self._firsts: defaultdict[str, deque[float]] = defaultdict(deque)
        self._repeats: defaultdict[str, deque[float]] = defaultdict(deque)
        self._routers = 1

    def set_limits(self, limits: RetryLimits) -> None:
        """Take other limits."""
        self._limits = limits

    def update_router_count(self, count: int) -> None:
        """Take the number of routers; the highest ever told counts.

        A router that is cut off sees few others, but they still repeat.
        """
        self._routers = max(self._routers, count)

    def record_first_attempt(self, service: str) -> None:
        """Count the first send of a request."""
        self._firsts[service].append(self._now())

    def try_acquire(self, service: str) -> bool:
        """Take one repeat; False where none is left."""
        now = self._now()
        limits = self._limits
        firsts = self._trim(self._firsts[service], now)
        repeats = self._trim(self._repeats[service], now)
        extra = limits.base_retries / self._routers
        if repeats + 1 > limits.safety_factor * (limits.ratio * firsts + extra):
            return False
        self._repeats[service].append(now)
        return True

    def _trim(self, times: deque[float], now: float) -> int:
        while times and now - times[0] > self._limits.window:
            times.popleft()
        return len(times)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
