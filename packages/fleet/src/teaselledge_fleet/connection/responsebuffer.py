"""Bytes of a response that its caller has not read yet.

While a caller reads slowly, its endpoint is not kept waiting: the response is read
into this buffer, so that the endpoint ends it and releases its slot. Back pressure
begins when the buffer is full, and ends the response if it lasts too long.
"""

import asyncio
import socket
import struct
from collections import deque

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPOutputError
from tornado.iostream import IOStream, StreamClosedError

from teaselledge_fleet.connection.sendbuffers import EndCause, Reader, SendBuffers
from teaselledge_fleet.log import get_log

__all__ = ["ResponseBuffer", "finish_response", "reset_stream"]

_log = get_log("front")

CHUNK_OVERHEAD_BYTES = 64
"""Memory of a queued chunk beyond its bytes: an object's header of 33 bytes, its place
in the queue, and what allocations are rounded up by."""

READ_AHEAD_BYTES = 80 << 10
"""What a stream under back pressure holds at most besides this buffer: two reads of
16 KB in the stream of the endpoint's connection, one in the parser, and two in the
queue between them and this buffer."""

MAX_HOLD_SECONDS = 15.0
"""Time for which the end of a response is held. Callers wait for 10 s at most; one that
reads a few bytes now and then would otherwise occupy memory without end."""

RESUME_FRACTION = 0.75
"""Fraction of the limit down to which the buffer must be sent before more is read from
the endpoint. Without this gap each small write would let the endpoint send a few bytes,
and its connection would look stalled to it all the same."""


class ResponseBuffer:
    """Holds the unsent chunks of one response, and writes them one after another.

    Parameters
    ----------
    connection : HTTP1Connection
        The caller's connection.
    buffers : SendBuffers
        Accounting of the process.
    write_seconds : float
        Time after which a write that is not completed closes the connection.
    delimited : bool
        Whether the caller can tell the end of the response from a closed connection.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        buffers: SendBuffers,
        write_seconds: float,
        delimited: bool,
    ) -> None:
        self._connection = connection
        self._buffers = buffers
        self._write_seconds = write_seconds
        self._delimited = delimited
        peer = getattr(connection.context, "remote_ip", "")
        self._account = buffers.open(Reader.CALLER, peer, self._reset)
        self._loop = asyncio.get_running_loop()
        self._chunks: deque[bytes] = deque()
        self._unsent = 0
        self._writing = 0
        self._timer: asyncio.TimerHandle | None = None
        self._finishing = False
        self._closed = False
        self._room: asyncio.Future[None] | None = None
        self._sent: asyncio.Future[None] = self._loop.create_future()

    @property
    def sent(self) -> bool:
        """Whether all bytes are sent."""
        return self._sent.done()

    def watch(self, written: "asyncio.Future[None]", size: int) -> None:
        """Hold the bytes of a write that the kernel did not take at once."""
        self._unsent += size
        self._start_watching(written, size)
        self._update_account()

    async def write(self, chunk: bytes) -> None:
        """Hold a chunk; wait before while the buffer is full."""
        self._check_open()
        if self._unsent >= self._buffers.limits.connection_bytes:
            await self._wait_for_room()
        self._unsent += len(chunk) + CHUNK_OVERHEAD_BYTES
        self._chunks.append(chunk)
        if self.sent:
            self._sent = self._loop.create_future()
            self._write_next()
        self._update_account()

    def finish(self) -> None:
        """Finish the response once all chunks are sent."""
        self._finishing = True

    async def wait_sent(self) -> None:
        """Wait until all chunks are sent, or for too long."""
        try:
            async with asyncio.timeout(MAX_HOLD_SECONDS):
                await self._sent
        except TimeoutError:
            self._on_timeout()

    def release(self) -> None:
        """Discard what is held."""
        self._closed = True
        self._chunks.clear()
        self._account.release()
        if self._timer is not None:
            self._timer.cancel()

    def _update_account(self) -> None:
        read_ahead = READ_AHEAD_BYTES if self._room is not None else 0
        self._account.resize(self._unsent + read_ahead)
        self._check_open()

    def _check_open(self) -> None:
        if self._closed:
            # it held the most, and the request's task is not cancelled yet
            raise StreamClosedError

    def _start_watching(self, written: "asyncio.Future[None]", size: int) -> None:
        self._writing = size
        self._timer = self._loop.call_later(self._write_seconds, self._on_timeout)
        written.add_done_callback(self._on_written)

    def _on_written(self, written: "asyncio.Future[None]") -> None:
        if self._closed or self._connection.stream.closed():
            # the request's task is cancelled, and releases this buffer
            return
        assert self._timer is not None
        self._timer.cancel()
        self._unsent -= self._writing
        self._write_next()
        self._notify_room()
        self._update_account()

    def _write_next(self) -> None:
        """Write chunks until the kernel takes no more."""
        while self._chunks:
            chunk = self._chunks.popleft()
            size = len(chunk) + CHUNK_OVERHEAD_BYTES
            written = self._connection.write(chunk)
            if not written.done():
                self._start_watching(written, size)
                return
            self._unsent -= size
        self._sent.set_result(None)
        if self._finishing:
            finish_response(self._connection)

    def _notify_room(self) -> None:
        room = self._room
        if room is None or room.done():
            return
        if self._unsent <= self._buffers.limits.connection_bytes * RESUME_FRACTION:
            room.set_result(None)

    async def _wait_for_room(self) -> None:
        self._room = self._loop.create_future()
        try:
            self._update_account()
            async with asyncio.timeout(self._buffers.limits.stall_seconds):
                await self._room
        except TimeoutError:
            self._buffers.record_end(self._account, EndCause.STALLED)
            self._reset()
            raise StreamClosedError from None
        finally:
            self._room = None

    def _on_timeout(self) -> None:
        self._buffers.record_end(self._account, EndCause.TIMEOUT)
        if not self._delimited:
            self._reset()
            return
        self.release()
        # closing the stream and not the connection notifies the request's task, which
        # then closes the connection to the endpoint
        self._connection.stream.close()

    def _reset(self) -> None:
        self.release()
        reset_stream(self._connection.stream)


def finish_response(connection: HTTP1Connection) -> None:
    """Finish a response of which everything is written."""
    try:
        connection.finish()
    except HTTPOutputError:
        # Tornado has closed the connection, so that the caller notices the
        # truncated response
        _log.warning("response shorter than its Content-Length")


def reset_stream(stream: IOStream) -> None:
    """Close a connection with a reset.

    The kernel discards what it holds for the caller, up to some megabytes, and a
    response that ends with its connection does not look complete.
    """
    if not stream.closed():
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.close()
