"""The stand-in engine's interface for orders."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from teaselledge_standins.endpoint import BaseEndpointHandler

__all__ = ["AdminState", "admin_handlers"]

OLD_NUMBER = 409


@dataclass
class AdminState:
    """What an engine has loaded, and how it takes orders.

    Attributes
    ----------
    checks_fencing : bool
        Orders with an old number are refused, not carried out.
    load_seconds : float
        Time that a load takes.
    orders : list of int
        Numbers of the orders carried out.
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
        """Whether it loads now."""
        return asyncio.get_running_loop().time() < self.loaded_at

    def apply_order(self, number: int, role: str, models: list[str]) -> bool:
        """Take an order; tell whether it is carried out."""
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
        """Answer with the state."""
        admin = self.endpoint.admin
        self.write(
            {"role": admin.role, "models": admin.models, "loading": admin.loading}
        )


class _TargetHandler(BaseEndpointHandler):
    def put(self) -> None:
        """Take an order."""
        body = json.loads(self.request.body)
        taken = self.endpoint.admin.apply_order(
            body["number"], body["role"], body["models"]
        )
        self.set_status(200 if taken else OLD_NUMBER)


def admin_handlers(endpoint: Any) -> list[Any]:
    """Return the routes of the interface for orders."""
    options = {"endpoint": endpoint}
    return [
        (r"/admin/state", _StateHandler, options),
        (r"/admin/target", _TargetHandler, options),
    ]
