"""Headers forwarded between callers and endpoints."""

from teaselledge_fleet.request.headers import forwardable_headers as without_hop_headers
from tornado.httputil import HTTPHeaders

__all__ = ["header_size", "forwardable_headers"]

ROUTER_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "host",
        "idempotency-key",
        "x-request-id",
    }
)
"""Headers that the router processes or sets itself.

The bearer key must not reach an endpoint, which could misuse it.
"""

SEPARATOR_BYTES = 4


def forwardable_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers without hop-by-hop headers and those of the router."""
    return without_hop_headers(headers, ROUTER_HEADERS)


def header_size(headers: HTTPHeaders) -> int:
    """Return the size of the headers in HTTP/1.1 encoding."""
    return sum(
        len(name) + len(value) + SEPARATOR_BYTES for name, value in headers.get_all()
    )
