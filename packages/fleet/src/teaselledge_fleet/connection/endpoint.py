"""Connections to endpoints over HTTP/1.1, each read by one task."""

import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

import h11
from expression import Error, Ok, Result
from tornado.iostream import IOStream, StreamClosedError

from teaselledge_fleet.request.call import CallerRequest, HeaderCodec, ResponseHead

__all__ = [
    "IncompleteResponseError",
    "EndpointConnection",
    "Exchange",
    "SendFailure",
    "SendFault",
]

CONNECT_SECONDS = 0.5
"""Time for a connection to be established.

The farthest endpoint answers in 46 ms (two ways of 20 ms and 3 ms); a lost opening
packet is sent again after a second, by which time another endpoint is the better
choice.
"""

TCP_USER_TIMEOUT_MS = 1500
"""Time after which data that the endpoint's host does not acknowledge ends it.

A connection can go silent for good without a reset. Without this limit a request on
it would wait for its whole deadline. It leaves room for a packet that is lost and
sent again twice.
"""

PROBE_SECONDS = 1
PROBES = 2
"""Probes of a connection on which nothing moves, for the same reason."""

READ_BYTES = 64 * 1024
MAX_QUEUED_CHUNKS = 8
"""Parts of an answer that wait for a slow caller; then reading stops."""

MAX_HEAD_BYTES = 64 * 1024
MAX_SKIPPED_RESPONSES = 2
"""Answers to other requests that are skipped before a connection is given up."""


class SendFault(Enum):
    """Why no answer came."""

    REFUSED = "refused"
    """Nothing listens at the address: nothing was sent."""

    UNREACHABLE = "unreachable"
    """No connection came about: nothing was sent."""

    CLOSED = "closed"
    """The connection ended after the request was sent, before an answer."""

    GARBAGE = "garbage"
    """What came is not HTTP."""


@dataclass(frozen=True)
class SendFailure:
    """An attempt that got no answer.

    Attributes
    ----------
    fault : SendFault
        What happened.
    sent : bool
        Whether the endpoint may have received the request.
    reused : bool
        Whether the connection had served a request before.
    """

    fault: SendFault
    sent: bool
    reused: bool = False


class IncompleteResponseError(Exception):
    """The endpoint stopped in the middle of its answer."""


@dataclass(frozen=True)
class _End:
    whole: bool
    detail: str = ""


@dataclass(frozen=True)
class _Failed:
    fault: SendFault


_Part = ResponseHead | bytes | _End | _Failed


class Exchange:
    """One request on a connection, and its answer.

    An engine may answer an earlier request twice, and the second answer may come
    where this one's is expected. It is known by its id and skipped.
    """

    def __init__(
        self,
        connection: "EndpointConnection",
        call: CallerRequest,
        dialect: HeaderCodec,
    ) -> None:
        self._connection = connection
        self._call = call
        self._dialect = dialect
        self._parts: asyncio.Queue[_Part] = asyncio.Queue(maxsize=MAX_QUEUED_CHUNKS)
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._request: tuple[h11.Request, bytes] | None = None
        self._skipping = False
        self._skipped = 0
        self._ended = False
        self._dropped = False
        self._began = False

    def encode_request(self, headers: list[tuple[str, str]], body: bytes) -> bytes:
        """Return the bytes of the request."""
        call = self._call
        encoded = [(n.encode("latin1"), v.encode("latin1")) for n, v in headers]
        if body or call.method in ("POST", "PUT", "PATCH"):
            encoded.append((b"Content-Length", str(len(body)).encode()))
        request = h11.Request(
            method=call.method.encode("latin1"),
            target=call.target.encode("latin1"),
            headers=encoded,
        )
        self._request = (request, body)
        return self._send(self._http)

    async def head(self) -> Result[ResponseHead, SendFailure]:
        """Wait for the head of the answer."""
        part = await self._parts.get()
        if isinstance(part, ResponseHead):
            return Ok(part)
        fault = part.fault if isinstance(part, _Failed) else SendFault.CLOSED
        return Error(SendFailure(fault, True, self._connection.reused))

    async def body(self) -> AsyncIterator[bytes]:
        """Iterate over the body; `IncompleteResponseError` where it stops short."""
        while True:
            part = await self._parts.get()
            if isinstance(part, bytes):
                yield part
                continue
            if isinstance(part, _End) and part.whole:
                return
            raise IncompleteResponseError(part.detail if isinstance(part, _End) else "")

    def cancel(self) -> None:
        """Drop the exchange and its connection; the endpoint stops its work."""
        self._dropped = True
        if not self._ended:
            self._connection.close()
        # the reading task must not wait for a reader that has gone, also with the
        # last part of a whole answer
        while not self._parts.empty():
            self._parts.get_nowait()

    async def feed(self, data: bytes) -> None:
        """Take bytes from the connection; empty at a clean end."""
        try:
            self._http.receive_data(data)
            await self._drain_events()
        except h11.RemoteProtocolError as error:
            await self._fail(SendFault.GARBAGE if data else SendFault.CLOSED, error)

    def fail_unsent(self) -> None:
        """End it because the connection had closed before."""
        self._ended = True
        self._parts.put_nowait(_Failed(SendFault.CLOSED))

    async def on_connection_reset(self) -> None:
        """Take the news that the connection broke without a clean end."""
        await self._fail(SendFault.CLOSED, None)

    async def _put(self, part: _Part) -> None:
        if not self._dropped:
            await self._parts.put(part)

    def _send(self, http: h11.Connection) -> bytes:
        assert self._request is not None
        request, body = self._request
        sent = [http.send(request)]
        if body:
            sent.append(http.send(h11.Data(data=body)))
        sent.append(http.send(h11.EndOfMessage()))
        return b"".join(part or b"" for part in sent)

    async def _drain_events(self) -> None:
        while not self._ended:
            event = self._http.next_event()
            if not isinstance(event, h11.Event):
                # it needs more bytes, or waits for the next request
                return
            if isinstance(event, h11.ConnectionClosed):
                await self._fail(SendFault.CLOSED, None)
                return
            await self._take(event)

    async def _take(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            await self._take_head(event)
        elif isinstance(event, h11.Data):
            if not self._skipping:
                await self._put(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            if self._skipping:
                self._restart()
                return
            self._ended = True
            await self._put(_End(True))
            self._connection.release(self._reusable())

    async def _take_head(self, response: h11.Response) -> None:
        headers = [
            (n.decode("latin1"), v.decode("latin1"))
            for n, v in response.headers.raw_items()
        ]
        head = self._dialect.decode_response_head(
            self._call, response.status_code, headers
        )
        if head.matches_request:
            self._began = True
            self._connection.update_keep_alive(headers)
            await self._put(head)
            return
        self._skipping = True
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_RESPONSES:
            await self._fail(SendFault.GARBAGE, None)

    def _restart(self) -> None:
        """Expect the answer after one that belongs to another request."""
        rest = self._http.trailing_data[0]
        self._skipping = False
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._send(self._http)
        if rest:
            self._http.receive_data(rest)

    def _reusable(self) -> bool:
        http = self._http
        if http.trailing_data[0] or self._skipped:
            # bytes beyond a whole answer belong to no request; the next one
            # would take them for its own
            return False
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _fail(self, fault: SendFault, error: Exception | None) -> None:
        if self._ended:
            return
        self._ended = True
        if self._began:
            await self._put(_End(False, str(error or fault.value)))
        else:
            await self._put(_Failed(fault))
        self._connection.close()


class EndpointConnection:
    """A connection to one endpoint; one request at a time uses it."""

    def __init__(self, stream: IOStream, address: str) -> None:
        self._stream = stream
        self._address = address
        self._exchange: Exchange | None = None
        self._served = 0
        self._idle_since = 0.0
        self._idle_seconds: float | None = None
        self._reusable = True
        self._task = asyncio.create_task(self._read())

    @property
    def address(self) -> str:
        """``host:port`` of the endpoint."""
        return self._address

    @property
    def reused(self) -> bool:
        """Whether it has served a request before the current one."""
        return self._served > 1

    @property
    def closed(self) -> bool:
        """Whether it can't be used any more."""
        return self._stream.closed()

    @property
    def idle(self) -> bool:
        """Whether no request uses it."""
        return self._exchange is None and not self.closed

    @property
    def idle_since(self) -> float:
        """Loop time at which its last request ended."""
        return self._idle_since

    @property
    def keep_alive_seconds(self) -> float | None:
        """Time after which the endpoint closes it, where it told."""
        return self._idle_seconds

    @classmethod
    async def open(cls, address: str) -> "Result[EndpointConnection, SendFailure]":
        """Connect to an endpoint."""
        host, _, port = address.rpartition(":")
        stream = IOStream(_new_socket())
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await stream.connect((host, int(port)))
        except (OSError, TimeoutError, ValueError) as error:
            stream.close()
            cause = getattr(error, "real_error", None) or error
            refused = isinstance(cause, ConnectionRefusedError)
            fault = SendFault.REFUSED if refused else SendFault.UNREACHABLE
            return Error(SendFailure(fault, False))
        except asyncio.CancelledError:
            stream.close()
            raise
        return Ok(cls(stream, address))

    def send_request(
        self,
        call: CallerRequest,
        dialect: HeaderCodec,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> Exchange:
        """Send a request."""
        self._served += 1
        exchange = self._exchange = Exchange(self, call, dialect)
        data = exchange.encode_request(headers, body)
        if self._stream.closed():
            self._exchange = None
            exchange.fail_unsent()
            return exchange
        future = self._stream.write(data)
        # the reading task tells how the connection ended
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        return exchange

    def update_keep_alive(self, headers: list[tuple[str, str]]) -> None:
        """Learn for how long the endpoint keeps the connection open."""
        for name, value in headers:
            if name.lower() == "keep-alive":
                self._idle_seconds = _timeout_of(value)

    def release(self, reusable: bool) -> None:
        """End the current request."""
        self._exchange = None
        self._idle_since = asyncio.get_running_loop().time()
        if not reusable or self._stream.writing():
            self.close()

    def close(self) -> None:
        """Close it; the endpoint drops the request that runs on it."""
        self._stream.close()

    async def _read(self) -> None:
        try:
            while True:
                data = await self._stream.read_bytes(READ_BYTES, partial=True)
                if self._exchange is None:
                    # an answer that nobody waits for; a later request must not
                    # take it for its own
                    return
                await self._exchange.feed(data)
        except StreamClosedError as error:
            await self._tell_end(error.real_error is None)
        finally:
            self._stream.close()

    async def _tell_end(self, clean: bool) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        if clean:
            await exchange.feed(b"")
        else:
            await exchange.on_connection_reset()


def _new_socket() -> socket.socket:
    created = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    created.setblocking(False)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    return created


def _timeout_of(value: str) -> float | None:
    for item in value.split(","):
        name, _, number = item.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None
