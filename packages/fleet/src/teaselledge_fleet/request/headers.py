"""Which headers pass from one side of the router to the other."""

from collections.abc import Collection, Iterable

from tornado.httputil import HTTPHeaders

__all__ = ["HOP_BY_HOP", "from_pairs", "forwardable_headers"]

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
"""Headers of one connection (RFC 9110, section 7.6.1), and ``Expect``, which each
router answers itself."""


def from_pairs(pairs: Iterable[tuple[str, str]]) -> HTTPHeaders:
    """Return headers given by name and value; a name may come more than once."""
    result = HTTPHeaders()
    for name, value in pairs:
        result.add(name, value)
    return result


def forwardable_headers(
    headers: HTTPHeaders, excluded: Collection[str] = ()
) -> HTTPHeaders:
    """Return the headers without those of one connection and some others.

    Parameters
    ----------
    headers : HTTPHeaders
        As they came; ``Connection`` may name more that are for one connection.
    excluded : collection of str
        Others to be left out, in lower case.
    """
    named = {n.strip().lower() for n in headers.get("Connection", "").split(",")}
    skipped = HOP_BY_HOP | named | frozenset(excluded)
    return from_pairs(p for p in headers.get_all() if p[0].lower() not in skipped)
