"""Selection of the headers that the router forwards."""

import math
from collections.abc import Collection, Iterable

from tornado.httputil import HTTPHeaders

__all__ = [
    "HOP_BY_HOP",
    "forwardable_headers",
    "from_pairs",
    "parse_pause_seconds",
]

UNAVAILABLE_STATUS = 503
MAX_PAUSE_SECONDS = 3600.0
"""Longest pause that a response can ask for; a garbled one must not exclude an endpoint
for as long as it runs."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and ``Expect``, which each router
answers itself."""


def from_pairs(pairs: Iterable[tuple[str, str]]) -> HTTPHeaders:
    """Return headers from names and values; a name may occur more than once."""
    result = HTTPHeaders()
    for name, value in pairs:
        result.add(name, value)
    return result


def forwardable_headers(
    headers: HTTPHeaders, excluded: Collection[str] = ()
) -> HTTPHeaders:
    """Return the headers without hop-by-hop headers and those excluded.

    Parameters
    ----------
    headers : HTTPHeaders
        The headers received; ``Connection`` may name more hop-by-hop headers.
    excluded : collection of str
        Lower-case names of other headers to leave out.
    """
    named = {n.strip().lower() for n in headers.get("Connection", "").split(",")}
    skipped = HOP_BY_HOP | named | frozenset(excluded)
    return from_pairs(p for p in headers.get_all() if p[0].lower() not in skipped)


def parse_pause_seconds(status: int, headers: HTTPHeaders) -> float:
    """Return for how long an endpoint wants no requests; 0 if it does not say so.

    Only ``Retry-After`` in seconds is read, fractions allowed; not the form of a date,
    as the clocks of VMs differ.
    """
    if status != UNAVAILABLE_STATUS:
        return 0.0
    try:
        seconds = float(headers.get("Retry-After", ""))
    except ValueError:
        return 0.0
    if not math.isfinite(seconds):
        return 0.0
    return min(MAX_PAUSE_SECONDS, max(0.0, seconds))
