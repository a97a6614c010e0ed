"""What the handlers of the callers' interface share."""

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
        """Take the router that serves."""
        self.router = router
        self.request_id = router.next_request_id()
        self.set_header("X-Request-Id", self.request_id)

    def set_default_headers(self) -> None:
        """Drop the server's name and the content type of pages."""
        self.clear_header("Server")
        self.clear_header("Content-Type")

    def refuse(
        self, fault: Fault, verified: bool = False, keep_open: bool = False
    ) -> None:
        """Answer with a problem object.

        Parameters
        ----------
        fault : Fault
            What to tell.
        verified : bool
            Whether the fault speaks for all attempts under the request's
            idempotency key; otherwise "not run" is not told for a keyed one.
        keep_open : bool
            Send the whole answer, and leave it to the caller to finish.
        """
        if not verified:
            key = self.request.headers.get("Idempotency-Key")
            fault = as_unverified(fault, key)
        answer = problem(fault, self.request_id)
        self.router.metrics.count("request.refused", 1, fault.kind.value)
        self.set_status(answer.status)
        for name, value in answer.headers.items():
            self.set_header(name, value)
        body = json.dumps(answer.body)
        if not keep_open:
            self.finish(body)
            return
        self.set_header("Content-Length", str(len(body)))
        self.write(body)
        self.flush()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer for what no handler took, or for a fault of the router."""
        kind = STATUS_KINDS.get(status_code, ErrorKind.INTERNAL)
        self.refuse(Fault(kind))

    def log_exception(self, *args: Any) -> None:
        """Log a fault of the router without the request's content."""
        error = args[1]
        _log.error(f"Request {self.request_id} failed: {type(error).__name__}.")


class UnknownHandler(BaseHandler):
    """Answers for paths that do not exist."""

    def prepare(self) -> None:
        """Refuse every method."""
        self.refuse(Fault(ErrorKind.NOT_FOUND))
