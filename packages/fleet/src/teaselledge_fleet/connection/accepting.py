"""Listen for connections, and decide what becomes of each."""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any
from weakref import WeakKeyDictionary

from tornado.httputil import HTTPHeaders, responses
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError
from tornado.netutil import add_accept_handler, bind_sockets

from teaselledge_fleet.connection.refusing import LoadShedder
from teaselledge_fleet.connection.relay import (
    PREFACE_BYTES,
    RelayPool,
    preface,
    read_preface,
)
from teaselledge_fleet.faults import (
    FAULT_RESPONSES,
    Fault,
    FaultKind,
    fault_body,
    fault_headers,
)
from teaselledge_fleet.log import get_log

__all__ = ["DIRECT_ORIGIN", "REFUSALS_PER_SAMPLE", "Acceptor", "ConnectionOrigin"]

_log = get_log("accepting")

PREFACE_SECONDS = 1.0
"""A router sends its preface with the connection; callers wait no longer either."""

REFUSALS_PER_SAMPLE = 8
"""Of so many connections that are refused for want of time, one is read."""

MIN_RETRY_SECONDS, MAX_RETRY_SECONDS, RETRY_STEPS = 0.5, 1.5, 11
"""Seconds after which callers come back that were refused unread. All of them may come
back to this router, so they are spread over the time in which its streams end."""

BACKLOG = 1024
"""Connections that wait to be accepted; beyond it, opening packets are dropped and
sent again a second later."""


@dataclass(frozen=True)
class ConnectionOrigin:
    """How a connection came to this router.

    Attributes
    ----------
    min_version : int or None
        Configuration in force at the router that passed it on; None where a caller
        connected here.
    sample_weight : int
        Requests that it is a sample of; the others were refused unread.
    overloaded : bool
        Whether this router has no time for it; it is read all the same.
    """

    min_version: int | None = None
    sample_weight: int = 1
    overloaded: bool = False


DIRECT_ORIGIN = ConnectionOrigin()


@dataclass(frozen=True)
class _Listener:
    socket: socket.socket
    stop: Callable[[], None]


class Acceptor:
    """Accepts connections; each is served here, passed on, or refused.

    Parameters
    ----------
    serve : callable
        Takes a connection that is served here, and its address.
    idle_seconds : float
        Time after which a connection that is passed on is closed if nothing passes.

    Attributes
    ----------
    accepted, relayed : int
        Connections that callers have opened, and those that other routers took over.
    sampled : int
        Connections that were refused and read all the same.
    choose_relay_target : callable
        Returns where another router takes over a new connection, None where it is to
        be served here.
    peers_have_capacity : callable
        Whether other routers are taken to have room for one more connection.
    on_relayed, on_relay_refused : callable
        Called for each connection that is passed on, with where to, and for each of
        them that the other router refuses.
    version : callable
        Returns the version of the configuration in force.
    has_capacity : callable
        Whether the router has time for one more connection.
    """

    def __init__(
        self, serve: Callable[[IOStream, Any], object], idle_seconds: float
    ) -> None:
        self._serve = serve
        self.choose_relay_target: Callable[[], str | None] = lambda: None
        self.peers_have_capacity: Callable[[], bool] = lambda: True
        self.on_relayed: Callable[[str], None] = lambda router: None
        self.on_relay_refused: Callable[[], None] = lambda: None
        self.version: Callable[[], int] = lambda: 0
        self.has_capacity: Callable[[], bool] = lambda: True
        self.accepted = 0
        self.relayed = 0
        self.sampled = 0
        self._relays = RelayPool(idle_seconds)
        self._relays.on_relay_refused = lambda: self.on_relay_refused()
        self._refusals = LoadShedder(_refusals())
        self._origins: WeakKeyDictionary[IOStream, ConnectionOrigin] = (
            WeakKeyDictionary()
        )
        self._listeners: list[_Listener] = []
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def refused(self) -> int:
        """Connections refused for want of time."""
        return self._refusals.refused + self.sampled

    @property
    def active_relays(self) -> int:
        """Connections that are being passed on."""
        return self._relays.running

    def listen(self, host: str, port: int) -> list[int]:
        """Listen on an address for callers; return the ports."""
        return self._listen(host, port, self._accept)

    def listen_for_relays(self, host: str, port: int) -> None:
        """Listen on an address for connections that other routers pass on."""
        self._listen(host, port, self._accept_passed_on)

    def origin_of(self, stream: IOStream | None) -> ConnectionOrigin:
        """Return how a connection came here."""
        return self._origins.get(stream, DIRECT_ORIGIN) if stream else DIRECT_ORIGIN

    def stop(self) -> None:
        """Take no new connections."""
        for listener in self._listeners:
            listener.stop()
            listener.socket.close()
        self._listeners.clear()

    def close(self) -> None:
        """Break off all connections that are not served here."""
        for task in self._tasks:
            task.cancel()
        self._relays.close()
        self._refusals.close()

    def _listen(
        self, host: str, port: int, accept: Callable[[socket.socket, Any], None]
    ) -> list[int]:
        sockets = bind_sockets(port, host, backlog=BACKLOG)
        for sock in sockets:
            stop = add_accept_handler(sock, accept)
            self._listeners.append(_Listener(sock, stop))
        return [sock.getsockname()[1] for sock in sockets]

    def _accept(self, connection: socket.socket, address: Any) -> None:
        self.accepted += 1
        if not self.has_capacity():
            self._refuse(connection, address)
            return
        router = None if self._relays.full else self.choose_relay_target()
        if router is None:
            self._serve(IOStream(connection), address)
            return
        if not self.peers_have_capacity():
            self._refuse(connection, address)
            return
        self.on_relayed(router)
        self._start(self._pass_on(connection, address, router))

    def _refuse(self, connection: socket.socket, address: Any) -> None:
        """Refuse a connection, most of them without reading the request.

        Some are read, so that it is known whose requests these are.
        """
        if self.refused % REFUSALS_PER_SAMPLE:
            self._refusals.refuse(connection)
            return
        stream = IOStream(connection)
        self._origins[stream] = ConnectionOrigin(
            sample_weight=REFUSALS_PER_SAMPLE, overloaded=True
        )
        self.sampled += 1
        self._serve(stream, address)

    async def _pass_on(
        self, connection: socket.socket, address: Any, router: str
    ) -> None:
        connection.setblocking(False)
        greeting = preface(self.version())
        if await self._relays.relay(connection, router, greeting):
            self.relayed += 1
            return
        self._serve(IOStream(connection), address)

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
        # the router that passed it on has chosen by what it heard some pulses ago
        crowded = not self.has_capacity()
        self._origins[stream] = ConnectionOrigin(
            min_version=version, overloaded=crowded
        )
        self._serve(stream, address)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _refusals() -> list[bytes]:
    """Return answers that promise that a request has not run, for several times."""
    found = []
    for step in range(RETRY_STEPS):
        part = step / (RETRY_STEPS - 1)
        seconds = MIN_RETRY_SECONDS + part * (MAX_RETRY_SECONDS - MIN_RETRY_SECONDS)
        fault = Fault(FaultKind.ROUTER_BUSY, seconds)
        body = fault_body(fault)
        headers = fault_headers(fault, HTTPHeaders({"Connection": "close"}), len(body))
        status = FAULT_RESPONSES[fault.kind].status
        lines = [f"HTTP/1.1 {status} {responses[status]}"]
        lines += [f"{name}: {value}" for name, value in headers.get_all()]
        found.append("\r\n".join([*lines, "", ""]).encode() + body)
    return found
