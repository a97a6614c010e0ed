"""Exchanges with endpoints over HTTP/1.1, by tornado's connection class."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from expression import Error, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPOutputError,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from teaselledge.request.upload import Upload

__all__ = [
    "IncompleteResponseError",
    "EndpointResponse",
    "EndpointClient",
    "HttpEndpointClient",
    "OutboundRequest",
    "SendFailure",
]

CONNECT_SECONDS = 2.0
CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 1 << 40


@dataclass(frozen=True)
class OutboundRequest:
    """A request as it goes to an endpoint.

    Attributes
    ----------
    method, path : str
        Of the request line.
    headers : HTTPHeaders
        All headers.
    body : bytes
        The body, or its first part.
    upload : Upload or None
        The rest of the body.
    """

    method: str
    path: str
    headers: HTTPHeaders
    body: bytes
    upload: Upload | None = None


@dataclass(frozen=True)
class SendFailure:
    """No answer came.

    Attributes
    ----------
    maybe_sent : bool
        Whether the endpoint may have received anything.
    detail : str
        What happened.
    malformed : bool
        The endpoint sent something that is no HTTP.
    refused : bool
        Its host refused the connection: nothing listens there.
    """

    maybe_sent: bool
    detail: str
    malformed: bool = False
    refused: bool = False


class IncompleteResponseError(Exception):
    """The endpoint stopped in the middle of its answer."""


class EndpointResponse(Protocol):
    """An answer that has begun."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> HTTPHeaders:
        """Headers as received."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body.

        Raises `IncompleteResponseError` where it stops short.
        """

    def close(self) -> None:
        """Drop the exchange; an engine takes that as a cancellation."""


class EndpointClient(Protocol):
    """Sends requests to endpoints."""

    async def send(
        self, address: str, request: OutboundRequest
    ) -> Result[EndpointResponse, SendFailure]:
        """Send a request and wait for the head of its answer."""


class _Delegate(HTTPMessageDelegate):
    """Hands one answer over, a chunk at a time.

    The queue holds one chunk: reading from the endpoint stops while the
    caller is slow, so a stream takes a fixed amount of memory.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.head: asyncio.Future[tuple[ResponseStartLine, HTTPHeaders]] = (
            loop.create_future()
        )
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue(maxsize=1)
        self.finished = False

    def headers_received(self, start_line: object, headers: HTTPHeaders) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code >= 200 and not self.head.done():  # noqa: PLR2004
            self.head.set_result((start_line, headers))

    async def data_received(self, chunk: bytes) -> None:
        await self.queue.put(chunk)

    def finish(self) -> None:
        self.finished = True


class _HttpAnswer:
    """An answer read from a connection by one task."""

    def __init__(self, stream: IOStream, connection: HTTP1Connection) -> None:
        self._stream = stream
        self._delegate = _Delegate()
        self._sending: asyncio.Task[None] | None = None
        self._task = asyncio.create_task(self._read(connection))

    async def _read(self, connection: HTTP1Connection) -> None:
        delegate = self._delegate
        try:
            await connection.read_response(delegate)
        except (HTTPInputError, StreamClosedError, OSError) as error:
            if not delegate.head.done():
                delegate.head.set_exception(error)
                return
        finally:
            self._stream.close()
        if not delegate.head.done():
            delegate.head.set_exception(StreamClosedError())
            return
        await delegate.queue.put(None)

    def send_rest(self, connection: HTTP1Connection, upload: Upload | None) -> None:
        """Send the rest of the body beside reading the answer."""
        if upload is None:
            connection.finish()
            return
        self._sending = asyncio.create_task(self._send(connection, upload))

    async def _send(self, connection: HTTP1Connection, upload: Upload) -> None:
        try:
            async for chunk in upload.chunks():
                await connection.write(chunk)
            connection.finish()
        except StreamClosedError:
            # the endpoint closed the connection; reading the answer tells how
            return
        except HTTPOutputError:
            # the body is not of the announced length: the endpoint must not
            # take it for whole
            self._stream.close()

    async def head(self) -> None:
        """Wait for the head."""
        await asyncio.shield(self._delegate.head)

    @property
    def status(self) -> int:
        return self._delegate.head.result()[0].code

    @property
    def headers(self) -> HTTPHeaders:
        return self._delegate.head.result()[1]

    async def chunks(self) -> AsyncIterator[bytes]:
        while True:
            chunk = await self._delegate.queue.get()
            if chunk is None:
                break
            yield chunk
        if not self._delegate.finished:
            raise IncompleteResponseError

    def close(self) -> None:
        self._task.cancel()
        if self._sending is not None:
            self._sending.cancel()
        self._stream.close()
        # whoever still reads must not wait for a task that has ended
        queue = self._delegate.queue
        if queue.full():
            queue.get_nowait()
        queue.put_nowait(None)


class HttpEndpointClient:
    """Sends each request on a connection of its own.

    A kept-alive connection may be closed by the endpoint just as the next
    request goes out; the router could then not tell whether the request ran.
    """

    def __init__(self) -> None:
        self._client = TCPClient()

    async def send(
        self, address: str, request: OutboundRequest
    ) -> Result[EndpointResponse, SendFailure]:
        """Send a request and wait for the head of its answer."""
        host, port = address.rsplit(":", 1)
        try:
            stream = await self._client.connect(
                host, int(port), timeout=CONNECT_SECONDS
            )
        except (OSError, StreamClosedError, TimeoutError) as error:
            cause = getattr(error, "real_error", None) or error
            refused = isinstance(cause, ConnectionRefusedError)
            detail = "the endpoint refuses connections"
            return Error(SendFailure(False, detail, refused=refused))
        stream.set_nodelay(True)
        connection = HTTP1Connection(
            stream,
            True,
            HTTP1ConnectionParameters(
                no_keep_alive=True,
                chunk_size=CHUNK_BYTES,
                max_header_size=MAX_HEADER_BYTES,
                max_body_size=MAX_ANSWER_BYTES,
            ),
        )
        answer: _HttpAnswer | None = None
        try:
            line = RequestStartLine(request.method, request.path, "HTTP/1.1")
            await connection.write_headers(line, request.headers, request.body)
            answer = _HttpAnswer(stream, connection)
            answer.send_rest(connection, request.upload)
            await answer.head()
        except (HTTPInputError, StreamClosedError, OSError) as error:
            stream.close()
            garbage = isinstance(error, HTTPInputError)
            return Error(SendFailure(True, "the endpoint gave no answer", garbage))
        except asyncio.CancelledError:
            if answer is not None:
                answer.close()
            stream.close()
            raise
        return Ok(answer)
