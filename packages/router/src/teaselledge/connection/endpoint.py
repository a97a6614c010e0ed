"""HTTP/1.1 requests to endpoints, with tornado's connection class."""

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

CONNECT_TIMEOUT_SECONDS = 2.0
CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 1 << 40
BODYLESS_STATUSES = frozenset({204, 304})


@dataclass(frozen=True)
class OutboundRequest:
    """A request to an endpoint.

    Attributes
    ----------
    method, path : str
        Method and path of the request line.
    headers : HTTPHeaders
        All headers.
    body : bytes
        The complete body, or its beginning.
    upload : Upload or None
        Source of the remaining body.
    """

    method: str
    path: str
    headers: HTTPHeaders
    body: bytes
    upload: Upload | None = None


@dataclass(frozen=True)
class SendFailure:
    """A request got no response.

    Attributes
    ----------
    maybe_sent : bool
        Whether the endpoint may have received anything.
    detail : str
        Description of the failure.
    malformed : bool
        Whether the endpoint sent malformed HTTP.
    refused : bool
        Whether the host refused the connection, as no process listens there.
    """

    maybe_sent: bool
    detail: str
    malformed: bool = False
    refused: bool = False


class IncompleteResponseError(Exception):
    """The endpoint closed the connection before the end of its response."""


class EndpointResponse(Protocol):
    """A response of which the head has arrived."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> HTTPHeaders:
        """Headers as received."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body.

        Raises `IncompleteResponseError` if the response is incomplete.
        """

    def close(self) -> None:
        """Close the connection; an engine treats this as a cancellation."""


class EndpointClient(Protocol):
    """Sends requests to endpoints."""

    async def send(
        self, address: str, request: OutboundRequest
    ) -> Result[EndpointResponse, SendFailure]:
        """Send a request and wait for the head of its response."""


class _ResponseDelegate(HTTPMessageDelegate):
    """Passes on a response chunk by chunk.

    The queue holds one chunk: reading from the endpoint stops while the caller is
    slow, so that a stream takes a fixed amount of memory.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.head: asyncio.Future[tuple[ResponseStartLine, HTTPHeaders]] = (
            loop.create_future()
        )
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue(maxsize=1)
        self.finished = False
        self.empty = True
        self.ends_by_close = False

    def headers_received(self, start_line: object, headers: HTTPHeaders) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code >= 200 and not self.head.done():  # noqa: PLR2004
            self.ends_by_close = (
                start_line.code not in BODYLESS_STATUSES
                and "Content-Length" not in headers
                and "Transfer-Encoding" not in headers
            )
            self.head.set_result((start_line, headers))

    async def data_received(self, chunk: bytes) -> None:
        self.empty = False
        await self.queue.put(chunk)

    def finish(self) -> None:
        self.finished = True


class _HttpResponse:
    """A response that a task reads from a connection."""

    def __init__(
        self, stream: IOStream, connection: HTTP1Connection, method: str
    ) -> None:
        self._stream = stream
        self._method = method
        self._delegate = _ResponseDelegate()
        self._send_task: asyncio.Task[None] | None = None
        self._read_task = asyncio.create_task(self._read(connection))

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
        if self._is_cut_off:
            delegate.finished = False
        await delegate.queue.put(None)

    @property
    def _is_cut_off(self) -> bool:
        """Whether the close that ended the response was not its end.

        An empty body has a length; without one the endpoint has stopped behind the
        head. Tornado takes a reset for the end of a body without a length.
        """
        delegate = self._delegate
        if not delegate.ends_by_close or self._method == "HEAD":
            return False
        return delegate.empty or self._stream.error is not None

    def send_remaining_body(
        self, connection: HTTP1Connection, upload: Upload | None
    ) -> None:
        """Send the remaining body while the response is read."""
        if upload is None:
            connection.finish()
            return
        self._send_task = asyncio.create_task(self._send_upload(connection, upload))

    async def _send_upload(self, connection: HTTP1Connection, upload: Upload) -> None:
        try:
            async for chunk in upload.chunks():
                await connection.write(chunk)
            connection.finish()
        except StreamClosedError:
            # the endpoint closed the connection; reading the response reports it
            return
        except HTTPOutputError:
            # the body does not match its Content-Length; closing the connection
            # keeps the endpoint from treating it as complete
            self._stream.close()

    async def wait_for_head(self) -> None:
        """Wait for the head of the response."""
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
        self._read_task.cancel()
        if self._send_task is not None:
            self._send_task.cancel()
        self._stream.close()
        # a pending read of chunks() must not wait for the cancelled task
        queue = self._delegate.queue
        if queue.full():
            queue.get_nowait()
        queue.put_nowait(None)


class HttpEndpointClient:
    """Sends each request on its own connection.

    An endpoint may close a kept-alive connection just as the next request is sent;
    the router could then not determine whether the request ran.
    """

    def __init__(self) -> None:
        self._client = TCPClient()

    async def send(
        self, address: str, request: OutboundRequest
    ) -> Result[EndpointResponse, SendFailure]:
        """Send a request and wait for the head of its response."""
        host, port = address.rsplit(":", 1)
        try:
            stream = await self._client.connect(
                host, int(port), timeout=CONNECT_TIMEOUT_SECONDS
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
                max_body_size=MAX_RESPONSE_BYTES,
            ),
        )
        response: _HttpResponse | None = None
        try:
            line = RequestStartLine(request.method, request.path, "HTTP/1.1")
            await connection.write_headers(line, request.headers, request.body)
            response = _HttpResponse(stream, connection, request.method)
            response.send_remaining_body(connection, request.upload)
            await response.wait_for_head()
        except (HTTPInputError, StreamClosedError, OSError) as error:
            stream.close()
            malformed = isinstance(error, HTTPInputError)
            return Error(SendFailure(True, "the endpoint gave no answer", malformed))
        except asyncio.CancelledError:
            if response is not None:
                response.close()
            stream.close()
            raise
        return Ok(response)
