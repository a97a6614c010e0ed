"""Queries of callers about their orders."""

import json

from teaselledge.connection.web import BaseHandler
from teaselledge.errors import ErrorKind, Fault, Ran
from teaselledge.request.orderqueries import Order, get_order

__all__ = ["OrdersHandler"]


class OrdersHandler(BaseHandler):
    """Reports the state of an order to its organisation."""

    async def get(self, key: str) -> None:
        """Respond with the state of an order.

        The key is looked up only among the orders of the caller's organisation, so
        that an organisation cannot find out another's orders or their keys.
        """
        version = self.router.version
        if version is None:
            self.refuse(Fault(ErrorKind.NOT_CONFIGURED))
            return
        organisation = self.router.authenticator.organisation_of(
            version, self.request.headers.get("Authorization", "")
        )
        if organisation is None:
            self.refuse(Fault(ErrorKind.UNAUTHENTICATED))
            return
        result = await get_order(self.router.tables, organisation, key)
        if result.is_error():
            self.refuse(Fault(ErrorKind.JOURNAL_UNAVAILABLE, Ran.UNKNOWN))
            return
        if result.ok is None:
            # an attempt may be about to write its record, so a missing record
            # does not prove that the order will not run
            detail = "the journal has no order under this key"
            self.refuse(Fault(ErrorKind.NOT_FOUND, Ran.UNKNOWN, detail))
            return
        self._answer(result.ok)

    def _answer(self, order: Order) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(
            json.dumps(
                {
                    "key": order.key,
                    "state": order.record.state.value,
                    "ran": order.ran.value,
                    "request_id": self.request_id,
                }
            )
        )
