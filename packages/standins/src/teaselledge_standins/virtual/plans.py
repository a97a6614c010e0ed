"""Virtual fleets modelled on the two existing deployments."""

from typing import Any

from teaselledge_standins.virtual.fleet import VirtualPlan, VirtualService
from teaselledge_standins.virtual.network import NetworkPlan

__all__ = ["PLANS", "PlanNotFoundError", "get_plan_by_name"]

LARGE_SHARE = 4.0
ORGANISATION_COUNT = 16
LARGE_ORGANISATION_COUNT = 3


def _shares() -> dict[str, float]:
    return {
        f"org-{i:02d}": LARGE_SHARE if i < LARGE_ORGANISATION_COUNT else 1.0
        for i in range(ORGANISATION_COUNT)
    }


def _kinds() -> dict[str, Any]:
    return {
        "lookup": {
            "methods": ["GET"],
            "paths": ["lookup"],
            "interactive": True,
            "cost_hint": 20,
            "latency_target": 0.5,
        },
        "summary": {
            "methods": ["POST"],
            "paths": ["summary"],
            "cost_hint": 400,
            "deadline": 600,
        },
    }


def _order_kinds() -> dict[str, Any]:
    return {
        "read": {"methods": ["GET"], "paths": ["read"], "cost_hint": 0.05},
        "order": {
            "methods": ["POST"],
            "paths": ["order"],
            "repeatable": False,
            "cost_hint": 0.1,
        },
    }


def _plan(
    zones: tuple[str, str, str],
    regions: tuple[str, str],
    near: float,
    names: list[str],
    preset: str,
) -> VirtualPlan:
    first, second, far = zones
    network = NetworkPlan(
        {first: regions[0], second: regions[0], far: regions[1]}, near_delay=near
    )
    router_zones = [first, second, far, first, second, far, first, second]
    return VirtualPlan(
        network,
        {f"vm-{i}": zone for i, zone in enumerate(router_zones)},
        _shares(),
        {
            names[0]: VirtualService(
                "tokens",
                [first, first, second, second, far],
                slots=8,
                unit_seconds=0.01,
                slowdown=0.03,
                kinds=_kinds(),
                options={"preset": preset},
            ),
            names[1]: VirtualService(
                "seconds",
                [first, second, far],
                slots=4,
                kinds=_order_kinds(),
                options={"preset": preset},
            ),
        },
    )


PLANS: dict[str, VirtualPlan] = {
    "cellarwright": _plan(
        ("richmond-vault", "burnaby-vault", "kelowna-vault"),
        ("lower-mainland", "okanagan"),
        0.0015,
        ["sommelier-models", "bond-ledger"],
        "traffic",
    ),
    "sudski-trag": _plan(
        ("split-a", "rijeka-b", "osijek-a"),
        ("jadran", "panonija"),
        0.0005,
        ["sazetak", "registar"],
        "fairness",
    ),
}


class PlanNotFoundError(LookupError):
    """There is no plan of that name."""


def get_plan_by_name(name: str) -> VirtualPlan:
    """Return a plan.

    Raises
    ------
    PlanNotFoundError
        If no plan has that name.
    """
    found = PLANS.get(name)
    if found is None:
        raise PlanNotFoundError(name)
    return found
