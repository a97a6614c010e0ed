"""Pass callers' connections on to another router, byte by byte."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

__all__ = ["PREFACE_BYTES", "RelayPool", "preface", "read_preface"]

CONNECT_SECONDS = 0.1
"""A router of the same zone answers within some milliseconds; after this the connection
is served here."""

MAX_RELAYS = 1000
"""Connections passed on at the same time, each with two descriptors and up to two
buffers."""

NOT_RUN_STATUS_LINES = (b"HTTP/1.1 429", b"HTTP/1.1 503")
"""Beginnings of answers that promise that a request has not run."""

PREFACE = b"relayed %d\n"
PREFACE_BYTES = 32


def preface(version: int) -> bytes:
    """Return the line that goes before a caller's bytes.

    Parameters
    ----------
    version : int
        Configuration in force at the sender. A receiver with an older one must not
        answer by it: the caller would see the sender fall back.
    """
    return PREFACE % version


def read_preface(line: bytes) -> int | None:
    """Return the version that a preface tells; None for any other line."""
    word, _, number = line.strip().partition(b" ")
    return int(number) if word == b"relayed" and number.isdigit() else None


class RelayPool:
    """Connections that are passed on.

    Parameters
    ----------
    idle_seconds : float
        Time after which a connection without any bytes is closed. Both its ends may
        have lost power, and nothing else would tell.

    Attributes
    ----------
    on_relay_refused : callable
        Called where the other router's answer is a refusal.
    """

    def __init__(self, idle_seconds: float) -> None:
        self._idle_seconds = idle_seconds
        self._relays: set[_Relay] = set()
        self.on_relay_refused: Callable[[], None] = lambda: None

    @property
    def running(self) -> int:
        """Connections that are passed on now."""
        return len(self._relays)

    @property
    def full(self) -> bool:
        """Whether no more connections may be passed on."""
        return len(self._relays) >= MAX_RELAYS

    async def relay(
        self, connection: socket.socket, address: str, preface_line: bytes
    ) -> bool:
        """Connect to a router and pass on what either side sends.

        Parameters
        ----------
        connection : socket
            A caller's connection of which nothing has been read.
        address : str
            Where the other router takes over connections.
        preface_line : bytes
            Sent before the caller's bytes.

        Returns
        -------
        bool
            False where the router can't be reached; the connection is as it was.
        """
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        relay = _Relay(self._relays, self.on_relay_refused)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(lambda: relay.router, host, int(port))
        except (OSError, TimeoutError):
            return False
        relay.router.write(preface_line)
        try:
            await loop.connect_accepted_socket(lambda: relay.caller, connection)
        except OSError:
            # the caller has left meanwhile
            relay.abort()
            connection.close()
            return True
        relay.begin(self._idle_seconds)
        return True

    def close(self) -> None:
        """Break off all connections."""
        for relay in list(self._relays):
            relay.abort()


class _Relay:
    """A caller's connection and the one to the router that serves it."""

    def __init__(self, relays: "set[_Relay]", on_refused: Callable[[], None]) -> None:
        self._relays = relays
        self._on_refused = on_refused
        self._answered = False
        self._watch: asyncio.TimerHandle | None = None
        self.ended = False
        self.active = asyncio.get_running_loop().time()
        self.caller = _Side(self)
        self.router = _Side(self)

    def other(self, side: "_Side") -> "_Side":
        """Return the opposite side."""
        return self.router if side is self.caller else self.caller

    def begin(self, idle_seconds: float) -> None:
        """Count it from now on, unless a side has ended already."""
        if self.ended:
            return
        self._relays.add(self)
        self._break_off_idle(idle_seconds)

    def _break_off_idle(self, idle_seconds: float) -> None:
        loop = asyncio.get_running_loop()
        left = self.active + idle_seconds - loop.time()
        if left <= 0:
            self.abort()
            return
        self._watch = loop.call_later(left, self._break_off_idle, idle_seconds)

    def pass_on(self, side: "_Side", data: bytes) -> None:
        """Pass on what came from a side."""
        self.active = asyncio.get_running_loop().time()
        if side is self.router and not self._answered:
            self._answered = True
            if data.startswith(NOT_RUN_STATUS_LINES):
                self._on_refused()
        self.other(side).write(data)

    def end(self, side: "_Side", broken: bool) -> None:
        """Note that a side has ended.

        A caller that leaves gives up its request. An answer is whole only if the
        router closed in order, and what it sent goes out first.
        """
        self.ended = True
        self._relays.discard(self)
        if self._watch is not None:
            self._watch.cancel()
        if broken or side is self.caller:
            self.other(side).abort()
        else:
            self.other(side).close()

    def abort(self) -> None:
        """Break off both sides."""
        self.caller.abort()
        self.router.abort()


class _Side(asyncio.Protocol):
    """One of the two connections of a relay."""

    def __init__(self, relay: _Relay) -> None:
        self._relay = relay
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # the loop's own transport has the methods, but not the type
        self._transport = cast(asyncio.Transport, transport)
        if self._relay.ended:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass on what came."""
        self._relay.pass_on(self, data)

    def eof_received(self) -> bool:
        """Close, as the other side has."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other connection as well."""
        self._relay.end(self, exc is not None)

    def pause_writing(self) -> None:
        """Stop reading from the other side, whose bytes don't go out."""
        self._relay.other(self).pause()

    def resume_writing(self) -> None:
        """Go on reading from the other side."""
        self._relay.other(self).resume()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None:
            self._transport.write(data)

    def pause(self) -> None:
        """Stop reading."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Go on reading."""
        if self._transport is not None:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close once everything has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()
