"""Connections between routers: one task for each, framed thrift messages."""

import asyncio
import random
import ssl
from collections import deque
from collections.abc import Callable
from typing import Any

from teaselledge_wire.codec import CodecError, decode, encode
from teaselledge_wire.frame import FrameError, pack, read_frame
from teaselledge_wire.gen.router.ttypes import Envelope, Heartbeat, Message
from tornado.iostream import IOStream, SSLIOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from teaselledge.log import get_log
from teaselledge.metrics import Metrics
from teaselledge.process.mesh import Handler, HandlerRegistry, Origin, make_message
from teaselledge.process.tls import certificate_dns_names

__all__ = ["PeerMesh"]

_log = get_log("peer")

MAX_QUEUED = 10_000
"""Messages that wait for one router."""

MAX_CONNECTIONS = 2000
"""Connections that other routers may have open to this one."""

MAX_MESSAGES = 5000
"""Messages in one frame, so that a frame can be encoded in little time."""

READ_BUFFER_BYTES = 5 << 20
"""Read buffer of a connection; holds the largest frame."""

CONNECT_SECONDS = 2.0
HELLO_SECONDS = 5.0
"""Time in which a new connection must introduce itself."""

IDLE_SECONDS = 30.0
"""A connection on which nothing was sent for so long is closed."""

FIRST_RETRY_SECONDS = 0.25
LAST_RETRY_SECONDS = 8.0
FLUSH_SECONDS = 0.5
LOG_SECONDS = 10.0
"""Least time between two lines about bad connections."""


class _RefusedPeerError(Exception):
    """A connection whose other end is not who it should be."""


class _Link:
    """Messages on their way to one router, sent by one task.

    The connection is opened when there is something to send and closed when
    there was nothing for long.
    """

    def __init__(self, mesh: "PeerMesh", vm: str) -> None:
        self._mesh = mesh
        self._vm = vm
        self._queue: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._retry = FIRST_RETRY_SECONDS
        self.task = asyncio.create_task(self._run())

    @property
    def queued(self) -> int:
        """Messages that wait."""
        return len(self._queue)

    def push(self, sent: Message) -> None:
        """Queue a message."""
        # a peer that is cut off must not fill the memory; what is dropped here
        # is repeated by the next snapshot, report or beat
        if len(self._queue) >= MAX_QUEUED:
            self._mesh.count_dropped(len(self._queue))
            self._queue.clear()
        self._queue.append(sent)
        self._wake.set()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            stream = await self._mesh.connect(self._vm)
            if stream is None:
                # old messages are worthless to a router that comes back later
                self._mesh.count_dropped(len(self._queue))
                self._queue.clear()
                self._wake.clear()
                await self._back_off()
                continue
            opened = loop.time()
            try:
                await self._write_all(stream)
            except StreamClosedError:
                _log.info(f"Connection to {self._vm} is lost.")
                if loop.time() - opened > LAST_RETRY_SECONDS:
                    self._retry = FIRST_RETRY_SECONDS
                # a peer that accepts and then closes, such as one that does not
                # trust this router, must not be called again without pause
                await self._back_off()
                # look for the way: a refusal tells that the process ended
                self._wake.set()
            finally:
                # else closing an idle connection would open it again
                stream.set_close_callback(None)
                stream.close()

    async def _back_off(self) -> None:
        # routers that lost the same peer must not all return in step
        await asyncio.sleep(self._retry * random.uniform(0.5, 1.5))
        self._retry = min(2 * self._retry, LAST_RETRY_SECONDS)

    async def _write_all(self, stream: IOStream) -> None:
        # without the callback the loss of an idle connection shows at the second
        # write after it, and the first one is lost
        stream.set_close_callback(self._wake.set)
        while True:
            try:
                async with asyncio.timeout(IDLE_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                return
            self._wake.clear()
            if stream.closed():
                raise StreamClosedError
            # one frame takes all that this turn of the loop has queued
            while self._queue:
                count = min(len(self._queue), MAX_MESSAGES)
                batch = [self._queue.popleft() for _ in range(count)]
                for frame in self._mesh.encode_batch(batch):
                    await stream.write(frame)


class _Server(TCPServer):
    def __init__(self, mesh: "PeerMesh", **options: Any) -> None:
        super().__init__(max_buffer_size=READ_BUFFER_BYTES, **options)
        self._mesh = mesh

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        await self._mesh.serve(stream)


class PeerMesh:
    """The mesh over TCP.

    Parameters
    ----------
    origin : Origin
        This router.
    address_of : callable
        Where a router listens, None while unknown.
    metrics : Metrics
        Where to count.
    server_tls, client_tls : ssl.SSLContext or None
        Contexts for mutual TLS.

    Attributes
    ----------
    make_hello : callable
        What is said first on each connection.
    on_connection_refused : callable
        Called with a VM whose host refuses connections.
    """

    def __init__(
        self,
        origin: Origin,
        address_of: Callable[[str], str | None],
        metrics: Metrics,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ) -> None:
        self._origin = origin
        self._address_of = address_of
        self._metrics = metrics
        self._registry = HandlerRegistry()
        self.make_hello: Callable[[], Heartbeat] = lambda: Heartbeat(vm=origin.vm)
        self.on_connection_refused: Callable[[str], None] = lambda vm: None
        self._links: dict[str, _Link] = {}
        self._client = TCPClient()
        self._client_tls = client_tls
        self._served: set[IOStream] = set()
        self._next_log = 0.0
        options: dict[str, Any] = {"ssl_options": server_tls} if server_tls else {}
        self._server = _Server(self, **options)

    @property
    def origin(self) -> Origin:
        """This router as a sender."""
        return self._origin

    @property
    def connections(self) -> int:
        """Connections that other routers have open to this one."""
        return len(self._served)

    def subscribe(self, body: str, handler: Handler) -> None:
        """Call a handler for each message with that body."""
        self._registry.subscribe(body, handler)

    def listen(self, host: str, port: int) -> int:
        """Listen for other routers and return the port."""
        sockets = bind_sockets(port, host)
        self._server.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    def send(self, vm: str, sent: Message) -> None:
        """Send to a router; to itself on the next turn of the loop."""
        if vm == self._origin.vm:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, self._origin, sent)
            return
        link = self._links.get(vm)
        if link is None or link.task.done():
            link = self._links[vm] = _Link(self, vm)
        link.push(sent)

    def count_dropped(self, count: int) -> None:
        """Count messages that are given up."""
        if count:
            self._metrics.count("peer.dropped_messages", count)

    def encode_batch(self, batch: list[Message]) -> list[bytes]:
        """Encode a batch as a frame, or as several where it is too large."""
        try:
            frame = pack(encode(batch, self._origin.incarnation))
        except FrameError:
            if len(batch) == 1:
                # one message over the limit would block the link for ever
                self.count_dropped(1)
                return []
            half = len(batch) // 2
            return [*self.encode_batch(batch[:half]), *self.encode_batch(batch[half:])]
        self._metrics.count("peer.sent_bytes", len(frame))
        return [frame]

    async def connect(self, vm: str) -> IOStream | None:
        """Connect to a router and introduce this one."""
        address = self._address_of(vm)
        if not address:
            return None
        host, _, port = address.rpartition(":")
        stream = None
        try:
            stream = await self._client.connect(
                host, int(port), ssl_options=self._client_tls, timeout=CONNECT_SECONDS
            )
            stream.set_nodelay(True)
            self._check_server(stream, vm)
            await self._say_hello(stream, vm)
        except (OSError, ValueError, TimeoutError, _RefusedPeerError) as error:
            # StreamClosedError and ssl.SSLError are kinds of OSError
            cause = getattr(error, "real_error", None) or error
            if isinstance(cause, ConnectionRefusedError):
                self.on_connection_refused(vm)
            self._note(f"No connection to {vm}: {error}.")
        else:
            return stream
        if stream is not None:
            stream.close()
        return None

    async def serve(self, stream: IOStream) -> None:
        """Read frames of one connection until it ends."""
        if len(self._served) >= MAX_CONNECTIONS:
            stream.close()
            self._note("Connection closed: too many are open.")
            return
        self._served.add(stream)
        try:
            stream.set_nodelay(True)
            origin = await self._read_hello(stream)
            while True:
                self._take(origin, decode(await read_frame(stream)))
        except StreamClosedError:
            return
        except (FrameError, CodecError, _RefusedPeerError, TimeoutError) as error:
            self._metrics.count("peer.bad_frames")
            self._note(f"Connection closed: {error or 'no introduction'}.")
        except OSError as error:
            self._note(f"Connection closed: {error}.")
        finally:
            self._served.discard(stream)
            stream.close()

    async def close(self) -> None:
        """Send what is queued, stop listening and drop all links."""
        self._server.stop()
        try:
            async with asyncio.timeout(FLUSH_SECONDS):
                while any(link.queued for link in self._links.values()):
                    await asyncio.sleep(0.01)
        except TimeoutError:
            pass
        for link in self._links.values():
            link.task.cancel()
        for stream in list(self._served):
            stream.close()
        self._client.close()

    def _check_server(self, stream: IOStream, vm: str) -> None:
        if not isinstance(stream, SSLIOStream) or vm.startswith("@"):
            return
        names = certificate_dns_names(stream.socket.getpeercert())
        if vm not in names:
            raise _RefusedPeerError(f"its certificate is for {sorted(names)}")

    async def _say_hello(self, stream: IOStream, vm: str) -> None:
        hello = self.make_hello()
        # an address may have passed to another VM since it was learnt
        hello.receiver = None if vm.startswith("@") else vm
        for frame in self.encode_batch([make_message("heartbeat", hello)]):
            await stream.write(frame)

    async def _read_hello(self, stream: IOStream) -> Origin:
        async with asyncio.timeout(HELLO_SECONDS):
            if isinstance(stream, SSLIOStream):
                await stream.wait_for_handshake()
            envelope = decode(await read_frame(stream))
        body = envelope.messages[0].body if envelope.messages else None
        hello = body.heartbeat if body is not None else None
        if hello is None or not hello.vm:
            raise _RefusedPeerError("it does not introduce itself")
        if hello.receiver and hello.receiver != self._origin.vm:
            raise _RefusedPeerError(f"{hello.vm} wants {hello.receiver}")
        if isinstance(stream, SSLIOStream):
            names = certificate_dns_names(stream.socket.getpeercert())
            if hello.vm not in names:
                raise _RefusedPeerError(
                    f"it says to be {hello.vm}, its certificate is for {sorted(names)}"
                )
        origin = Origin(hello.vm, envelope.incarnation)
        self._take(origin, envelope)
        return origin

    def _take(self, origin: Origin, envelope: Envelope) -> None:
        if envelope.incarnation != origin.incarnation:
            raise _RefusedPeerError(f"{origin.vm} changed its incarnation")
        for received in envelope.messages:
            self._deliver(origin, received)

    def _deliver(self, origin: Origin, received: Message) -> None:
        try:
            self._registry.deliver(origin, received)
        except Exception as error:
            # a message that some part can't take, from a release with a fault or
            # from a hostile peer, must harm neither its connection nor others
            self._metrics.count("peer.bad_messages")
            self._note(f"A message of {origin.vm} is not understood: {error!r}.")

    def _note(self, line: str) -> None:
        """Log at most one line a period; the rest shows in the metrics."""
        now = asyncio.get_running_loop().time()
        if now < self._next_log:
            return
        self._next_log = now + LOG_SECONDS
        _log.warning(line)
