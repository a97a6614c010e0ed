"""Tests of the retry budget."""

import asyncio

from teaselledge.process.retrybudget import RetryBudget, RetryLimits

VIRTUAL_CLOCK = True
LIMITS = RetryLimits(ratio=0.1, per_second=0.5, max_balance=5.0)


async def test_retries_are_limited_to_a_fraction_of_the_attempts():
    """Every endpoint of a service fails, so that each request is retried.

    The endpoints must not receive several times the callers' request rate.
    """
    budget = RetryBudget.from_config(LIMITS)
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += budget.try_withdraw()
    assert retries <= 1000 * LIMITS.ratio + LIMITS.max_balance


async def test_service_with_few_requests_can_retry():
    budget = RetryBudget.from_config(LIMITS)
    spent = sum(budget.try_withdraw() for _ in range(100))
    assert spent == LIMITS.max_balance
    await asyncio.sleep(2.0)
    assert budget.try_withdraw()
    assert not budget.try_withdraw()


async def test_balance_is_limited():
    budget = RetryBudget.from_config(LIMITS)
    for _ in range(1000):
        budget.deposit()
    await asyncio.sleep(3600)
    assert budget.balance == LIMITS.max_balance
