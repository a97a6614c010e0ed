"""Write a response to a caller, with a limited buffer."""

import asyncio

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from teaselledge.connection.headers import forwardable_headers

__all__ = ["STREAM_BUFFER_BYTES", "HandlerSink"]

STREAM_BUFFER_BYTES = 256 * 1024
"""Maximum number of buffered bytes of a response to a slow caller.

An endpoint's slot is occupied while its response is read. Without a buffer, each
pause of a caller would prolong this; without a limit, a caller that reads nothing
would fill the router's memory.
"""

STALL_TIMEOUT_SECONDS = 30.0
"""Time with a full buffer after which a caller's connection is closed.

Otherwise a caller that does not read could occupy a slot indefinitely.
"""

STATUSES_WITHOUT_BODY = frozenset({204, 304})


class HandlerSink:
    """Writes a response through a tornado handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._started = False
        self._aborted = False
        self._buffered = 0
        self._has_room = asyncio.Event()
        self._has_room.set()

    @property
    def started(self) -> bool:
        """Whether the response has been started."""
        return self._started

    @property
    def aborted(self) -> bool:
        """Whether the connection was closed before the response was complete."""
        return self._aborted

    @property
    def buffered(self) -> int:
        """Number of bytes not yet written to the connection."""
        return self._buffered

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of the response."""
        self._started = True
        handler = self._handler
        handler.set_status(status)
        for name, value in forwardable_headers(headers).get_all():
            handler.add_header(name, value)
        if "Content-Length" in headers:
            handler.set_header("Content-Length", headers["Content-Length"])
        if status not in STATUSES_WITHOUT_BODY:
            self._flush(0)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body, waiting while the buffer is full."""
        self._handler.write(chunk)
        self._flush(len(chunk))
        if self._buffered < STREAM_BUFFER_BYTES:
            return
        self._has_room.clear()
        try:
            async with asyncio.timeout(STALL_TIMEOUT_SECONDS):
                await self._has_room.wait()
        except TimeoutError:
            self.abort()
            raise StreamClosedError from None

    async def finish(self) -> None:
        """Complete the response."""
        await self._handler.finish()

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
        self._aborted = True
        connection = self._handler.request.connection
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]

    def _flush(self, size: int) -> None:
        self._buffered += size
        flushed = asyncio.ensure_future(self._handler.flush())

        def on_flushed(future: "asyncio.Future[None]") -> None:
            # retrieve the exception, or asyncio logs it; the closed connection
            # cancels the request
            if not future.cancelled():
                future.exception()
            self._buffered -= size
            if self._buffered < STREAM_BUFFER_BYTES:
                self._has_room.set()

        flushed.add_done_callback(on_flushed)
