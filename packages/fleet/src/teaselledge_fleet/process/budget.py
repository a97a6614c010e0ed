"""Retry budget of the whole fleet, enforced without coordination."""

import asyncio
from collections import defaultdict, deque
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryLimits"]

STARTING_FRACTION = 0.3
"""Fraction of the base retries that a router may use in the window after its start, of
which there may be several in a window."""


@dataclass(frozen=True)
class RetryLimits:
    """Limits of the retries of the whole fleet.

    Attributes
    ----------
    ratio : float
        Retries for each request, in a window.
    base_retries : float
        Additional retries in a window, for the whole fleet.
    window : float
        Length of the sliding window, in seconds.
    safety_factor : float
        Fraction of both that is used. Counts of clients and routers differ by the
        requests in transit, and there may be more routers than this one knows.
    """

    ratio: float = 0.2
    base_retries: float = 50.0
    window: float = 10.0
    safety_factor: float = 0.75


class RetryBudget:
    """Counts attempts of this router and allows a fraction of them to be retries.

    When a service fails, each request would go to several endpoints, and the load of
    the retries would keep the service down after it has recovered. Each router has its
    own budget: its own requests times the ratio, and an equal share of the base
    retries. The budgets add up to that of the fleet, even if routers can't communicate
    or are started again.

    Parameters
    ----------
    limits : RetryLimits, optional
        Limits of the whole fleet.
    started : float, optional
        Loop time at which this router was started, the present by default.
    router_count : int
        Number of routers that it knows without having heard of any.
    """

    def __init__(
        self,
        limits: RetryLimits | None = None,
        started: float | None = None,
        router_count: int = 1,
    ) -> None:
        self._limits = limits or RetryLimits()
        self._first_attempts: defaultdict[str, deque[float]] = defaultdict(deque)
        self._retries: defaultdict[str, deque[float]] = defaultdict(deque)
        self._router_count = router_count
        self._started = self._now() if started is None else started

    @property
    def router_count(self) -> int:
        """Number of routers among which the base retries are divided."""
        return self._router_count

    def set_limits(self, limits: RetryLimits) -> None:
        """Apply other limits."""
        self._limits = limits

    def update_router_count(self, count: int) -> None:
        """Update the number of routers; the highest one ever reported counts.

        An isolated router sees few others, but those still retry.
        """
        self._router_count = max(self._router_count, count)

    def record_first_attempt(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._first_attempts[service].append(self._now())

    def try_acquire(self, service: str) -> bool:
        """Use one retry of the budget; return False if none is left."""
        now = self._now()
        limits = self._limits
        first_attempts = self._count_in_window(self._first_attempts[service], now)
        retries = self._count_in_window(self._retries[service], now)
        router_base_retries = limits.base_retries / self._router_count
        used_fraction = limits.safety_factor
        if now < self._started + limits.window:
            # its predecessor may have used all that the fraction allows
            used_fraction = 1 - limits.safety_factor
            router_base_retries *= STARTING_FRACTION
        if retries + 1 > used_fraction * (
            limits.ratio * first_attempts + router_base_retries
        ):
            return False
        self._retries[service].append(now)
        return True

    def _count_in_window(self, times: deque[float], now: float) -> int:
        while times and now - times[0] > self._limits.window:
            times.popleft()
        return len(times)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
