"""Resume a stream that broke, at the byte where it broke.

The router asks with the header ``X-Resume-From: n``, beside the same request
and the same ``X-Request-Id``, for an answer whose body leaves out its first
``n`` bytes. An engine that does so says it by the same header and value in its
answer. One that does not would send the answer from its beginning, and the
caller would get a part of it twice; its answer is therefore not used.
"""

from tornado.httputil import HTTPHeaders

__all__ = ["RESUME_HEADER", "with_resume_header", "resumes_at"]

RESUME_HEADER = "X-Resume-From"


def with_resume_header(headers: HTTPHeaders, position: int) -> HTTPHeaders:
    """Return the headers of a request for the answer from a byte on."""
    if position == 0:
        return headers
    asking = headers.copy()
    asking[RESUME_HEADER] = str(position)
    return asking


def resumes_at(headers: HTTPHeaders, position: int) -> bool:
    """Return whether an answer's body begins at that byte."""
    return headers.get(RESUME_HEADER, "0").strip() == str(position)
