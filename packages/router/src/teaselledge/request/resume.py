"""Resume an interrupted stream at the byte where it broke off.

The router repeats the request with the same ``X-Request-Id`` and the header
``X-Resume-From: n``, which requests a response without the first ``n`` bytes of
its body. An engine that supports this echoes the header and its value. Any other
engine sends the response from its beginning, and the caller would get a part of
it twice; such a response is not used.
"""

from tornado.httputil import HTTPHeaders

__all__ = ["RESUME_HEADER", "with_resume_header", "resumes_at"]

RESUME_HEADER = "X-Resume-From"


def with_resume_header(headers: HTTPHeaders, position: int) -> HTTPHeaders:
    """Return the request headers for a response that starts at a byte."""
    if position == 0:
        return headers
    resume_headers = headers.copy()
    resume_headers[RESUME_HEADER] = str(position)
    return resume_headers


def resumes_at(headers: HTTPHeaders, position: int) -> bool:
    """Return whether a response's body starts at a byte."""
    return headers.get(RESUME_HEADER, "0").strip() == str(position)
