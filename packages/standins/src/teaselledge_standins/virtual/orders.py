"""A small virtual fleet for orders, and counts of what its endpoints executed."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from teaselledge_standins.virtual.fleet import (
    VirtualFleet,
    VirtualPlan,
    VirtualService,
    running_virtual_fleet,
)
from teaselledge_standins.virtual.network import NetworkPlan

__all__ = ["ORDER_PLAN", "ORDER_SECONDS", "order_fleet", "runs_by_name"]

ORDER_SECONDS = 20.0
"""Time from the request to the deadline of an order."""

ORDER_PLAN = VirtualPlan(
    NetworkPlan({"near-a": "near", "near-b": "near", "far-a": "far"}),
    {"vm-0": "near-a", "vm-1": "near-b", "vm-2": "far-a"},
    {"amber": 1.0, "birch": 2.0},
    {
        "ledger": VirtualService(
            "seconds",
            ["near-a", "near-b", "far-a"],
            slots=4,
            kinds={
                "order": {
                    "methods": ["POST"],
                    "paths": ["order"],
                    "repeatable": False,
                    "cost_hint": 0.1,
                    "deadline": ORDER_SECONDS,
                },
                "read": {"methods": ["GET"], "paths": ["read"], "cost_hint": 0.1},
            },
        ),
        "models": VirtualService(
            "tokens",
            ["near-a", "near-b", "far-a"],
            slots=4,
            unit_seconds=0.01,
            kinds={"stream": {"methods": ["POST"], "paths": ["stream"]}},
            options={"resumes": True},
        ),
    },
    list_lag=0.5,
)


@asynccontextmanager
async def order_fleet(seed: int = 0) -> AsyncIterator[VirtualFleet]:
    """Run the small fleet as a context manager."""
    async with running_virtual_fleet(ORDER_PLAN, seed, settle=2.0) as fleet:
        yield fleet


def runs_by_name(fleet: VirtualFleet) -> Counter[str]:
    """Return how many times endpoints started each named request."""
    return Counter(
        run.name for endpoint in fleet.endpoints.values() for run in endpoint.runs
    )
