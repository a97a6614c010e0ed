"""A budget that keeps retries a small part of all attempts."""

import asyncio
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryLimits"]


@dataclass(frozen=True)
class RetryLimits:
    """How many retries a router may make.

    Attributes
    ----------
    ratio : float
        Retries for each first attempt.
    per_second : float
        Retries a second that are allowed besides, so that a quiet service can
        retry at all.
    max_balance : float
        Retries that can be saved up.
    """

    ratio: float = 0.1
    per_second: float = 0.5
    max_balance: float = 10.0


class RetryBudget:
    """Counts attempts and allows a share of them to be repeated.

    When a whole service fails, each request would be tried several times, and
    the retries would keep it down after it has come back. One notices by
    endpoints that see several times the callers' rate. With the budget they
    see at most ``1 + ratio`` times it.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._saved = limits.max_balance
        self._filled: float | None = None

    @classmethod
    def from_config(cls, limits: RetryLimits | None = None) -> "RetryBudget":
        """Return a full budget."""
        return cls(limits or RetryLimits())

    @property
    def balance(self) -> float:
        """Retries that are allowed now."""
        self._fill()
        return self._saved

    def deposit(self) -> None:
        """Note a first attempt."""
        self._add(self._limits.ratio)

    def try_withdraw(self) -> bool:
        """Take one retry; False where none is left, and the fault is final."""
        self._fill()
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _fill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._filled is not None:
            self._add((now - self._filled) * self._limits.per_second)
        self._filled = now

    def _add(self, amount: float) -> None:
        self._saved = min(self._limits.max_balance, self._saved + amount)
