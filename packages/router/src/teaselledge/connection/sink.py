"""Write an answer to a caller, with a bounded buffer."""

import asyncio

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from teaselledge.connection.headers import forwardable_headers

__all__ = ["STREAM_BUFFER_BYTES", "HandlerSink"]

STREAM_BUFFER_BYTES = 256 * 1024
"""Bytes of one answer that wait for a slow caller.

An endpoint's slot is held while its answer is read. With no buffer, each pause
of a caller would hold the slot; with no bound, a caller that reads nothing
would fill the router's memory.
"""

STALL_SECONDS = 30.0
"""A caller that takes nothing for so long, with a full buffer, is cut off.

Otherwise it would hold a slot that others wait for, for as long as it likes.
"""

NO_BODY_STATUS = frozenset({204, 304})


class HandlerSink:
    """Passes an answer through a tornado handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._started = False
        self._aborted = False
        self._buffered = 0
        self._room = asyncio.Event()
        self._room.set()

    @property
    def started(self) -> bool:
        """Whether anything has reached the caller."""
        return self._started

    @property
    def aborted(self) -> bool:
        """Whether the answer was ended visibly broken."""
        return self._aborted

    @property
    def buffered(self) -> int:
        """Bytes that wait for the caller."""
        return self._buffered

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head."""
        self._started = True
        handler = self._handler
        handler.set_status(status)
        for name, value in forwardable_headers(headers).get_all():
            handler.add_header(name, value)
        if "Content-Length" in headers:
            handler.set_header("Content-Length", headers["Content-Length"])
        if status not in NO_BODY_STATUS:
            self._flush(0)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; waits while the buffer is full."""
        self._handler.write(chunk)
        self._flush(len(chunk))
        if self._buffered < STREAM_BUFFER_BYTES:
            return
        self._room.clear()
        try:
            async with asyncio.timeout(STALL_SECONDS):
                await self._room.wait()
        except TimeoutError:
            self.abort()
            raise StreamClosedError from None

    async def finish(self) -> None:
        """Mark the answer as whole."""
        await self._handler.finish()

    def abort(self) -> None:
        """End the answer visibly broken, by closing the connection."""
        self._aborted = True
        connection = self._handler.request.connection
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]

    def _flush(self, size: int) -> None:
        self._buffered += size
        flushed = asyncio.ensure_future(self._handler.flush())

        def note(future: "asyncio.Future[None]") -> None:
            # reading the exception keeps asyncio from logging it; the closed
            # connection cancels the request
            if not future.cancelled():
                future.exception()
            self._buffered -= size
            if self._buffered < STREAM_BUFFER_BYTES:
                self._room.set()

        flushed.add_done_callback(note)
