"""Which headers pass from one side of the router to the other."""

from teaselledge_fleet.request.headers import forwardable_headers as without_hop
from tornado.httputil import HTTPHeaders

__all__ = ["header_size", "forwardable_headers"]

OWN = frozenset(
    {
        "authorization",
        "content-length",
        "host",
        "idempotency-key",
        "x-request-id",
    }
)
"""Headers that the router reads or sets itself.

The bearer key must not reach an endpoint, which could use it elsewhere.
"""

SEPARATORS_BYTES = 4


def forwardable_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers without those of one hop and the router's own."""
    return without_hop(headers, OWN)


def header_size(headers: HTTPHeaders) -> int:
    """Return the bytes that the headers take on the wire."""
    return sum(
        len(name) + len(value) + SEPARATORS_BYTES for name, value in headers.get_all()
    )
