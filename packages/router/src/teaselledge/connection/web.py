"""Base class of the handlers of the callers' interface."""

import json
from typing import TYPE_CHECKING, Any

from tornado.web import RequestHandler

from teaselledge.errors import ErrorKind, Fault, problem
from teaselledge.log import get_log
from teaselledge.request.order import as_unverified

if TYPE_CHECKING:
    from teaselledge.process.router import Router

__all__ = ["BaseHandler"]

_log = get_log("caller")

STATUS_KINDS = {
    400: ErrorKind.BAD_REQUEST,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.METHOD_NOT_ALLOWED,
}


class BaseHandler(RequestHandler):
    """A handler whose errors are problem objects."""

    SUPPORTED_METHODS = (*RequestHandler.SUPPORTED_METHODS,)

    router: "Router"

    def initialize(self, router: "Router") -> None:
        """Set the router and the request's identifier."""
        self.router = router
        self.request_id = router.next_request_id()
        self.set_header("X-Request-Id", self.request_id)

    def set_default_headers(self) -> None:
        """Remove the headers for server name and content type."""
        self.clear_header("Server")
        self.clear_header("Content-Type")

    def refuse(
        self, fault: Fault, verified: bool = False, keep_open: bool = False
    ) -> None:
        """Respond with a problem object.

        Parameters
        ----------
        fault : Fault
            Reason of the refusal.
        verified : bool
            Whether the fault applies to all attempts with the request's
            idempotency key. Otherwise "not run" is not reported if it has one.
        keep_open : bool
            Send the complete response, but leave it unfinished.
        """
        if not verified:
            key = self.request.headers.get("Idempotency-Key")
            fault = as_unverified(fault, key)
        response = problem(fault, self.request_id)
        self.router.metrics.count("request.refused", 1, fault.kind.value)
        self.set_status(response.status)
        for name, value in response.headers.items():
            self.set_header(name, value)
        body = json.dumps(response.body)
        if not keep_open:
            self.finish(body)
            return
        self.set_header("Content-Length", str(len(body)))
        self.write(body)
        self.flush()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond to unhandled requests and to internal errors."""
        kind = STATUS_KINDS.get(status_code, ErrorKind.INTERNAL)
        self.refuse(Fault(kind))

    def log_exception(self, *args: Any) -> None:
        """Log an internal error without the request's content."""
        error = args[1]
        _log.error(f"Request {self.request_id} failed: {type(error).__name__}.")


class UnknownHandler(BaseHandler):
    """Handles requests to paths that do not exist."""

    def prepare(self) -> None:
        """Refuse every method."""
        self.refuse(Fault(ErrorKind.NOT_FOUND))
