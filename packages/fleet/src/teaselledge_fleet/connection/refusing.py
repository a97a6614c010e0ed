"""Refusal of connections without parsing their requests.

Only the caller's key is read, for those whose organisation is owed a connection.
"""

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from teaselledge_fleet.connection.requesthead import bearer_key

__all__ = ["LoadShedder"]

CLOSE_DELAY_SECONDS = 1.0
"""Time for which a refused connection stays open. Closing it with unread bytes would
reset it, and the caller might lose the response."""

READ_BYTES = 1 << 16
HEAD_BYTES = 4096
"""Bytes in which the caller's key is looked for."""


@dataclass(frozen=True)
class _RefusedConnection:
    refused_at: float
    connection: socket.socket


@dataclass(frozen=True)
class _WaitingConnection:
    """A connection of which nothing has been received."""

    connection: socket.socket
    address: Any


class LoadShedder:
    """Refuses connections without parsing their requests.

    A flooded router refuses thousands a second, so each takes as few system calls as
    possible.

    Parameters
    ----------
    responses : sequence of bytes
        Complete responses, one of which is chosen at random for each connection. They
        must promise that the request has not run, and close the connection.

    Attributes
    ----------
    refused : int
        Number of connections refused so far.
    abandoned : int
        Number of them whose caller had left before the response.
    is_entitled : callable
        Returns whether the organisation of a key is owed a connection nevertheless.
    serve : callable
        Called with each connection that is not refused for that, and its address.
    """

    def __init__(self, responses: Sequence[bytes]) -> None:
        self._responses = responses
        self._waiting: set[socket.socket] = set()
        self._handed_over: set[socket.socket] = set()
        """Connections that are served and must not be closed here."""
        self._refused: deque[_RefusedConnection] = deque()
        self._close_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self.refused = 0
        self.abandoned = 0
        self.is_entitled: Callable[[str], bool] = lambda key: False
        self.serve: Callable[[socket.socket, Any], None] = lambda connection, address: (
            None
        )

    def refuse(self, connection: socket.socket, address: Any = None) -> None:
        """Respond as soon as a request arrives, and close the connection later."""
        self.refused += 1
        self._schedule_close(connection)
        waiting = _WaitingConnection(connection, address)
        if not self._try_respond(waiting):
            self._add_reader(waiting)

    def close(self) -> None:
        """Close all connections."""
        if self._close_timer is not None:
            self._close_timer.cancel()
        while self._refused:
            self._close(self._refused.popleft().connection)

    def _on_readable(self, waiting: _WaitingConnection) -> None:
        # removed first, as the connection may be served from now on
        self._remove_reader(waiting.connection)
        if not self._try_respond(waiting):
            self._add_reader(waiting)

    def _try_respond(self, waiting: _WaitingConnection) -> bool:
        """Answer or hand over a request that has arrived; return False if none has."""
        connection = waiting.connection
        try:
            head = connection.recv(HEAD_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            if not head:
                # the caller has left without a request
                self.abandoned += 1
                return True
            key = bearer_key(head)
            if key is not None and self.is_entitled(key):
                self._hand_over(waiting)
                return True
            connection.recv(READ_BYTES, socket.MSG_DONTWAIT)
            connection.send(random.choice(self._responses), socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            # the caller has disconnected
            self.abandoned += 1
            return True
        return True

    def _hand_over(self, waiting: _WaitingConnection) -> None:
        self.refused -= 1
        self._handed_over.add(waiting.connection)
        self.serve(waiting.connection, waiting.address)

    def _schedule_close(self, connection: socket.socket) -> None:
        self._refused.append(_RefusedConnection(self._loop.time(), connection))
        if self._close_timer is None:
            self._close_timer = self._loop.call_later(
                CLOSE_DELAY_SECONDS, self._close_expired
            )

    def _close_expired(self) -> None:
        refused_before = self._loop.time() - CLOSE_DELAY_SECONDS
        while self._refused and self._refused[0].refused_at <= refused_before:
            self._close(self._refused.popleft().connection)
        self._close_timer = None
        if self._refused:
            remaining = self._refused[0].refused_at - refused_before
            self._close_timer = self._loop.call_later(remaining, self._close_expired)

    def _add_reader(self, waiting: _WaitingConnection) -> None:
        self._waiting.add(waiting.connection)
        self._loop.add_reader(waiting.connection, self._on_readable, waiting)

    def _remove_reader(self, connection: socket.socket) -> None:
        self._waiting.discard(connection)
        self._loop.remove_reader(connection)

    def _close(self, connection: socket.socket) -> None:
        if connection in self._handed_over:
            self._handed_over.discard(connection)
            return
        if connection in self._waiting:
            self._remove_reader(connection)
        with suppress(OSError):
            connection.close()
