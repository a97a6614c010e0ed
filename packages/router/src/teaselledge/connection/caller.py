"""The callers' HTTP interface."""

import json
from typing import TYPE_CHECKING

from tornado.web import Application

from teaselledge.connection.orders import OrdersHandler
from teaselledge.connection.service import ServiceHandler
from teaselledge.connection.web import BaseHandler, UnknownHandler
from teaselledge.errors import ErrorKind, Fault

if TYPE_CHECKING:
    from teaselledge.process.router import Router

__all__ = ["make_application"]


class AddressesHandler(BaseHandler):
    """Lists the routers that callers should use."""

    def get(self) -> None:
        """Respond with the routers to use, nearest to the caller's zone first."""
        zone = self.get_query_argument("zone", None)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self.router.addresses(zone)))


class HealthHandler(BaseHandler):
    """Reports whether the process is alive and ready."""

    def get(self, name: str) -> None:
        """Respond with status 200 if the check passes."""
        if name == "readyz" and not self.router.ready:
            self.refuse(Fault(ErrorKind.NOT_CONFIGURED))
            return
        self.set_header("Content-Type", "text/plain")
        self.finish("ok\n")


def make_application(router: "Router") -> Application:
    """Return the tornado application for callers of a router."""
    options = {"router": router}
    return Application(
        [
            (r"/v1/services/([^/]+)/(.*)", ServiceHandler, options),
            (r"/v1/orders/([^/]+)", OrdersHandler, options),
            (r"/v1/addresses", AddressesHandler, options),
            (r"/(healthz|readyz)", HealthHandler, options),
            (r".*", UnknownHandler, options),
        ],
        log_function=lambda handler: None,
    )
