"""Pass an order's answer on and keep it, also after the caller has gone."""

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from teaselledge.request.context import Sink
from teaselledge.request.record import StoredResponse

__all__ = ["RecordingSink"]

KEPT_BYTES = 8 << 20
"""Longest answer that the journal keeps, in bytes."""


class RecordingSink:
    """A sink that outlives its caller and remembers the answer."""

    def __init__(self, sink: Sink) -> None:
        self._sink: Sink | None = sink
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = bytearray()
        self._too_long = False

    @property
    def started(self) -> bool:
        """Whether anything has reached the caller."""
        return self._sink is not None and self._sink.started

    @property
    def response(self) -> StoredResponse:
        """The answer so far; without a body where that is too long to keep."""
        body = None if self._too_long else bytes(self._body)
        return StoredResponse(self._status, self._headers, body)

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take the head."""
        self._status = status
        self._headers = tuple(headers.get_all())
        if self._sink is None:
            return
        try:
            await self._sink.start(status, headers)
        except StreamClosedError:
            self._sink = None

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        if len(self._body) + len(chunk) > KEPT_BYTES:
            self._too_long = True
            self._body.clear()
        if not self._too_long:
            self._body += chunk
        if self._sink is None:
            return
        try:
            await self._sink.write(chunk)
        except StreamClosedError:
            self._sink = None

    async def finish(self) -> None:
        """Mark the answer as whole."""
        if self._sink is None:
            return
        try:
            await self._sink.finish()
        except StreamClosedError:
            self._sink = None

    def abort(self) -> None:
        """End what has reached the caller visibly broken, and let go of it."""
        if self.started and self._sink is not None:
            self._sink.abort()
        self._sink = None
