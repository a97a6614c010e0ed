"""The callers' server: reads requests, starts a task for each, writes answers."""

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any
from weakref import WeakKeyDictionary

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
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError
from tornado.netutil import add_accept_handler, bind_sockets

from teaselledge_fleet.connection.refusing import QuickRefusals
from teaselledge_fleet.connection.relay import (
    PREFACE_BYTES,
    RelayPool,
    preface,
    read_preface,
)
from teaselledge_fleet.faults import ANSWERS, Fault, FaultKind, body_of, head_of
from teaselledge_fleet.log import get_log

__all__ = ["CallerSink", "FrontServer", "Incoming", "Origin"]

_log = get_log("front")

STALL_SECONDS = 5.0
"""A caller that takes nothing for so long is cut off.

It would hold a slot of an engine that others wait for. Callers give up a stream
after a gap of 2 to 4 s, so none that still waits is cut.
"""

PREFACE_SECONDS = 1.0
"""A router sends its preface with the connection; callers wait no longer either."""

SAMPLED = 8
"""Of so many connections that are refused for want of time, one is read."""

SOONEST_RETRY, LATEST_RETRY, RETRY_STEPS = 0.5, 1.5, 11
"""Seconds after which callers come back that were refused unread. All of them may come
back to this router, so they are spread over the time in which its streams end."""

BACKLOG = 1024
"""Connections that wait to be accepted; beyond it, opening packets are dropped and
sent again a second later."""


@dataclass(frozen=True)
class Origin:
    """How a connection came to this router.

    Attributes
    ----------
    least_version : int or None
        Configuration in force at the router that passed it on; None where a caller
        connected here.
    stands_for : int
        Requests that it is a sample of; the others were refused unread.
    """

    least_version: int | None = None
    stands_for: int = 1


OWN_CALLER = Origin()


class Incoming:
    """A request that was read in full.

    Attributes
    ----------
    method, target : str
        Of the request line.
    headers : HTTPHeaders
        All headers.
    body : bytes
        The whole body.
    arrived : float
        Loop time at which its headers were read.
    caller : str
        IP number from which it came; another router's where that one passed it on.
    origin : Origin
        What is known of its connection.
    """

    def __init__(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        arrived: float,
        caller: str = "",
        origin: Origin = OWN_CALLER,
    ) -> None:
        self.method = line.method
        self.target = line.path
        self.headers = headers
        self.body = b""
        self.arrived = arrived
        self.caller = caller
        self.origin = origin


class CallerSink:
    """The caller's side of an answer.

    Attributes
    ----------
    started, finished : bool
        Whether the head and the end have been written.
    moving : float
        Part of the callers that are asked to connect anew, 0 to 1.
    """

    def __init__(self, connection: HTTP1Connection, moving: float = 0.0) -> None:
        self._connection = connection
        self.moving = moving
        self.started = False
        self.finished = False

    @property
    def gone(self) -> bool:
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
        if random.random() < self.moving:
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
        try:
            async with asyncio.timeout(STALL_SECONDS):
                await written
        except TimeoutError:
            self.abort()
            raise StreamClosedError from None


Serve = Callable[[Incoming, CallerSink], Awaitable[None]]


class _Reader(HTTPMessageDelegate):
    """Reads one request and runs it."""

    def __init__(self, server: "FrontServer", connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._incoming: Incoming | None = None
        self._parts: list[bytes] = []
        self._task: asyncio.Task[None] | None = None

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        now = asyncio.get_running_loop().time()
        caller = getattr(self._connection.context, "remote_ip", "")
        origin = self._server.origin_of(self._connection)
        self._incoming = Incoming(start_line, headers, now, caller, origin)
        self._server.note_reading(self)

    def data_received(self, chunk: bytes) -> None:
        self._parts.append(chunk)

    def finish(self) -> None:
        assert self._incoming is not None
        self._incoming.body = b"".join(self._parts)
        self._parts.clear()
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._run(self._incoming))

    def on_connection_close(self) -> None:
        self._server.note_done(self)
        if self._task is not None:
            self._task.cancel()

    async def _run(self, incoming: Incoming) -> None:
        moving = self._server.moving()
        if incoming.origin.least_version is not None:
            # each request is passed on by itself, as the versions may change
            moving = 1.0
        sink = CallerSink(self._connection, moving)
        try:
            await self._server.serve(incoming, sink)
        except StreamClosedError:
            # the caller left while its answer was written
            return
        except Exception:
            _log.exception("request failed by a fault of the router")
            sink.abort()
        finally:
            self._server.note_done(self)


def _refusals() -> list[bytes]:
    """Return answers that promise that a request has not run, for several times."""
    found = []
    for step in range(RETRY_STEPS):
        share = step / (RETRY_STEPS - 1)
        seconds = SOONEST_RETRY + share * (LATEST_RETRY - SOONEST_RETRY)
        fault = Fault(FaultKind.ROUTER_BUSY, seconds)
        body = body_of(fault)
        headers = head_of(fault, HTTPHeaders({"Connection": "close"}), len(body))
        status = ANSWERS[fault.kind].status
        lines = [f"HTTP/1.1 {status} {responses[status]}"]
        lines += [f"{name}: {value}" for name, value in headers.get_all()]
        found.append("\r\n".join([*lines, "", ""]).encode() + body)
    return found


@dataclass(frozen=True)
class _Listener:
    socket: socket.socket
    stop: Callable[[], None]


class FrontServer(HTTPServerConnectionDelegate):
    """Serves callers on one listener.

    Parameters
    ----------
    serve : callable
        Runs one request; it is cancelled when the caller leaves.
    header_bytes, body_bytes : int
        Largest headers and body.
    idle_seconds : float
        Time after which a connection without a request is closed.

    Attributes
    ----------
    accepted, passed_on : int
        Connections that callers have opened, and those that other routers took over.
    choose_router : callable
        Returns where another router takes over a new connection, None where it is to
        be served here.
    version : callable
        Returns the version of the configuration in force.
    has_time : callable
        Whether the router has time for one more connection.
    sampled : int
        Connections that were refused and read all the same.
    """

    def __init__(
        self, serve: Serve, header_bytes: int, body_bytes: int, idle_seconds: float
    ) -> None:
        self.serve = serve
        self.moving: Callable[[], float] = lambda: 0.0
        self.choose_router: Callable[[], str | None] = lambda: None
        self.version: Callable[[], int] = lambda: 0
        self.has_time: Callable[[], bool] = lambda: True
        self.accepted = 0
        self.passed_on = 0
        self.sampled = 0
        self._relays = RelayPool(idle_seconds)
        self._passing: set[asyncio.Task[None]] = set()
        self._origins: WeakKeyDictionary[IOStream, Origin] = WeakKeyDictionary()
        self._refusals = QuickRefusals(_refusals())
        self._running: set[_Reader] = set()
        self._listeners: list[_Listener] = []
        self._ports: list[int] = []
        self._http = HTTPServer(
            self,
            max_header_size=header_bytes,
            max_body_size=body_bytes,
            idle_connection_timeout=idle_seconds,
        )

    @property
    def ports(self) -> list[int]:
        """Ports on which it listens."""
        return self._ports

    @property
    def running(self) -> int:
        """Requests that are being read or answered."""
        return len(self._running) + self._relays.running

    @property
    def refused(self) -> int:
        """Connections refused for want of time."""
        return self._refusals.count + self.sampled

    def listen(self, host: str, port: int) -> None:
        """Listen on an address for callers."""
        sockets = bind_sockets(port, host, backlog=BACKLOG)
        self._ports += [sock.getsockname()[1] for sock in sockets]
        self._add_listeners(sockets, self._accept)

    def listen_to_routers(self, host: str, port: int) -> None:
        """Listen on an address for connections that other routers pass on."""
        sockets = bind_sockets(port, host, backlog=BACKLOG)
        self._add_listeners(sockets, self._accept_passed_on)

    def origin_of(self, connection: HTTP1Connection) -> Origin:
        """Return how a connection came here."""
        stream = connection.stream
        return self._origins.get(stream, OWN_CALLER) if stream else OWN_CALLER

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        request_conn.stream.set_nodelay(True)
        return _Reader(self, request_conn)

    def note_reading(self, reader: _Reader) -> None:
        """Count a request whose headers were read."""
        self._running.add(reader)

    def note_done(self, reader: _Reader) -> None:
        """Stop counting a request."""
        self._running.discard(reader)

    def end_kept_connections(self) -> None:
        """Close each connection after the next answer on it."""
        self._http.conn_params.no_keep_alive = True

    def stop(self) -> None:
        """Take no new connections."""
        for listener in self._listeners:
            listener.stop()
            listener.socket.close()
        self._listeners.clear()

    async def close(self) -> None:
        """Close all connections."""
        for task in self._passing:
            task.cancel()
        self._relays.close()
        self._refusals.close()
        await self._http.close_all_connections()

    def _add_listeners(
        self,
        sockets: list[socket.socket],
        accept: Callable[[socket.socket, Any], None],
    ) -> None:
        for sock in sockets:
            stop = add_accept_handler(sock, accept)
            self._listeners.append(_Listener(sock, stop))

    def _accept(self, connection: socket.socket, address: Any) -> None:
        self.accepted += 1
        if not self.has_time():
            self._refuse(connection, address)
            return
        router = None if self._relays.full else self.choose_router()
        if router is None:
            self._http.handle_stream(IOStream(connection), address)
            return
        self._start(self._pass_on(connection, address, router))

    def _refuse(self, connection: socket.socket, address: Any) -> None:
        """Refuse a connection, most of them without reading the request.

        Some are read, so that it is known whose requests these are.
        """
        if self.refused % SAMPLED:
            self._refusals.refuse(connection)
            return
        stream = IOStream(connection)
        self._origins[stream] = Origin(stands_for=SAMPLED)
        self.sampled += 1
        self._http.handle_stream(stream, address)

    async def _pass_on(
        self, connection: socket.socket, address: Any, router: str
    ) -> None:
        connection.setblocking(False)
        greeting = preface(self.version())
        if await self._relays.pass_on(connection, router, greeting):
            self.passed_on += 1
            return
        self._http.handle_stream(IOStream(connection), address)

    def _accept_passed_on(self, connection: socket.socket, address: Any) -> None:
        self._start(self._take_over(IOStream(connection), address))

    async def _take_over(self, stream: IOStream, address: Any) -> None:
        try:
            async with asyncio.timeout(PREFACE_SECONDS):
                line = await stream.read_until(b"\n", max_bytes=PREFACE_BYTES)
        except (TimeoutError, StreamClosedError, UnsatisfiableReadError):
            stream.close()
            return
        version = read_preface(line)
        if version is None:
            _log.warning("connection without a preface", router=address[0])
            stream.close()
            return
        self._origins[stream] = Origin(least_version=version)
        self._http.handle_stream(stream, address)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._passing.add(task)
        task.add_done_callback(self._passing.discard)
