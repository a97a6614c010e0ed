"""The time limit of a relayed request, read from its head only if it is late."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    parse_request_start_line,
)

from teaselledge_fleet.faults import Fault, FaultKind, encode_fault_response
from teaselledge_fleet.request.call import HeaderCodec
from teaselledge_fleet.version.routes import RoutingConfiguration

__all__ = ["NoTimeLimits", "RouteTimeLimits", "TimeLimit", "TimeLimitSource"]

END_OF_HEAD = b"\r\n\r\n"


@dataclass(frozen=True)
class TimeLimit:
    """How long a request may take, and the response to it if it takes longer.

    Attributes
    ----------
    seconds : float
        Time from the arrival of the head to the end of the response.
    response : bytes
        Encoded response to a request that has none after that time.
    """

    seconds: float
    response: bytes


class TimeLimitSource(Protocol):
    """Knows the time limits of requests."""

    @property
    def shortest(self) -> float | None:
        """Shortest time limit of any route; None if there is none."""

    def find(self, head: bytes) -> TimeLimit | None:
        """Return the limit of the request with a complete head; None if it has none."""


class NoTimeLimits:
    """Limits no request."""

    @property
    def shortest(self) -> float | None:
        """There is none."""
        return None

    def find(self, head: bytes) -> TimeLimit | None:
        """Return None."""
        return None


class RouteTimeLimits:
    """Finds the limits of requests by the routes in force.

    Parameters
    ----------
    codec : HeaderCodec
        Decodes the headers of callers.
    routing : callable
        Returns the configuration in force, None without one.
    """

    def __init__(
        self, codec: HeaderCodec, routing: Callable[[], RoutingConfiguration | None]
    ) -> None:
        self._codec = codec
        self._routing = routing
        self._shortest_of: RoutingConfiguration | None = None
        self._shortest: float | None = None

    @property
    def shortest(self) -> float | None:
        """Shortest time limit of any route; None without a configuration."""
        routing = self._routing()
        if routing is not self._shortest_of:
            self._shortest_of = routing
            timeouts = [route.timeout for route in routing.routes] if routing else []
            self._shortest = min(timeouts, default=None)
        return self._shortest

    def find(self, head: bytes) -> TimeLimit | None:
        """Return the limit of the request with a complete head; None if it has none."""
        routing = self._routing()
        line, _, fields = head.decode("latin-1").partition("\r\n")
        try:
            start = parse_request_start_line(line)
            headers = HTTPHeaders.parse(fields.partition("\r\n\r\n")[0])
        except (HTTPInputError, ValueError):
            return None
        request = self._codec.decode_request(start.method, start.path, headers)
        route = routing.find_route(request.host, request.path) if routing else None
        limits = [
            seconds
            for seconds in (route.timeout if route else None, request.timeout_seconds)
            if seconds is not None
        ]
        if not limits:
            return None
        response = encode_fault_response(
            Fault(FaultKind.ROUTER_TIMEOUT),
            self._codec.local_reply_headers(request),
            with_body=request.method != "HEAD",
        )
        return TimeLimit(min(limits), response)
