"""A budget that limits retries to a small fraction of all attempts."""

import asyncio
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryLimits"]


@dataclass(frozen=True)
class RetryLimits:
    """Limits of the retries of a router.

    Attributes
    ----------
    ratio : float
        Number of retries for each first attempt.
    per_second : float
        Additional retries per second, for services with few requests.
    max_balance : float
        Maximum number of unused retries that accumulate.
    """

    ratio: float = 0.1
    per_second: float = 0.5
    max_balance: float = 10.0


class RetryBudget:
    """Counts first attempts and allows a fraction of them as retries.

    If a whole service fails, each request would be tried several times, and the
    retries would overload the service when it recovers. The symptom is endpoints
    that receive several times the callers' request rate. With the budget they
    receive at most ``1 + ratio`` times that rate.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._balance = limits.max_balance
        self._refilled_at: float | None = None

    @classmethod
    def from_config(cls, limits: RetryLimits | None = None) -> "RetryBudget":
        """Return a full budget."""
        return cls(limits or RetryLimits())

    @property
    def balance(self) -> float:
        """Number of retries that are allowed now."""
        self._refill()
        return self._balance

    def deposit(self) -> None:
        """Record a first attempt."""
        self._credit(self._limits.ratio)

    def try_withdraw(self) -> bool:
        """Consume a retry; return False if none is left and the fault is final."""
        self._refill()
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._refilled_at is not None:
            self._credit((now - self._refilled_at) * self._limits.per_second)
        self._refilled_at = now

    def _credit(self, amount: float) -> None:
        self._balance = min(self._limits.max_balance, self._balance + amount)
