"""Refusal of connections without parsing their requests."""

import asyncio
import random
import socket
from collections import deque
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass

__all__ = ["LoadShedder"]

CLOSE_DELAY_SECONDS = 1.0
"""Time for which a refused connection stays open. Closing it with unread bytes would
reset it, and the caller might lose the response."""

READ_BYTES = 1 << 16


@dataclass(frozen=True)
class _RefusedConnection:
    refused_at: float
    connection: socket.socket


class LoadShedder:
    """Refuses connections without parsing their requests.

    Parameters
    ----------
    responses : sequence of bytes
        Complete responses, one of which is chosen at random for each connection. They
        must promise that the request has not run, and close the connection.

    Attributes
    ----------
    refused : int
        Number of connections refused so far.
    """

    def __init__(self, responses: Sequence[bytes]) -> None:
        self._responses = responses
        self._waiting: set[socket.socket] = set()
        self._refused: deque[_RefusedConnection] = deque()
        self._close_timer: asyncio.TimerHandle | None = None
        self.refused = 0

    def refuse(self, connection: socket.socket) -> None:
        """Respond as soon as a request arrives, and close the connection later."""
        self.refused += 1
        connection.setblocking(False)
        self._schedule_close(connection)
        if not self._try_respond(connection):
            self._waiting.add(connection)
            loop = asyncio.get_running_loop()
            loop.add_reader(connection, self._on_readable, connection)

    def close(self) -> None:
        """Close all connections."""
        if self._close_timer is not None:
            self._close_timer.cancel()
        while self._refused:
            self._close(self._refused.popleft().connection)

    def _on_readable(self, connection: socket.socket) -> None:
        if self._try_respond(connection):
            self._remove_reader(connection)

    def _try_respond(self, connection: socket.socket) -> bool:
        """Send a response if a request has arrived; return False if none has."""
        try:
            connection.recv(READ_BYTES)
            connection.send(random.choice(self._responses))
            connection.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            return False
        except OSError:
            # the caller has disconnected
            return True
        return True

    def _schedule_close(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self._refused.append(_RefusedConnection(loop.time(), connection))
        if self._close_timer is None:
            self._close_timer = loop.call_later(
                CLOSE_DELAY_SECONDS, self._close_expired
            )

    def _close_expired(self) -> None:
        loop = asyncio.get_running_loop()
        refused_before = loop.time() - CLOSE_DELAY_SECONDS
        while self._refused and self._refused[0].refused_at <= refused_before:
            self._close(self._refused.popleft().connection)
        self._close_timer = None
        if self._refused:
            remaining = self._refused[0].refused_at - refused_before
            self._close_timer = loop.call_later(remaining, self._close_expired)

    def _remove_reader(self, connection: socket.socket) -> None:
        self._waiting.discard(connection)
        asyncio.get_running_loop().remove_reader(connection)

    def _close(self, connection: socket.socket) -> None:
        if connection in self._waiting:
            self._remove_reader(connection)
        with suppress(OSError):
            connection.close()
