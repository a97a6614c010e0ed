"""Incremental parser of the responses on a connection to an endpoint.

Heads are parsed by ``httptools``, one at a time and without the bytes after them. Its
parser can't be told that a response to a HEAD request has no body, and does not tell
where a message ended, so that bodies are delimited here.

A response that can be read in two ways is rejected (RFC 9112, section 6.3): two routers
or caches that disagree on its end would take a part of it for the next response.
"""

import re
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import httptools

from teaselledge_fleet.connection.chunked import ChunkedBody
from teaselledge_fleet.connection.invalidresponse import InvalidResponseError
from teaselledge_fleet.connection.responselimits import (
    MAX_HEAD_BYTES,
    MAX_INFORMATIONAL_BYTES,
    MAX_INFORMATIONAL_HEADS,
)

__all__ = ["ParsedHead", "ResponseEvent", "ResponseParser"]

HEAD_END = b"\r\n\r\n"
STATUS_LINE = re.compile(
    rb"HTTP/([0-9]\.[0-9]) ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
)
STATUS_LINE_START = b"HTTP/"
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
CONTENT_LENGTH = re.compile(r"[0-9]{1,20}")

MIN_FINAL_STATUS = 200
SWITCHING_PROTOCOLS_STATUS = 101
BODYLESS_STATUSES = frozenset({204, 304})
SUCCESS_STATUSES = range(200, 300)


class ResponseEvent(Enum):
    """Events without data."""

    NEED_DATA = "need data"
    """All received bytes have been parsed."""

    END = "end"
    """The response is complete."""


@dataclass(frozen=True)
class ParsedHead:
    """The head of a final response.

    Attributes
    ----------
    status : int
        HTTP status, at least 200.
    headers : list of tuple of str and str
        Names and values as received, without white space around values.
    keep_alive : bool
        Whether the connection may be used for another request afterwards.
    """

    status: int
    headers: list[tuple[str, str]]
    keep_alive: bool


class _Body(Protocol):
    """Delimits the body of a response."""

    @property
    def complete(self) -> bool:
        """Whether the end was read."""

    def read(self, data: bytes, start: int) -> tuple[bytes, int]:
        """Return the next part of the body, and where the bytes after it start."""


class _LengthBody:
    """A body with a known length."""

    def __init__(self, length: int) -> None:
        self._remaining = length

    @property
    def complete(self) -> bool:
        """Whether all bytes were read."""
        return self._remaining == 0

    def read(self, data: bytes, start: int) -> tuple[bytes, int]:
        """Return at most the bytes that remain."""
        part = data[start : start + self._remaining]
        self._remaining -= len(part)
        return part, start + len(part)


class _UnlimitedBody:
    """A body that ends when its connection closes."""

    complete = False

    def __init__(self) -> None:
        self._empty = True

    @property
    def empty(self) -> bool:
        """Whether nothing of the body was received."""
        return self._empty

    def read(self, data: bytes, start: int) -> tuple[bytes, int]:
        """Return all bytes."""
        self._empty = False
        return data[start:], len(data)


class _HeaderCollector:
    """Receives the callbacks of the parser of a head."""

    def __init__(self) -> None:
        self.headers: list[tuple[str, str]] = []
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        # the parser keeps white space after a value
        pair = (name.decode("latin1"), value.strip(b" \t").decode("latin1"))
        self.headers.append(pair)

    def on_headers_complete(self) -> None:
        """Record that the head is complete."""
        self.complete = True


class ResponseParser:
    """Parses the response to one request, and responses to others before it.

    Parameters
    ----------
    method : str
        Method of the request, which decides whether the response has a body.
    """

    def __init__(self, method: str) -> None:
        self._method = method
        self._data = b""
        self._start = 0
        self._searched = 0
        self._closed = False
        self._body: _Body | None = None
        self._complete = False
        self._keep_alive = False
        self._informational_heads = 0
        self._informational_bytes = 0

    @property
    def has_partial_element(self) -> bool:
        """Whether a part of a head, a chunk line or trailers waits for the rest."""
        return not self._complete and self._start < len(self._data)

    @property
    def ended_by_close(self) -> bool:
        """Whether only the close of the connection shows that the response ended."""
        return self._complete and isinstance(self._body, _UnlimitedBody)

    @property
    def reusable(self) -> bool:
        """Whether the connection may be used again.

        Bytes after a complete response belong to no request, and the next request would
        treat them as its response.
        """
        surplus = self._start < len(self._data)
        return self._complete and self._keep_alive and not surplus and not self._closed

    def receive(self, data: bytes) -> None:
        """Add bytes from the connection; no bytes mean a clean close."""
        if not data:
            self._closed = True
            return
        if self._start < len(self._data):
            data = self._data[self._start :] + data
        self._searched -= self._start
        self._data, self._start = data, 0

    def next_event(self) -> ParsedHead | bytes | ResponseEvent:
        """Return the next event: the head, a part of the body or the end.

        Raises
        ------
        InvalidResponseError
            If the response is invalid, or if the connection closed before its end.
        """
        if self._complete:
            return ResponseEvent.NEED_DATA
        body = self._body
        event = self._read_head() if body is None else self._read_body(body)
        if event is ResponseEvent.NEED_DATA and self._closed:
            raise InvalidResponseError("connection closed before the response ended")
        return event

    def start_next_response(self) -> None:
        """Parse another response, after one to another request was complete."""
        self._body = None
        self._complete = False

    def _read_body(self, body: _Body) -> bytes | ResponseEvent:
        if self._start < len(self._data):
            part, self._start = body.read(self._data, self._start)
            if part:
                return part
        if not body.complete and not self._closed_at_end(body):
            return ResponseEvent.NEED_DATA
        self._complete = True
        return ResponseEvent.END

    def _closed_at_end(self, body: _Body) -> bool:
        """Whether the close of the connection was the end of the body."""
        if not self._closed or not isinstance(body, _UnlimitedBody):
            return False
        if body.empty:
            # an empty body has a length; the endpoint has stopped behind the head
            raise InvalidResponseError("connection closed before the body")
        return True

    def _read_head(self) -> ParsedHead | ResponseEvent:
        while True:
            head = self._extract_head()
            if head is None:
                return ResponseEvent.NEED_DATA
            parsed = _parse_head(head)
            if parsed.status >= MIN_FINAL_STATUS:
                break
            if parsed.status == SWITCHING_PROTOCOLS_STATUS:
                raise InvalidResponseError("status 101 without a request to upgrade")
            self._count_informational(len(head))
        self._body = _choose_body(self._method, parsed)
        self._keep_alive = parsed.keep_alive
        return parsed

    def _count_informational(self, head_bytes: int) -> None:
        self._informational_heads += 1
        self._informational_bytes += head_bytes
        if (
            self._informational_heads > MAX_INFORMATIONAL_HEADS
            or self._informational_bytes > MAX_INFORMATIONAL_BYTES
        ):
            raise InvalidResponseError(
                f"informational heads over {MAX_INFORMATIONAL_HEADS} "
                f"or {MAX_INFORMATIONAL_BYTES} bytes"
            )

    def _extract_head(self) -> bytes | None:
        """Return the next head, None if it is not complete."""
        data, start = self._data, self._start
        if not data.startswith(STATUS_LINE_START[: len(data) - start], start):
            raise InvalidResponseError("the response does not start with HTTP/")
        found = data.find(HEAD_END, max(start, self._searched))
        end = found + len(HEAD_END) if found >= 0 else len(data)
        if end - start > MAX_HEAD_BYTES:
            raise InvalidResponseError(f"head over {MAX_HEAD_BYTES} bytes")
        if found < 0:
            # such a head may never have an end of the right form
            if BARE_LINE_FEED.search(data, max(start, self._searched)):
                raise InvalidResponseError("line feed without carriage return")
            # the end of the head may be received in parts
            self._searched = end - len(HEAD_END) + 1
            return None
        self._start = self._searched = end
        return data[start:end]


def _parse_head(head: bytes) -> ParsedHead:
    # httptools ignores empty lines before the status line
    status_line = STATUS_LINE.match(head)
    if status_line is None:
        raise InvalidResponseError("invalid status line")
    version, status = status_line[1], int(status_line[2])
    if status == SWITCHING_PROTOCOLS_STATUS:
        return ParsedHead(status, [], False)
    collector = _HeaderCollector()
    try:
        httptools.HttpResponseParser(collector).feed_data(head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
        raise InvalidResponseError(f"invalid head: {error}") from error
    if not collector.complete:
        raise InvalidResponseError("invalid head: no end")
    headers = collector.headers
    keep_alive = version >= b"1.1" and not _asks_to_close(headers)
    return ParsedHead(status, headers, keep_alive)


def _asks_to_close(headers: list[tuple[str, str]]) -> bool:
    return any(
        option.strip().lower() == "close"
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    )


def _choose_body(method: str, head: ParsedHead) -> _Body:
    lengths, codings = [], []
    for name, value in head.headers:
        lower = name.lower()
        if lower == "content-length":
            lengths.append(value)
        elif lower == "transfer-encoding":
            codings.append(value.lower())
    _check_framing(lengths, codings)
    if method == "CONNECT" and head.status in SUCCESS_STATUSES:
        raise InvalidResponseError("a tunnel is not supported")
    if method == "HEAD" or head.status in BODYLESS_STATUSES:
        return _LengthBody(0)
    if codings:
        return ChunkedBody()
    return _LengthBody(int(lengths[0])) if lengths else _UnlimitedBody()


def _check_framing(lengths: list[str], codings: list[str]) -> None:
    if len(lengths) + len(codings) > 1:
        raise InvalidResponseError("more than one Content-Length or Transfer-Encoding")
    if lengths and not CONTENT_LENGTH.fullmatch(lengths[0]):
        raise InvalidResponseError("invalid Content-Length")
    if codings and codings != ["chunked"]:
        raise InvalidResponseError(f"unsupported Transfer-Encoding {codings[0]!r}")
