"""HTTP server for callers, which runs each request in a task."""

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from teaselledge_fleet.connection.accepting import (
    DIRECT_ORIGIN,
    Acceptor,
    ConnectionOrigin,
)
from teaselledge_fleet.connection.responsebuffer import (
    ResponseBuffer,
    finish_response,
    reset_stream,
)
from teaselledge_fleet.connection.sendbuffers import SendBufferLimits, SendBuffers
from teaselledge_fleet.log import get_log

__all__ = ["ResponseWriter", "FrontServer", "ReceivedRequest"]

_log = get_log("front")

WRITE_TIMEOUT_SECONDS = 5.0
"""Time without progress of a write after which the caller's connection is closed.

A caller that does not read would otherwise occupy an engine's slot that others wait
for. Callers abandon a stream after a gap of 2 to 4 s, so none that is still waiting
is disconnected.
"""


class ReceivedRequest:
    """A request with its whole body.

    Attributes
    ----------
    method, target : str
        From the request line.
    headers : HTTPHeaders
        All headers.
    body : bytes
        The complete body.
    arrived_at : float
        Loop time at which the headers were read.
    remote_ip : str
        IP address of the peer: the caller, or a router that relays the connection.
    origin : ConnectionOrigin
        How the connection reached this router.
    """

    def __init__(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        arrived_at: float,
        remote_ip: str = "",
        origin: ConnectionOrigin = DIRECT_ORIGIN,
    ) -> None:
        self.method = line.method
        self.target = line.path
        self.headers = headers
        self.body = b""
        self.arrived_at = arrived_at
        self.remote_ip = remote_ip
        self.origin = origin


class ResponseWriter:
    """Writes the response to a caller.

    Attributes
    ----------
    started, finished : bool
        Whether the head and the end have been written, or are held for a slow caller.
    reconnect_probability : float
        Probability that the caller is asked to open a new connection, 0 to 1.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        reconnect_probability: float,
        send_buffers: SendBuffers,
    ) -> None:
        self._connection = connection
        self._send_buffers = send_buffers
        self._buffer: ResponseBuffer | None = None
        self._delimited = True
        self.reconnect_probability = reconnect_probability
        self.started = False
        self.finished = False

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed its connection.

        Checks the socket directly. If the event loop was blocked, a request and its
        caller's close are read at the same time, but the close is reported only some
        iterations later. A request sent before that would run for no caller.
        """
        stream = self._connection.stream
        if stream is None or stream.closed():
            return True
        try:
            return not stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def start(
        self, status: int, headers: HTTPHeaders, chunk: bytes | None = None
    ) -> None:
        """Write the head and optionally the first chunk of the body."""
        self.started = True
        if random.random() < self.reconnect_probability:
            # the caller's next request reaches a router with more capacity
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        written = self._connection.write_headers(line, headers, chunk)
        # without either, as for HTTP/1.0, the response ends with its connection
        self._delimited = "Transfer-Encoding" in headers or "Content-Length" in headers
        self._check_written(written, len(chunk or b""))

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body; waits while too much is held for the caller."""
        if self._buffer is not None and not self._buffer.sent:
            await self._buffer.write(chunk)
            return
        self._check_written(self._connection.write(chunk), len(chunk))

    def finish(self) -> None:
        """Finish the response."""
        self.finished = True
        if self._buffer is not None and not self._buffer.sent:
            self._buffer.finish()
            return
        finish_response(self._connection)

    async def wait_sent(self) -> None:
        """Wait until nothing is held for the caller."""
        if self._buffer is not None and not self._connection.stream.closed():
            await self._buffer.wait_sent()

    def release(self) -> None:
        """Discard what is held for the caller."""
        if self._buffer is not None:
            self._buffer.release()

    def abort(self) -> None:
        """Close the connection, so that the caller notices the incomplete response."""
        self.finished = True
        self.release()
        if not self._delimited:
            reset_stream(self._connection.stream)
        self._connection.close()

    def _check_written(self, written: "asyncio.Future[None]", size: int) -> None:
        if written.done():
            # the usual case: the event fitted into the socket's buffer
            written.result()
            return
        self._buffer = ResponseBuffer(
            self._connection,
            self._send_buffers,
            WRITE_TIMEOUT_SECONDS,
            self._delimited,
        )
        self._buffer.watch(written, size)


RequestHandler = Callable[[ReceivedRequest, ResponseWriter], Awaitable[None]]


class _RequestReader(HTTPMessageDelegate):
    """Reads one request and calls the handler with it."""

    def __init__(self, server: "FrontServer", connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._received: ReceivedRequest | None = None
        self._body_chunks: list[bytes] = []
        self._task: asyncio.Task[None] | None = None

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        arrived_at = asyncio.get_running_loop().time()
        remote_ip = getattr(self._connection.context, "remote_ip", "")
        origin = self._server.acceptor.origin_of(self._connection.stream)
        self._received = ReceivedRequest(
            start_line, headers, arrived_at, remote_ip, origin
        )
        self._server.add_running(self)

    def data_received(self, chunk: bytes) -> None:
        self._body_chunks.append(chunk)

    def finish(self) -> None:
        assert self._received is not None
        self._received.body = b"".join(self._body_chunks)
        self._body_chunks.clear()
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._run(self._received))

    def on_connection_close(self) -> None:
        self._server.discard_running(self)
        if self._task is not None:
            self._task.cancel()

    async def _run(self, received: ReceivedRequest) -> None:
        reconnect_probability = self._server.reconnect_probability()
        if received.origin.min_version is not None:
            # a relayed connection serves one request only, as either router's
            # configuration may change before the next one
            reconnect_probability = 1.0
        writer = ResponseWriter(
            self._connection, reconnect_probability, self._server.send_buffers
        )
        try:
            await self._server.handler(received, writer)
            await writer.wait_sent()
        except StreamClosedError:
            # the caller disconnected while the response was written
            return
        except Exception:
            _log.exception("unexpected error while handling a request")
            writer.abort()
        finally:
            writer.release()
            self._server.discard_running(self)


class FrontServer(HTTPServerConnectionDelegate):
    """Serves callers on the addresses it listens on.

    Parameters
    ----------
    handler : callable
        Runs one request; it is cancelled when the caller disconnects.
    header_bytes, body_bytes : int
        Maximum size of the headers and of the body.
    idle_seconds : float
        Time after which an idle connection is closed.
    send_buffers : SendBuffers, optional
        Accounting of the bytes that callers have not read.

    Attributes
    ----------
    acceptor : Acceptor
        Accepts, relays or refuses new connections.
    reconnect_probability : callable
        Returns the probability that a caller is asked to open a new connection, 0 to
        1.
    """

    def __init__(
        self,
        handler: RequestHandler,
        header_bytes: int,
        body_bytes: int,
        idle_seconds: float,
        send_buffers: SendBuffers | None = None,
    ) -> None:
        self.handler = handler
        self.send_buffers = send_buffers or SendBuffers(SendBufferLimits.from_memory())
        self.reconnect_probability: Callable[[], float] = lambda: 0.0
        self._running: set[_RequestReader] = set()
        self._ports: list[int] = []
        self._http = HTTPServer(
            self,
            max_header_size=header_bytes,
            max_body_size=body_bytes,
            idle_connection_timeout=idle_seconds,
        )
        self.acceptor = Acceptor(
            self._http.handle_stream, idle_seconds, self.send_buffers
        )

    @property
    def ports(self) -> list[int]:
        """Ports on which the server listens."""
        return self._ports

    @property
    def running(self) -> int:
        """Number of requests being read or answered, and of relayed connections."""
        return len(self._running) + self.acceptor.active_relays

    def listen(self, host: str, port: int) -> None:
        """Listen on an address for callers."""
        self._ports += self.acceptor.listen(host, port)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader for the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        request_conn.stream.set_nodelay(True)
        return _RequestReader(self, request_conn)

    def add_running(self, reader: _RequestReader) -> None:
        """Count a request whose headers were read."""
        self._running.add(reader)

    def discard_running(self, reader: _RequestReader) -> None:
        """Stop counting a request."""
        self._running.discard(reader)

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self._http.conn_params.no_keep_alive = True

    def stop(self) -> None:
        """Stop accepting connections."""
        self.acceptor.stop()

    async def close(self) -> None:
        """Close all connections."""
        self.acceptor.close()
        await self._http.close_all_connections()
