"""Relay of callers' connections to another router, byte by byte."""

import asyncio
import json
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

from teaselledge_fleet.connection.connecting import connect
from teaselledge_fleet.connection.sendbuffers import (
    Reader,
    SendBufferLimits,
    SendBuffers,
)
from teaselledge_fleet.connection.silentpeers import detect_silent_peer
from teaselledge_fleet.faults import ROUTER_FAULTS
from teaselledge_fleet.relaying.handshake import ACCEPTANCE
from teaselledge_fleet.relaying.progress import RequestProgress
from teaselledge_fleet.relaying.timelimits import NoTimeLimits, TimeLimitSource

__all__ = ["RelayEvents", "RelayPool", "RelayResult"]

CONNECT_SECONDS = 0.1
"""Timeout for connecting to a router of the same zone, which takes some milliseconds.
After it this router serves the connection itself."""

ACCEPT_SECONDS = 0.15
"""Timeout for the acceptance of a connection. Callers wait a third of a second or more
for a router to read their request. The time for which this router's own event loop is
late does not count."""

ACCEPT_STEPS = 5
"""Waits into which this time is divided, each of which takes at least one iteration."""

MAX_RELAYS = 1000
"""Maximum number of concurrent relays, each with two file descriptors and up to two
buffers."""

NOT_RUN_STATUS_LINES = (b"HTTP/1.1 429", b"HTTP/1.1 503")
"""Beginnings of responses that promise that a request has not run."""

ROUTER_FAULT_KINDS = tuple(json.dumps(kind.value).encode() for kind in ROUTER_FAULTS)
"""Kinds of fault as they stand in the body of a refusal."""

BUFFER_BYTES = 1 << 16
"""Size of the buffer into which all relays of a router read. Each chunk is forwarded
before the next one is read, and none is read while the previous one is unsent."""


class RelayResult(Enum):
    """Beginning of the response to a relayed request.

    The values are labels of a metric.
    """

    SERVED = "no"
    REFUSED_BY_ROUTER = "router"
    """The other router has no capacity."""

    REFUSED_OTHERWISE = "other"
    """Shares or endpoints are the reason, and any router would refuse."""

    @classmethod
    def of_response(cls, data: bytes) -> "RelayResult":
        """Return the result by the first bytes of a response.

        A refusal is short and written at once, its body included.
        """
        if not data.startswith(NOT_RUN_STATUS_LINES):
            return cls.SERVED
        if any(kind in data for kind in ROUTER_FAULT_KINDS):
            return cls.REFUSED_BY_ROUTER
        return cls.REFUSED_OTHERWISE


@dataclass(frozen=True)
class RelayEvents:
    """Callbacks for one relayed connection.

    Attributes
    ----------
    on_refused : callable
        Called if the other router has no capacity for the request.
    on_silent : callable
        Called if the other router does not accept the connection, or gives no answer
        to the request in time.
    """

    on_refused: Callable[[], None] = lambda: None
    on_silent: Callable[[], None] = lambda: None


class RelayPool:
    """Relays connections to other routers.

    Parameters
    ----------
    idle_seconds : float
        Time after which a connection without any bytes is closed. If both ends have
        lost power, nothing else reveals that it is dead.
    send_buffers : SendBuffers, optional
        Accounting of the bytes that either side has not read.

    Attributes
    ----------
    results : Counter of RelayResult
        Number of responses so far, by result.
    abandoned : int
        Number of relays whose caller disconnected before any response.
    not_accepted : int
        Number of connections that another router did not accept.
    timed_out : int
        Number of requests that were ended here at their time limit.
    time_limits : TimeLimitSource
        Knows the time limits of requests; none is limited by default.
    """

    def __init__(
        self, idle_seconds: float, send_buffers: SendBuffers | None = None
    ) -> None:
        self._idle_seconds = idle_seconds
        self.send_buffers = send_buffers or SendBuffers(SendBufferLimits.from_memory())
        self._relays: set[_Relay] = set()
        self.buffer = memoryview(bytearray(BUFFER_BYTES))
        self.results: Counter[RelayResult] = Counter()
        self.abandoned = 0
        self.not_accepted = 0
        self.timed_out = 0
        self.time_limits: TimeLimitSource = NoTimeLimits()

    @property
    def running(self) -> int:
        """Number of connections being relayed."""
        return len(self._relays)

    @property
    def full(self) -> bool:
        """Whether the maximum number of relays is reached."""
        return len(self._relays) >= MAX_RELAYS

    async def relay(
        self,
        connection: socket.socket,
        address: str,
        offer: bytes,
        events: RelayEvents | None = None,
    ) -> bool:
        """Connect to a router, and forward the bytes of either side to the other.

        Parameters
        ----------
        connection : socket
            A caller's connection from which nothing has been read.
        address : str
            Address at which the other router accepts relayed connections.
        offer : bytes
            Line that offers the connection to the other router.
        events : RelayEvents, optional
            Callbacks for this connection.

        Returns
        -------
        bool
            False if the other router can't be reached or does not accept; nothing has
            been read from the connection then.
        """
        loop = asyncio.get_running_loop()
        events = events or RelayEvents()
        relay = _Relay(self, events)
        if not await relay.offer(address, offer):
            relay.abort()
            self.not_accepted += 1
            events.on_silent()
            return False
        try:
            await loop.connect_accepted_socket(lambda: relay.caller, connection)
        except OSError:
            # the caller has disconnected meanwhile
            self.record_abandoned()
            relay.abort()
            connection.close()
            return True
        relay.start(self._idle_seconds)
        return True

    def add(self, relay: "_Relay") -> None:
        """Count a relay."""
        self._relays.add(relay)

    def discard(self, relay: "_Relay") -> None:
        """Stop counting a relay."""
        self._relays.discard(relay)

    def record_abandoned(self) -> None:
        """Count a relay whose caller disconnected before any response."""
        self.abandoned += 1

    def close(self) -> None:
        """Abort all connections."""
        for relay in list(self._relays):
            relay.abort()


async def _connect(address: str, offer: bytes) -> socket.socket:
    """Connect to a router and send it the offer.

    The router waits for the offer for a limited time, so it is sent before anything
    that takes further iterations of the event loop.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    detect_silent_peer(connection)
    await connect(connection, address, CONNECT_SECONDS)
    try:
        connection.send(offer)
    except OSError:
        connection.close()
        raise
    return connection


class _Relay:
    """A caller's connection, and the connection to the router that serves it.

    It carries one request: the other router closes it after the response. If that
    router stands still, the request is ended here at its time limit.
    """

    def __init__(self, pool: RelayPool, events: RelayEvents) -> None:
        self._pool = pool
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._progress = RequestProgress(pool.time_limits)
        self._timer: asyncio.TimerHandle | None = None
        self._idle_seconds = 0.0
        self.closed = False
        self._last_active_at = self._loop.time()
        self.caller = _Side(self, pool)
        self.router = _RouterSide(self, pool)

    async def offer(self, address: str, line: bytes) -> bool:
        """Connect to a router; return whether it accepts the offered connection."""
        try:
            connection = await _connect(address, line)
            await self._loop.create_connection(lambda: self.router, sock=connection)
        except (OSError, TimeoutError):
            return False
        return await self.router.wait_accepted()

    def opposite(self, side: "_Side") -> "_Side":
        """Return the opposite side."""
        return self.router if side is self.caller else self.caller

    def start(self, idle_seconds: float) -> None:
        """Add the relay to the pool, unless a side has already closed."""
        if self.closed:
            return
        self._pool.add(self)
        self._idle_seconds = idle_seconds
        self._check()

    def _check(self) -> None:
        """End the relay if it is idle or its request is late, else check later."""
        now = self._loop.time()
        idle_at = self._last_active_at + self._idle_seconds
        late_at = self._progress.late_at(now, self.caller.has_unsent)
        if now >= idle_at:
            self.abort()
            return
        if now >= late_at:
            self._end_late()
            return
        self._timer = self._loop.call_later(min(idle_at, late_at) - now, self._check)

    def _end_late(self) -> None:
        """End a request whose router gives no answer, or no end of one, in time.

        A response that has begun is cut off, so that it does not look complete.
        """
        self._pool.timed_out += 1
        self._events.on_silent()
        response = self._progress.late_response
        if response is None:
            self.abort()
            return
        self.caller.write(response)
        self.router.abort()

    def forward(self, side: "_Side", data: bytes) -> None:
        """Forward bytes that were received from a side."""
        self._last_active_at = self._loop.time()
        if side is self.router:
            if not self._progress.responded:
                self._on_response(RelayResult.of_response(data))
            self._progress.record_response(self._last_active_at)
        else:
            self._progress.record_request(data, self._last_active_at)
        self.opposite(side).write(data)

    def on_drained(self, side: "_Side") -> None:
        """Give the router time to send more to a caller that has read everything."""
        if side is self.caller:
            self._progress.record_drained(self._loop.time())

    def _on_response(self, result: RelayResult) -> None:
        self._pool.results[result] += 1
        if result is RelayResult.REFUSED_BY_ROUTER:
            self._events.on_refused()

    def on_closed(self, side: "_Side", failed: bool) -> None:
        """Close the other side.

        If the caller disconnects, the request is aborted. If the router closes cleanly,
        the response is complete and its remaining bytes are sent before closing;
        otherwise the caller's connection is aborted, so that an incomplete response
        does not look complete.
        """
        if side is self.caller and not self.closed and not self._progress.responded:
            self._pool.record_abandoned()
        self.closed = True
        self._pool.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if failed or side is self.caller:
            self.opposite(side).abort()
        else:
            self.opposite(side).close()

    def abort(self) -> None:
        """Abort both connections."""
        self.caller.abort()
        self.router.abort()


class _Side(asyncio.BufferedProtocol):
    """One of the two connections of a relay.

    It reads into the buffer of all relays. Without one, a quarter of a megabyte is
    allocated for each chunk, and its system calls take much of the time of a relay.
    """

    def __init__(self, relay: _Relay, pool: RelayPool) -> None:
        self._relay = relay
        self._buffer = pool.buffer
        self._transport: asyncio.Transport | None = None
        self._unsent = pool.send_buffers.open(Reader.RELAY, "", relay.abort)

    @property
    def has_unsent(self) -> bool:
        """Whether the peer has not taken all bytes yet."""
        return (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # the event loop's transport has the methods, but is not a subclass
        self._transport = cast(asyncio.Transport, transport)
        # at most one chunk is unsent, in place of 64 KB and a chunk
        self._transport.set_write_buffer_limits(high=0)
        if self._relay.closed:
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next chunk."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Forward received bytes to the other side."""
        # a copy, as a transport may keep what it can't send at once
        self._relay.forward(self, bytes(self._buffer[:nbytes]))

    def eof_received(self) -> bool:
        """Let the transport close, as the peer has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other connection as well."""
        self._unsent.release()
        self._relay.on_closed(self, exc is not None)

    def pause_writing(self) -> None:
        """Stop reading from the other side while bytes are unsent."""
        self._relay.opposite(self).pause()
        if self._transport is not None:
            self._unsent.resize(self._transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Resume reading from the other side."""
        self._unsent.release()
        self._relay.on_drained(self)
        self._relay.opposite(self).resume()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None:
            self._transport.write(data)

    def pause(self) -> None:
        """Stop reading."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self._transport is not None:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close after all buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately, discarding buffered bytes."""
        if self._transport is not None:
            self._transport.abort()


class _RouterSide(_Side):
    """The connection to the other router, which first has to accept it."""

    def __init__(self, relay: _Relay, pool: RelayPool) -> None:
        super().__init__(relay, pool)
        self._received = b""
        self._loop = asyncio.get_running_loop()
        self._accepted: asyncio.Future[bool] = self._loop.create_future()

    async def wait_accepted(self) -> bool:
        """Return whether the other router accepts within `ACCEPT_SECONDS`."""
        self._wait_step(ACCEPT_STEPS)
        return await self._accepted

    def _wait_step(self, steps_left: int) -> None:
        if self._accepted.done():
            return
        if not steps_left:
            self._accepted.set_result(False)
            return
        self._loop.call_later(
            ACCEPT_SECONDS / ACCEPT_STEPS, self._wait_step, steps_left - 1
        )

    def buffer_updated(self, nbytes: int) -> None:
        """Read the acceptance; forward what is received after it."""
        if self._accepted.done():
            super().buffer_updated(nbytes)
            return
        self._received += self._buffer[:nbytes]
        if self._received == ACCEPTANCE:
            self._accepted.set_result(True)
        elif not ACCEPTANCE.startswith(self._received):
            self._accepted.set_result(False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other connection as well; one that is not accepted yet never is."""
        if not self._accepted.done():
            self._accepted.set_result(False)
        super().connection_lost(exc)
