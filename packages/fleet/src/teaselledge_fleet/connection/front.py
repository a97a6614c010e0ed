"""The callers' server: reads requests, starts a task for each, writes answers."""

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
    HTTPOutputError,
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
from teaselledge_fleet.log import get_log

__all__ = ["ResponseWriter", "FrontServer", "ReceivedRequest"]

_log = get_log("front")

WRITE_TIMEOUT_SECONDS = 5.0
"""A caller that takes nothing for so long is cut off.

It would hold a slot of an engine that others wait for. Callers give up a stream
after a gap of 2 to 4 s, so none that still waits is cut.
"""


class ReceivedRequest:
    """A request that was read in full.

    Attributes
    ----------
    method, target : str
        Of the request line.
    headers : HTTPHeaders
        All headers.
    body : bytes
        The whole body.
    arrived_at : float
        Loop time at which its headers were read.
    remote_ip : str
        IP number from which it came; another router's where that one passed it on.
    origin : Origin
        What is known of its connection.
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
    """The caller's side of an answer.

    Attributes
    ----------
    started, finished : bool
        Whether the head and the end have been written.
    reconnect_probability : float
        Part of the callers that are asked to connect anew, 0 to 1.
    """

    def __init__(
        self, connection: HTTP1Connection, reconnect_probability: float = 0.0
    ) -> None:
        self._connection = connection
        self.reconnect_probability = reconnect_probability
        self.started = False
        self.finished = False

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed its connection.

        A router that is late reads a request and its caller's close at the same time,
        and learns of the close only some turns of the loop later. What it would send
        until then is work for nobody. So it looks at the socket itself.
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
        """Write the head, and a first part of the body with it."""
        self.started = True
        if random.random() < self.reconnect_probability:
            # the caller's next request goes to a router with more room
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        await self._wait(self._connection.write_headers(line, headers, chunk))

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body; waits while the caller is slow."""
        await self._wait(self._connection.write(chunk))

    def finish(self) -> None:
        """Mark the answer as whole."""
        self.finished = True
        try:
            self._connection.finish()
        except HTTPOutputError:
            # shorter than its length says: the connection has been closed, and the
            # caller sees that a part is missing
            _log.warning("answer shorter than its announced length")

    def abort(self) -> None:
        """End the answer visibly broken, by closing the connection."""
        self.finished = True
        self._connection.close()

    async def _wait(self, written: "asyncio.Future[None]") -> None:
        if written.done():
            # as a rule: the socket's buffer had room for an event
            written.result()
            return
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await written
        except TimeoutError:
            self.abort()
            raise StreamClosedError from None


Serve = Callable[[ReceivedRequest, ResponseWriter], Awaitable[None]]


class _Reader(HTTPMessageDelegate):
    """Reads one request and runs it."""

    def __init__(self, server: "FrontServer", connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._incoming: ReceivedRequest | None = None
        self._parts: list[bytes] = []
        self._task: asyncio.Task[None] | None = None

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        now = asyncio.get_running_loop().time()
        caller = getattr(self._connection.context, "remote_ip", "")
        origin = self._server.acceptor.origin_of(self._connection.stream)
        self._incoming = ReceivedRequest(start_line, headers, now, caller, origin)
        self._server.add_running(self)

    def data_received(self, chunk: bytes) -> None:
        self._parts.append(chunk)

    def finish(self) -> None:
        assert self._incoming is not None
        self._incoming.body = b"".join(self._parts)
        self._parts.clear()
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._run(self._incoming))

    def on_connection_close(self) -> None:
        self._server.discard_running(self)
        if self._task is not None:
            self._task.cancel()

    async def _run(self, incoming: ReceivedRequest) -> None:
        moving = self._server.reconnect_probability()
        if incoming.origin.min_version is not None:
            # each request is passed on by itself, as the versions may change
            moving = 1.0
        sink = ResponseWriter(self._connection, moving)
        try:
            await self._server.handler(incoming, sink)
        except StreamClosedError:
            # the caller left while its answer was written
            return
        except Exception:
            _log.exception("request failed by a fault of the router")
            sink.abort()
        finally:
            self._server.discard_running(self)


class FrontServer(HTTPServerConnectionDelegate):
    """Serves callers on one listener.

    Parameters
    ----------
    handler : callable
        Runs one request; it is cancelled when the caller leaves.
    header_bytes, body_bytes : int
        Largest headers and body.
    idle_seconds : float
        Time after which a connection without a request is closed.

    Attributes
    ----------
    acceptor : Acceptor
        Decides what becomes of new connections.
    reconnect_probability : callable
        Returns the part of the callers that are asked to connect anew, 0 to 1.
    """

    def __init__(
        self, handler: Serve, header_bytes: int, body_bytes: int, idle_seconds: float
    ) -> None:
        self.handler = handler
        self.reconnect_probability: Callable[[], float] = lambda: 0.0
        self._running: set[_Reader] = set()
        self._ports: list[int] = []
        self._http = HTTPServer(
            self,
            max_header_size=header_bytes,
            max_body_size=body_bytes,
            idle_connection_timeout=idle_seconds,
        )
        self.acceptor = Acceptor(self._http.handle_stream, idle_seconds)

    @property
    def ports(self) -> list[int]:
        """Ports on which it listens."""
        return self._ports

    @property
    def running(self) -> int:
        """Requests that are being read or answered."""
        return len(self._running) + self.acceptor.active_relays

    def listen(self, host: str, port: int) -> None:
        """Listen on an address for callers."""
        self._ports += self.acceptor.listen(host, port)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        request_conn.stream.set_nodelay(True)
        return _Reader(self, request_conn)

    def add_running(self, reader: _Reader) -> None:
        """Count a request whose headers were read."""
        self._running.add(reader)

    def discard_running(self, reader: _Reader) -> None:
        """Stop counting a request."""
        self._running.discard(reader)

    def disable_keep_alive(self) -> None:
        """Close each connection after the next answer on it."""
        self._http.conn_params.no_keep_alive = True

    def stop(self) -> None:
        """Take no new connections."""
        self.acceptor.stop()

    async def close(self) -> None:
        """Close all connections."""
        self.acceptor.close()
        await self._http.close_all_connections()
