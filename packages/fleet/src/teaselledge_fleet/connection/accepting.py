"""Listen for connections, and serve, relay or refuse each of them."""

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import Any
from weakref import WeakKeyDictionary

from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError
from tornado.netutil import add_accept_handler, bind_sockets

from teaselledge_fleet.connection.refusing import LoadShedder
from teaselledge_fleet.connection.relay import (
    RelayEvents,
    RelayPool,
    RelayResult,
)
from teaselledge_fleet.connection.sendbuffers import SendBuffers
from teaselledge_fleet.faults import Fault, FaultKind, encode_fault_response
from teaselledge_fleet.log import get_log
from teaselledge_fleet.relaying.handshake import (
    ACCEPTANCE,
    OFFER_BYTES,
    Offer,
    encode_offer,
    read_offer,
    receive_offer,
)
from teaselledge_fleet.relaying.timelimits import TimeLimitSource

__all__ = [
    "DIRECT_ORIGIN",
    "REFUSALS_PER_SAMPLE",
    "SAMPLE_INTERVAL_SECONDS",
    "Acceptor",
    "ConnectionOrigin",
]

_log = get_log("accepting")

OFFER_SECONDS = 1.0
"""Timeout for the offer of a relayed connection. The relaying router sends it
immediately, and callers would not wait longer for a response either."""

REFUSALS_PER_SAMPLE = 8
"""At most one in this number of connections refused for overload is read."""

SAMPLE_INTERVAL_SECONDS = 0.05
"""Minimum time between two refused connections that are read. A router that is flooded
needs its CPU time for connections that it can pass on."""

MIN_RETRY_SECONDS, MAX_RETRY_SECONDS, RETRY_AFTER_STEPS = 0.5, 1.5, 11
"""Range of the ``Retry-After`` that callers get when they are refused unread. All of
them may retry at this router, so their retries are spread over the time in which its
current streams end."""

OWN_LIMIT, OTHERS_REFUSE = "limit", "others"
"""Causes of refused connections, as in the metric."""

BACKLOG = 1024
"""Connections that wait to be accepted. Beyond this number SYN packets are dropped, and
sent again a second later."""


@dataclass(frozen=True)
class ConnectionOrigin:
    """How a connection reached this router.

    Attributes
    ----------
    min_version : int or None
        Version of the configuration in force at the relaying router, None if a caller
        connected directly.
    sample_weight : int
        Number of refused connections that this one represents in statistics; the
        others were refused without being read.
    overloaded : bool
        Whether this router is overloaded. The request is then read, and refused.
    entitled : bool
        Whether the request is served although this router has no capacity.
    """

    min_version: int | None = None
    sample_weight: int = 1
    overloaded: bool = False
    entitled: bool = False


DIRECT_ORIGIN = ConnectionOrigin()


@dataclass(frozen=True)
class _Listener:
    socket: socket.socket
    stop: Callable[[], None]


class Acceptor:
    """Accepts connections, and serves, relays or refuses each of them.

    Parameters
    ----------
    serve : callable
        Called with each connection that this router serves, and its address.
    idle_seconds : float
        Time after which a relayed connection without any bytes is closed.
    send_buffers : SendBuffers, optional
        Accounting of the bytes that peers have not read.

    Attributes
    ----------
    accepted, relayed : int
        Number of connections opened by callers, and of those relayed to other routers.
    sampled : int
        Number of refused connections whose request was read.
    refusal_causes : Counter of str
        Number of refused connections by cause.
    choose_relay_target : callable
        Returns the address to which a new connection is relayed, None if this router
        serves it.
    peers_have_capacity : callable
        Returns whether other routers are expected to accept one more connection.
    on_relayed : callable
        Called for each relayed connection with its target's address; returns the tick
        in which the limit of relayed connections counts it.
    on_relay_refused : callable
        Called with that tick for each relayed connection that the target refuses.
    on_silent : callable
        Called with the address of a target that does not accept a connection, or gives
        no answer to a request in time.
    version : callable
        Returns the version of the configuration in force.
    has_capacity : callable
        Returns whether this router has capacity for one more connection.
    is_entitled : callable
        Returns whether the organisation of a key is owed a connection nevertheless.
    """

    def __init__(
        self,
        serve: Callable[[IOStream, Any], object],
        idle_seconds: float,
        send_buffers: SendBuffers | None = None,
    ) -> None:
        self._serve = serve
        self.choose_relay_target: Callable[[], str | None] = lambda: None
        self.peers_have_capacity: Callable[[], bool] = lambda: True
        self.on_relayed: Callable[[str], int] = lambda target: 0
        self.on_relay_refused: Callable[[int], None] = lambda tick: None
        self.on_silent: Callable[[str], None] = lambda target: None
        self.version: Callable[[], int] = lambda: 0
        self.has_capacity: Callable[[], bool] = lambda: True
        self.is_entitled: Callable[[str], bool] = lambda key: False
        self.accepted = 0
        self.relayed = 0
        self.sampled = 0
        self.refusal_causes: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        self._sampled_at = -SAMPLE_INTERVAL_SECONDS
        self._unsampled = 0
        """Connections refused unread since the last sample."""
        self._relays = RelayPool(idle_seconds, send_buffers)
        self._shedder = LoadShedder(_encode_refusals())
        self._shedder.is_entitled = lambda key: self.is_entitled(key)
        self._shedder.serve = self._serve_entitled
        self._origins: WeakKeyDictionary[IOStream, ConnectionOrigin] = (
            WeakKeyDictionary()
        )
        self._listeners: list[_Listener] = []
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def refused(self) -> int:
        """Number of connections refused for overload."""
        return self._shedder.refused + self.sampled

    @property
    def relay_results(self) -> Mapping[RelayResult, int]:
        """Number of responses to relayed connections, by result."""
        return self._relays.results

    @property
    def abandoned(self) -> int:
        """Number of refused connections whose caller had left before."""
        return self._shedder.abandoned

    @property
    def relays_abandoned(self) -> int:
        """Number of relayed connections whose caller left before a response."""
        return self._relays.abandoned

    @property
    def relays_not_accepted(self) -> int:
        """Number of connections served here as their target did not accept them."""
        return self._relays.not_accepted

    @property
    def relays_timed_out(self) -> int:
        """Number of relayed requests that this router ended at their time limit."""
        return self._relays.timed_out

    def set_time_limits(self, limits: TimeLimitSource) -> None:
        """Set what knows the time limits of relayed requests."""
        self._relays.time_limits = limits

    @property
    def active_relays(self) -> int:
        """Number of connections being relayed."""
        return self._relays.running

    def listen(self, host: str, port: int) -> list[int]:
        """Listen for callers on an address; return the ports."""
        return self._listen(host, port, self._accept)

    def listen_for_relays(self, host: str, port: int) -> None:
        """Listen on an address for connections relayed by other routers."""
        self._listen(host, port, self._accept_relayed)

    def origin_of(self, stream: IOStream | None) -> ConnectionOrigin:
        """Return how a connection reached this router."""
        return self._origins.get(stream, DIRECT_ORIGIN) if stream else DIRECT_ORIGIN

    def stop(self) -> None:
        """Stop accepting connections."""
        for listener in self._listeners:
            listener.stop()
            listener.socket.close()
        self._listeners.clear()

    def close(self) -> None:
        """Close all connections that are being relayed or refused."""
        for task in self._tasks:
            task.cancel()
        self._relays.close()
        self._shedder.close()

    def _listen(
        self, host: str, port: int, accept: Callable[[socket.socket, Any], None]
    ) -> list[int]:
        sockets = bind_sockets(port, host, backlog=BACKLOG)
        for listening in sockets:
            stop = add_accept_handler(listening, accept)
            self._listeners.append(_Listener(listening, stop))
        return [listening.getsockname()[1] for listening in sockets]

    def _accept(self, connection: socket.socket, address: Any) -> None:
        self.accepted += 1
        if not self.has_capacity():
            self.refusal_causes[OWN_LIMIT] += 1
            self._refuse(connection, address)
            return
        target = None if self._relays.full else self.choose_relay_target()
        if target is None:
            self._serve(IOStream(connection), address)
            return
        if not self.peers_have_capacity():
            self.refusal_causes[OTHERS_REFUSE] += 1
            self._refuse(connection, address)
            return
        tick = self.on_relayed(target)
        self._start(self._relay(connection, address, target, tick))

    def _refuse(self, connection: socket.socket, address: Any) -> None:
        """Refuse a connection, in most cases without reading the request.

        A sample is read to attribute the refused demand to organisations. It stands for
        the connections that were refused unread since the one before.
        """
        self._unsampled += 1
        now = self._loop.time()
        if (
            self._unsampled < REFUSALS_PER_SAMPLE
            or now - self._sampled_at < SAMPLE_INTERVAL_SECONDS
        ):
            self._shedder.refuse(connection, address)
            return
        stream = IOStream(connection)
        self._origins[stream] = ConnectionOrigin(
            sample_weight=self._unsampled, overloaded=True
        )
        self._unsampled = 0
        self._sampled_at = now
        self.sampled += 1
        self._serve(stream, address)

    def _serve_entitled(self, connection: socket.socket, address: Any) -> None:
        self._unsampled = max(0, self._unsampled - 1)
        stream = IOStream(connection)
        self._origins[stream] = ConnectionOrigin(entitled=True)
        self._serve(stream, address)

    async def _relay(
        self, connection: socket.socket, address: Any, target: str, tick: int
    ) -> None:
        connection.setblocking(False)
        events = RelayEvents(
            on_refused=lambda: self.on_relay_refused(tick),
            on_silent=lambda: self.on_silent(target),
        )
        offer = encode_offer(self.version())
        if await self._relays.relay(connection, target, offer, events):
            self.relayed += 1
            return
        self._serve(IOStream(connection), address)

    def _accept_relayed(self, connection: socket.socket, address: Any) -> None:
        connection.setblocking(False)
        line = receive_offer(connection)
        stream = IOStream(connection)
        if line is None:
            self._start(self._await_offer(stream, address))
            return
        self._serve_offered(stream, address, read_offer(line))

    async def _await_offer(self, stream: IOStream, address: Any) -> None:
        try:
            async with asyncio.timeout(OFFER_SECONDS):
                line = await stream.read_until(b"\n", max_bytes=OFFER_BYTES)
        except (TimeoutError, StreamClosedError, UnsatisfiableReadError):
            stream.close()
            return
        self._serve_offered(stream, address, read_offer(line))

    def _serve_offered(
        self, stream: IOStream, address: Any, offer: Offer | None
    ) -> None:
        if offer is None:
            _log.warning("relayed connection without a valid offer", router=address[0])
            stream.close()
            return
        if offer.awaits_acceptance:
            # the server of a connection that is already closed notices its end
            with suppress(StreamClosedError):
                stream.write(ACCEPTANCE)
        # the relaying router chose this one by heartbeats that are already old
        overloaded = not self.has_capacity()
        self._origins[stream] = ConnectionOrigin(
            min_version=offer.version, overloaded=overloaded
        )
        self._serve(stream, address)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _encode_refusals() -> list[bytes]:
    """Return encoded refusals with ``Retry-After`` values over the whole range.

    Their status promises that the request has not run.
    """
    encoded = []
    for step in range(RETRY_AFTER_STEPS):
        fraction = step / (RETRY_AFTER_STEPS - 1)
        seconds = MIN_RETRY_SECONDS + fraction * (MAX_RETRY_SECONDS - MIN_RETRY_SECONDS)
        fault = Fault(FaultKind.ROUTER_BUSY, seconds)
        encoded.append(encode_fault_response(fault, HTTPHeaders()))
    return encoded
