"""Encoding of requests to endpoints."""

import re

__all__ = ["InvalidRequestError", "encode_request"]

TOKEN = re.compile(r"[-!#$%&'*+.^_`|~0-9a-zA-Z]+")
TARGET = re.compile(r"[\x21-\x7e]+")
_VISIBLE = r"[^\x00\t\n\x0b\x0c\r ]+"
HEADER_VALUE = re.compile(rf"(?:{_VISIBLE}(?:[ \t]+{_VISIBLE})*)?")

BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


class InvalidRequestError(ValueError):
    """A request can't be represented in HTTP/1.1."""


def encode_request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return the bytes of a request.

    Parameters
    ----------
    headers : list of tuple of str and str
        All headers except those of the body's length; ``Host`` is sent first.

    Raises
    ------
    InvalidRequestError
        If a part contains characters that would end it early, such as a line feed in
        the value of a header.
    """
    if not TOKEN.fullmatch(method) or not TARGET.fullmatch(target):
        raise InvalidRequestError(f"invalid request line: {method!r} {target!r}")
    lines = [f"{method} {target} HTTP/1.1"]
    # a stable sort: False, for the Host header, comes first
    for name, value in sorted(headers, key=lambda pair: pair[0].lower() != "host"):
        if not TOKEN.fullmatch(name) or not HEADER_VALUE.fullmatch(value):
            raise InvalidRequestError(f"invalid header {name!r}: {value!r}")
        lines.append(f"{name}: {value}")
    if body or method in BODY_METHODS:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + body
