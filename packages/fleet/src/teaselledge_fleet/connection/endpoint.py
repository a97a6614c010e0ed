"""Connections to endpoints over HTTP/1.1, each read by one task."""

import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from expression import Error, Ok, Result
from tornado.iostream import IOStream, StreamClosedError

from teaselledge_fleet.connection.chunkqueue import ChunkQueue
from teaselledge_fleet.connection.connecting import connect
from teaselledge_fleet.connection.invalidresponse import InvalidResponseError
from teaselledge_fleet.connection.requestencoder import encode_request
from teaselledge_fleet.connection.responselimits import (
    MAX_BUFFERED_BYTES,
    MAX_INCOMPLETE_SECONDS,
    MAX_SKIPPED_BYTES,
    MAX_SKIPPED_RESPONSES,
)
from teaselledge_fleet.connection.responseparser import (
    ParsedHead,
    ResponseEvent,
    ResponseParser,
)
from teaselledge_fleet.connection.sendbuffers import Reader, SendBuffers
from teaselledge_fleet.connection.silentpeers import detect_silent_peer
from teaselledge_fleet.log import get_log
from teaselledge_fleet.request.call import CallerRequest, HeaderCodec, ResponseHead

__all__ = [
    "IncompleteResponseError",
    "EndpointConnection",
    "Exchange",
    "SendFailure",
    "SendFault",
]

_log = get_log("endpoints")

CONNECT_SECONDS = 0.5
"""Timeout for establishing a connection.

The farthest endpoint accepts within 46 ms (20 ms and 3 ms each way).
A lost SYN packet is sent again only after a second, so that another endpoint is the
better choice by then.
"""

READ_BYTES = 16 * 1024
"""Bytes read from an endpoint at a time.

Up to five such pieces are held for each stream whose events wait. With 64 KB each, 550
such streams nearly fill a router of 160 MB."""

MAX_QUEUED_CHUNKS = 8
"""Chunks of a response that are queued for a slow caller before reading stops."""

MAX_QUEUED_BYTES = READ_BYTES
"""The same in bytes. More is held behind the queue, where it is counted."""


class SendFault(Enum):
    """Why an attempt got no response."""

    REFUSED = "refused"
    """The connection was refused: nothing was sent."""

    UNREACHABLE = "unreachable"
    """The connection was not established: nothing was sent."""

    CLOSED = "closed"
    """The connection closed after the request was sent and before a response."""

    GARBAGE = "garbage"
    """The received bytes are not HTTP, exceed a limit of `responselimits`, or belong to
    too many other requests."""


@dataclass(frozen=True)
class SendFailure:
    """An attempt that got no response.

    Attributes
    ----------
    fault : SendFault
        Cause of the failure.
    sent : bool
        Whether the endpoint may have received the request.
    reused : bool
        Whether the connection had been used for an earlier request.
    """

    fault: SendFault
    sent: bool
    reused: bool = False


class IncompleteResponseError(Exception):
    """The response ended before it was complete, or it is too long."""


@dataclass(frozen=True)
class _ResponseEnd:
    complete: bool
    detail: str = ""


@dataclass(frozen=True)
class _ResponseFailure:
    fault: SendFault


_ResponsePart = ResponseHead | bytes | _ResponseEnd | _ResponseFailure


class Exchange:
    """One request on a connection, and its response.

    An engine may answer an earlier request twice, and the second response may arrive
    where that to this request is expected. It is recognised by its id and skipped.
    """

    def __init__(
        self,
        connection: "EndpointConnection",
        request: CallerRequest,
        codec: HeaderCodec,
    ) -> None:
        self._connection = connection
        self._request = request
        self._codec = codec
        self._queue: asyncio.Queue[_ResponsePart] = ChunkQueue(
            MAX_QUEUED_CHUNKS, MAX_QUEUED_BYTES
        )
        self._parser = ResponseParser(request.method)
        self._skipping = False
        self._skipped = 0
        self._skipped_bytes = 0
        self._stall_timer: asyncio.TimerHandle | None = None
        self._stalled = False
        self._ended = False
        self._cancelled = False
        self._head_received = False

    @property
    def ended_by_close(self) -> bool:
        """Whether only the close of the connection shows that the response ended."""
        return self._parser.ended_by_close

    async def head(self) -> Result[ResponseHead, SendFailure]:
        """Wait for the head of the response."""
        part = await self._queue.get()
        if isinstance(part, ResponseHead):
            return Ok(part)
        fault = part.fault if isinstance(part, _ResponseFailure) else SendFault.CLOSED
        return Error(SendFailure(fault, True, self._connection.reused))

    async def body(self, max_bytes: int = MAX_BUFFERED_BYTES) -> AsyncIterator[bytes]:
        """Iterate over the body.

        Raises
        ------
        IncompleteResponseError
            If the body is truncated or longer than `max_bytes`.
        """
        received = 0
        while True:
            part = await self._queue.get()
            if isinstance(part, bytes):
                received += len(part)
                if received > max_bytes:
                    raise IncompleteResponseError(f"body over {max_bytes} bytes")
                yield part
                continue
            if isinstance(part, _ResponseEnd) and part.complete:
                return
            raise IncompleteResponseError(
                part.detail if isinstance(part, _ResponseEnd) else ""
            )

    def cancel(self) -> None:
        """Cancel the exchange; if it has not ended, its connection is closed.

        The endpoint then stops its work on the request.
        """
        self._cancelled = True
        self._stop_stall_timer()
        if not self._ended:
            self._connection.close()
        # empties the queue, as nothing else reads from it now and the reading task
        # would block on a full queue, even with the end of a complete response
        while not self._queue.empty():
            self._queue.get_nowait()

    async def feed(self, data: bytes) -> None:
        """Process bytes from the connection; no bytes mean a clean close."""
        if self._stalled:
            # the connection was closed for it
            error = InvalidResponseError(f"no end within {MAX_INCOMPLETE_SECONDS} s")
            await self._fail(SendFault.GARBAGE, error)
            return
        self._parser.receive(data)
        try:
            await self._process_events()
        except InvalidResponseError as error:
            await self._fail(SendFault.GARBAGE if data else SendFault.CLOSED, error)
        if self._skipping or self._parser.has_partial_element:
            self._start_stall_timer()

    def fail_unsent(self) -> None:
        """Fail the exchange, as the connection closed before the request was sent."""
        self._ended = True
        self._queue.put_nowait(_ResponseFailure(SendFault.CLOSED))

    async def on_connection_reset(self) -> None:
        """Fail the exchange, as the connection ended without a clean close."""
        await self._fail(SendFault.CLOSED, None)

    async def on_unreadable(self, error: Exception) -> None:
        """Fail the exchange, as its response can't be processed."""
        await self._fail(SendFault.GARBAGE, error)

    async def _put(self, part: _ResponsePart) -> None:
        if not self._cancelled:
            await self._queue.put(part)

    async def _process_events(self) -> None:
        while not self._ended:
            event = self._parser.next_event()
            if event is ResponseEvent.NEED_DATA:
                return
            if event is ResponseEvent.END or not self._skipping:
                # waiting for a slow caller is not counted
                self._stop_stall_timer()
            if event is ResponseEvent.END:
                await self._process_end()
            elif isinstance(event, ParsedHead):
                await self._process_head(event)
            elif self._skipping:
                self._skip(event)
            else:
                await self._put(event)

    async def _process_head(self, response: ParsedHead) -> None:
        head = self._codec.decode_response_head(
            self._request, response.status, response.headers
        )
        if head.matches_request:
            self._head_received = True
            self._connection.update_keep_alive(response.headers)
            await self._put(head)
            return
        self._skipping = True
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_RESPONSES:
            await self._fail(SendFault.GARBAGE, None)

    def _skip(self, data: bytes) -> None:
        self._skipped_bytes += len(data)
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise InvalidResponseError(
                f"over {MAX_SKIPPED_BYTES} bytes of responses to other requests"
            )

    def _start_stall_timer(self) -> None:
        if self._stall_timer is not None or self._ended:
            return
        loop = asyncio.get_running_loop()
        self._stall_timer = loop.call_later(MAX_INCOMPLETE_SECONDS, self._on_stall)

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _on_stall(self) -> None:
        # the reading task is waiting for data, and gets the close instead
        self._stalled = True
        self._connection.close()

    async def _process_end(self) -> None:
        if self._skipping:
            self._skipping = False
            self._parser.start_next_response()
            return
        self._ended = True
        await self._put(_ResponseEnd(True))
        # a response that was sent twice may be followed by another copy
        self._connection.release(self._parser.reusable and not self._skipped)

    async def _fail(self, fault: SendFault, error: Exception | None) -> None:
        if self._ended:
            return
        self._ended = True
        # before the queue, which a slow caller may keep full
        self._connection.close()
        if self._head_received:
            await self._put(_ResponseEnd(False, str(error or fault.value)))
        else:
            await self._put(_ResponseFailure(fault))


class EndpointConnection:
    """A connection to an endpoint, used by one request at a time."""

    def __init__(
        self, stream: IOStream, address: str, send_buffers: SendBuffers
    ) -> None:
        self._stream = stream
        self._send_buffers = send_buffers
        self._address = address
        self._exchange: Exchange | None = None
        self._request_count = 0
        self._idle_since = asyncio.get_running_loop().time()
        self._keep_alive_seconds: float | None = None
        self._reusable = True
        self._task = asyncio.create_task(self._read_responses())

    @property
    def address(self) -> str:
        """``host:port`` of the endpoint."""
        return self._address

    @property
    def reused(self) -> bool:
        """Whether the connection was used before the current request."""
        return self._request_count > 1

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    @property
    def idle(self) -> bool:
        """Whether the connection is open and no request uses it."""
        return self._exchange is None and not self.closed

    @property
    def idle_since(self) -> float:
        """Loop time at which the last request ended, or it was opened."""
        return self._idle_since

    @property
    def keep_alive_seconds(self) -> float | None:
        """Idle time after which the endpoint closes the connection, None if unknown."""
        return self._keep_alive_seconds

    @classmethod
    async def open(
        cls, address: str, send_buffers: SendBuffers
    ) -> "Result[EndpointConnection, SendFailure]":
        """Connect to an endpoint."""
        connection = _create_socket()
        try:
            await connect(connection, address, CONNECT_SECONDS)
        except (OSError, TimeoutError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            fault = SendFault.REFUSED if refused else SendFault.UNREACHABLE
            return Error(SendFailure(fault, False))
        stream = IOStream(connection, read_chunk_size=READ_BYTES)
        return Ok(cls(stream, address, send_buffers))

    def send_request(
        self,
        request: CallerRequest,
        codec: HeaderCodec,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> Exchange:
        """Send a request."""
        data = encode_request(request.method, request.target, headers, body)
        self._request_count += 1
        exchange = self._exchange = Exchange(self, request, codec)
        if self._stream.closed():
            self._exchange = None
            exchange.fail_unsent()
            return exchange
        future = self._stream.write(data)
        # consumes the exception of a failed write, which the reading task reports
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        if not future.done():
            unsent = self._send_buffers.open(Reader.ENDPOINT, self._address, self.close)
            future.add_done_callback(lambda done: unsent.release())
            unsent.resize(len(data))
        return exchange

    def update_keep_alive(self, headers: list[tuple[str, str]]) -> None:
        """Set the keep-alive time from a response's ``Keep-Alive`` header."""
        for name, value in headers:
            if name.lower() == "keep-alive":
                self._keep_alive_seconds = _parse_keep_alive_timeout(value)

    def release(self, reusable: bool) -> None:
        """End the current request."""
        self._exchange = None
        self._idle_since = asyncio.get_running_loop().time()
        if not reusable or self._stream.writing():
            self.close()

    def close(self) -> None:
        """Close the connection; the endpoint then drops the request on it."""
        self._stream.close()

    async def _read_responses(self) -> None:
        try:
            while True:
                data = await self._stream.read_bytes(READ_BYTES, partial=True)
                if self._exchange is None:
                    # a response without a request; the connection is closed so that
                    # a later request does not treat it as its own
                    return
                await self._exchange.feed(data)
        except StreamClosedError as error:
            await self._end_exchange(error.real_error is None)
        except Exception as error:
            _log.exception("unexpected error in a response", address=self._address)
            if self._exchange is not None:
                await self._exchange.on_unreadable(error)
        finally:
            self._stream.close()

    async def _end_exchange(self, clean: bool) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        if clean:
            await exchange.feed(b"")
        else:
            await exchange.on_connection_reset()


def _create_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    detect_silent_peer(sock)
    return sock


def _parse_keep_alive_timeout(value: str) -> float | None:
    for item in value.split(","):
        name, _, number = item.strip().partition("=")
        if name.lower() == "timeout" and number.isascii() and number.isdigit():
            return float(number)
    return None
