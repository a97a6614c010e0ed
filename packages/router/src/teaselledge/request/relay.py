"""Relay an order's response and record it, also after the caller disconnected."""

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from teaselledge.request.context import Sink
from teaselledge.request.record import StoredResponse

__all__ = ["RecordingSink"]

MAX_STORED_BODY_BYTES = 8 << 20
"""Larger response bodies are not stored in the journal."""


class RecordingSink:
    """Relays a response until the caller disconnects, and records all of it."""

    def __init__(self, sink: Sink) -> None:
        self._sink: Sink | None = sink
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = bytearray()
        self._too_large = False

    @property
    def started(self) -> bool:
        """Whether anything has reached the caller."""
        return self._sink is not None and self._sink.started

    @property
    def response(self) -> StoredResponse:
        """The response so far, without its body if that is too large to store."""
        body = None if self._too_large else bytes(self._body)
        return StoredResponse(self._status, self._headers, body)

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Record and relay the head."""
        self._status = status
        self._headers = tuple(headers.get_all())
        if self._sink is None:
            return
        try:
            await self._sink.start(status, headers)
        except StreamClosedError:
            self._sink = None

    async def write(self, chunk: bytes) -> None:
        """Record and relay a chunk of the body."""
        if len(self._body) + len(chunk) > MAX_STORED_BODY_BYTES:
            self._too_large = True
            self._body.clear()
        if not self._too_large:
            self._body += chunk
        if self._sink is None:
            return
        try:
            await self._sink.write(chunk)
        except StreamClosedError:
            self._sink = None

    async def finish(self) -> None:
        """Mark the response as complete."""
        if self._sink is None:
            return
        try:
            await self._sink.finish()
        except StreamClosedError:
            self._sink = None

    def abort(self) -> None:
        """Detach the caller, aborting its response if that has started."""
        if self.started and self._sink is not None:
            self._sink.abort()
        self._sink = None
