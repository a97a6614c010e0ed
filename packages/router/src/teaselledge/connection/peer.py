"""Connections between routers, carrying framed thrift messages."""

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

MAX_QUEUED_MESSAGES = 10_000
"""Maximum number of messages queued for one router."""

MAX_CONNECTIONS = 2000
"""Maximum number of connections from other routers."""

MAX_FRAME_MESSAGES = 5000
"""Maximum number of messages in a frame, so that encoding it takes little time."""

READ_BUFFER_BYTES = 5 << 20
"""Size of a connection's read buffer, which must hold the largest frame."""

CONNECT_TIMEOUT_SECONDS = 2.0
HELLO_TIMEOUT_SECONDS = 5.0
"""Time in which the hello message of a new connection must arrive."""

IDLE_TIMEOUT_SECONDS = 30.0
"""Time without a message sent after which a connection is closed."""

MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 8.0
FLUSH_TIMEOUT_SECONDS = 0.5
LOG_INTERVAL_SECONDS = 10.0
"""Minimum interval between two log lines about bad connections."""


class _PeerRejectedError(Exception):
    """The peer on a connection is not the expected one."""


class _Link:
    """Queue of messages to one router, and the task that sends them.

    The connection is opened when there is a message to send and closed when it has
    been idle.
    """

    def __init__(self, mesh: "PeerMesh", vm: str) -> None:
        self._mesh = mesh
        self._vm = vm
        self._queue: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._retry_seconds = MIN_RETRY_SECONDS
        self.task = asyncio.create_task(self._run())

    @property
    def queued(self) -> int:
        """Number of queued messages."""
        return len(self._queue)

    def push(self, message: Message) -> None:
        """Queue a message."""
        # messages for an unreachable peer must not fill the memory; the next
        # snapshot, report or beat repeats what is dropped here
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._mesh.count_dropped(len(self._queue))
            self._queue.clear()
        self._queue.append(message)
        self._wake.set()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wake.wait()
            stream = await self._mesh.connect(self._vm)
            if stream is None:
                # a router that is reachable later has no use for old messages
                self._mesh.count_dropped(len(self._queue))
                self._queue.clear()
                self._wake.clear()
                await self._back_off()
                continue
            opened_at = loop.time()
            try:
                await self._write_all(stream)
            except StreamClosedError:
                _log.info(f"Connection to {self._vm} lost.")
                if loop.time() - opened_at > MAX_RETRY_SECONDS:
                    self._retry_seconds = MIN_RETRY_SECONDS
                # reconnect with a delay to a peer that accepts and then closes, such
                # as one that does not trust this router
                await self._back_off()
                # reconnect: if refused, the peer's process has ended
                self._wake.set()
            finally:
                # otherwise closing an idle connection would reopen it
                stream.set_close_callback(None)
                stream.close()

    async def _back_off(self) -> None:
        # spread the reconnections of routers that lost the same peer
        await asyncio.sleep(self._retry_seconds * random.uniform(0.5, 1.5))
        self._retry_seconds = min(2 * self._retry_seconds, MAX_RETRY_SECONDS)

    async def _write_all(self, stream: IOStream) -> None:
        # without the callback the loss of an idle connection would be detected at
        # the second write, and the message of the first would be lost
        stream.set_close_callback(self._wake.set)
        while True:
            try:
                async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                return
            self._wake.clear()
            if stream.closed():
                raise StreamClosedError
            # send all messages queued in this iteration of the event loop in one frame
            while self._queue:
                count = min(len(self._queue), MAX_FRAME_MESSAGES)
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
        Returns the address of a router, or None while unknown.
    metrics : Metrics
        Receives counters.
    server_tls, client_tls : ssl.SSLContext or None
        Contexts for mutual TLS.

    Attributes
    ----------
    make_hello : callable
        Returns the first message sent on each connection.
    on_connection_refused : callable
        Called with the name of a VM that refuses connections.
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
        self._incoming: set[IOStream] = set()
        self._next_log_at = 0.0
        options: dict[str, Any] = {"ssl_options": server_tls} if server_tls else {}
        self._server = _Server(self, **options)

    @property
    def origin(self) -> Origin:
        """Origin of the messages of this router."""
        return self._origin

    @property
    def connections(self) -> int:
        """Number of connections from other routers."""
        return len(self._incoming)

    def subscribe(self, body: str, handler: Handler) -> None:
        """Register a handler for messages with that body."""
        self._registry.subscribe(body, handler)

    def listen(self, host: str, port: int) -> int:
        """Listen for other routers and return the port."""
        sockets = bind_sockets(port, host)
        self._server.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    def send(self, vm: str, message: Message) -> None:
        """Send a message; to this router, it arrives in the next loop iteration."""
        if vm == self._origin.vm:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, self._origin, message)
            return
        link = self._links.get(vm)
        if link is None or link.task.done():
            link = self._links[vm] = _Link(self, vm)
        link.push(message)

    def count_dropped(self, count: int) -> None:
        """Count dropped messages."""
        if count:
            self._metrics.count("peer.dropped_messages", count)

    def encode_batch(self, batch: list[Message]) -> list[bytes]:
        """Encode a batch as a frame, or as several frames if it is too large."""
        try:
            frame = pack(encode(batch, self._origin.incarnation))
        except FrameError:
            if len(batch) == 1:
                # a message over the limit would block the link forever
                self.count_dropped(1)
                return []
            half = len(batch) // 2
            return [*self.encode_batch(batch[:half]), *self.encode_batch(batch[half:])]
        self._metrics.count("peer.sent_bytes", len(frame))
        return [frame]

    async def connect(self, vm: str) -> IOStream | None:
        """Connect to a router and send the hello message."""
        address = self._address_of(vm)
        if not address:
            return None
        host, _, port = address.rpartition(":")
        stream = None
        try:
            stream = await self._client.connect(
                host,
                int(port),
                ssl_options=self._client_tls,
                timeout=CONNECT_TIMEOUT_SECONDS,
            )
            stream.set_nodelay(True)
            self._check_server(stream, vm)
            await self._send_hello(stream, vm)
        except (OSError, ValueError, TimeoutError, _PeerRejectedError) as error:
            # StreamClosedError and ssl.SSLError are subclasses of OSError
            cause = getattr(error, "real_error", None) or error
            if isinstance(cause, ConnectionRefusedError):
                self.on_connection_refused(vm)
            self._log_limited(f"Cannot connect to {vm}: {error}.")
        else:
            return stream
        if stream is not None:
            stream.close()
        return None

    async def serve(self, stream: IOStream) -> None:
        """Process the frames of a connection until it is closed."""
        if len(self._incoming) >= MAX_CONNECTIONS:
            stream.close()
            self._log_limited("Connection refused: too many are open.")
            return
        self._incoming.add(stream)
        try:
            stream.set_nodelay(True)
            origin = await self._read_hello(stream)
            while True:
                self._process(origin, decode(await read_frame(stream)))
        except StreamClosedError:
            return
        except (FrameError, CodecError, _PeerRejectedError, TimeoutError) as error:
            self._metrics.count("peer.bad_frames")
            self._log_limited(f"Connection closed: {error or 'no hello message'}.")
        except OSError as error:
            self._log_limited(f"Connection closed: {error}.")
        finally:
            self._incoming.discard(stream)
            stream.close()

    async def close(self) -> None:
        """Stop listening, send queued messages and close all connections."""
        self._server.stop()
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_SECONDS):
                while any(link.queued for link in self._links.values()):
                    await asyncio.sleep(0.01)
        except TimeoutError:
            pass
        for link in self._links.values():
            link.task.cancel()
        for stream in list(self._incoming):
            stream.close()
        self._client.close()

    def _check_server(self, stream: IOStream, vm: str) -> None:
        if not isinstance(stream, SSLIOStream) or vm.startswith("@"):
            return
        names = certificate_dns_names(stream.socket.getpeercert())
        if vm not in names:
            raise _PeerRejectedError(f"certificate is for {sorted(names)}")

    async def _send_hello(self, stream: IOStream, vm: str) -> None:
        hello = self.make_hello()
        # another VM may have the address by now
        hello.receiver = None if vm.startswith("@") else vm
        for frame in self.encode_batch([make_message("heartbeat", hello)]):
            await stream.write(frame)

    async def _read_hello(self, stream: IOStream) -> Origin:
        async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
            if isinstance(stream, SSLIOStream):
                await stream.wait_for_handshake()
            envelope = decode(await read_frame(stream))
        body = envelope.messages[0].body if envelope.messages else None
        hello = body.heartbeat if body is not None else None
        if hello is None or not hello.vm:
            raise _PeerRejectedError("first message is no hello")
        if hello.receiver and hello.receiver != self._origin.vm:
            raise _PeerRejectedError(f"{hello.vm} expected to reach {hello.receiver}")
        if isinstance(stream, SSLIOStream):
            names = certificate_dns_names(stream.socket.getpeercert())
            if hello.vm not in names:
                raise _PeerRejectedError(
                    f"hello from {hello.vm}, but certificate is for {sorted(names)}"
                )
        origin = Origin(hello.vm, envelope.incarnation)
        self._process(origin, envelope)
        return origin

    def _process(self, origin: Origin, envelope: Envelope) -> None:
        if envelope.incarnation != origin.incarnation:
            raise _PeerRejectedError(f"{origin.vm} changed its incarnation")
        for message in envelope.messages:
            self._deliver(origin, message)

    def _deliver(self, origin: Origin, message: Message) -> None:
        try:
            self._registry.deliver(origin, message)
        except Exception as error:
            # a message that a handler fails on, from a faulty release or a hostile
            # peer, must affect neither its connection nor others
            self._metrics.count("peer.bad_messages")
            self._log_limited(f"Cannot process a message from {origin.vm}: {error!r}.")

    def _log_limited(self, line: str) -> None:
        """Log at most one line per interval; the rest shows in metrics."""
        now = asyncio.get_running_loop().time()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_SECONDS
        _log.warning(line)
