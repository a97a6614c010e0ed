"""The engine double's interface for engine orders."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from teaselledge_standins.endpoint import BaseEndpointHandler

__all__ = ["AdminState", "admin_handlers"]

CONFLICT = 409


@dataclass
class AdminState:
    """State of an engine, as changed by engine orders.

    Attributes
    ----------
    checks_fencing : bool
        Whether orders with a lower fencing token than an earlier one are refused.
    load_seconds : float
        Duration of loading a model.
    orders : list of int
        Fencing tokens of the executed orders.
    """

    checks_fencing: bool = False
    load_seconds: float = 0.0
    role: str = "any"
    models: list[str] = field(default_factory=list)
    highest_token: int = 0
    loaded_at: float = 0.0
    orders: list[int] = field(default_factory=list)

    @property
    def loading(self) -> bool:
        """Whether the engine is loading a model."""
        return asyncio.get_running_loop().time() < self.loaded_at

    def apply_order(self, number: int, role: str, models: list[str]) -> bool:
        """Execute an engine order; return False if it is refused."""
        if self.checks_fencing and number < self.highest_token:
            return False
        self.highest_token = max(self.highest_token, number)
        self.orders.append(number)
        if (role, models) != (self.role, self.models):
            loop = asyncio.get_running_loop()
            self.loaded_at = loop.time() + self.load_seconds
        self.role, self.models = role, models
        return True


class _StateHandler(BaseEndpointHandler):
    def get(self) -> None:
        """Return the state."""
        admin = self.endpoint.admin
        self.write(
            {"role": admin.role, "models": admin.models, "loading": admin.loading}
        )


class _TargetHandler(BaseEndpointHandler):
    def put(self) -> None:
        """Apply an engine order."""
        body = json.loads(self.request.body)
        executed = self.endpoint.admin.apply_order(
            body["number"], body["role"], body["models"]
        )
        self.set_status(200 if executed else CONFLICT)


def admin_handlers(endpoint: Any) -> list[Any]:
    """Return the routes of the interface for engine orders."""
    options = {"endpoint": endpoint}
    return [
        (r"/admin/state", _StateHandler, options),
        (r"/admin/target", _TargetHandler, options),
    ]
