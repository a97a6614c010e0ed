"""Refuse requests without the price of reading them."""

import asyncio
import random
import socket
from collections import deque
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass

__all__ = ["LoadShedder"]

LINGER_SECONDS = 1.0
"""Time for which a refused connection stays open. Closed with bytes unread, it would be
reset, and the caller might lose the answer."""

READ_BYTES = 1 << 16


@dataclass(frozen=True)
class _Refused:
    at: float
    connection: socket.socket


class LoadShedder:
    """Answers connections without reading what their requests are.

    Parameters
    ----------
    responses : sequence of bytes
        Whole answers, one of which is drawn for each request. They must promise that
        the request has not run, and end the connection.

    Attributes
    ----------
    refused : int
        Connections refused so far.
    """

    def __init__(self, responses: Sequence[bytes]) -> None:
        self._answers = responses
        self._waiting: set[socket.socket] = set()
        self._refused: deque[_Refused] = deque()
        self._sweeping: asyncio.TimerHandle | None = None
        self.refused = 0

    def refuse(self, connection: socket.socket) -> None:
        """Answer a connection as soon as a request comes, and close it."""
        self.refused += 1
        connection.setblocking(False)
        self._keep(connection)
        if not self._answer(connection):
            self._waiting.add(connection)
            loop = asyncio.get_running_loop()
            loop.add_reader(connection, self._answer_waiting, connection)

    def close(self) -> None:
        """Close all connections."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        while self._refused:
            self._end(self._refused.popleft().connection)

    def _answer_waiting(self, connection: socket.socket) -> None:
        if self._answer(connection):
            self._stop_waiting(connection)

    def _answer(self, connection: socket.socket) -> bool:
        """Return whether the connection needs no more attention."""
        try:
            connection.recv(READ_BYTES)
            connection.send(random.choice(self._answers))
            connection.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            return False
        except OSError:
            # the caller has left
            return True
        return True

    def _keep(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self._refused.append(_Refused(loop.time(), connection))
        if self._sweeping is None:
            self._sweeping = loop.call_later(LINGER_SECONDS, self._sweep)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        oldest = loop.time() - LINGER_SECONDS
        while self._refused and self._refused[0].at <= oldest:
            self._end(self._refused.popleft().connection)
        self._sweeping = None
        if self._refused:
            left = self._refused[0].at - oldest
            self._sweeping = loop.call_later(left, self._sweep)

    def _stop_waiting(self, connection: socket.socket) -> None:
        self._waiting.discard(connection)
        asyncio.get_running_loop().remove_reader(connection)

    def _end(self, connection: socket.socket) -> None:
        if connection in self._waiting:
            self._stop_waiting(connection)
        with suppress(OSError):
            connection.close()
