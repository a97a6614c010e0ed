"""Communication between routers: datagrams, and snapshots over HTTP."""

import asyncio
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from expression import Error, Ok, Result
from teaselledge_wire.gen.fleet.ttypes import WholeState
from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from teaselledge_fleet.connection.codec import (
    Datagram,
    decode_datagram,
    decode_state,
    encode_datagram,
)
from teaselledge_fleet.log import get_log

__all__ = ["PeerSocket", "StateClient"]

_log = get_log("peers")

SNAPSHOT_TIMEOUT_SECONDS = 3.0
"""A snapshot has at most about 100 KB, which takes 0.2 s with a round trip to another
region. On a VM whose link is full, each packet waits for a second."""

MAX_DATAGRAM_BYTES = 1 << 16

MAX_DATAGRAMS_PER_READ = 200
"""Datagrams handled without a break, so that a flood of them can't stop the router."""

STATE_PATH = "/fleet/state"


class PeerSocket:
    """Sends and receives messages over UDP.

    Datagrams need no connection, which could fail without notice, and the next message
    makes up for a lost one.
    """

    def __init__(self) -> None:
        self._handlers: dict[type, Callable[[Any, str], None]] = {}
        self._socket: socket.socket | None = None
        self._malformed_count = 0
        self.sent_bytes = 0

    @property
    def malformed_count(self) -> int:
        """Number of datagrams that could not be decoded."""
        return self._malformed_count

    def on(self, kind: type, handler: Callable[[Any, str], None]) -> None:
        """Set the handler for a type of message, called with the sender's address."""
        self._handlers[kind] = handler

    async def listen(self, host: str, port: int) -> None:
        """Open the socket."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        asyncio.get_running_loop().add_reader(self._socket, self._read_all)

    def _read_all(self) -> None:
        """Handle all datagrams that have arrived.

        With one in each iteration, a busy event loop would read fewer than arrive: the
        others would be late or lost, and their senders would look dead.
        """
        assert self._socket is not None
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # ICMP errors: a router that sends nothing is detected anyway
                continue
            self._handle(data, f"{address[0]}:{address[1]}")

    def _handle(self, data: bytes, address: str) -> None:
        """Decode a datagram and call the handler of its message type."""
        decoded = decode_datagram(data)
        if decoded.is_error():
            self._record_malformed(decoded.error)
            return
        handler = self._handlers.get(type(decoded.ok))
        if handler is None:
            return
        try:
            handler(decoded.ok, address)
        except Exception as error:
            # a field may be missing or hold a value of a later release
            self._record_malformed(repr(error))

    def _record_malformed(self, error: str) -> None:
        self._malformed_count += 1
        if self._malformed_count == 1:
            _log.warning("datagram malformed", error=error)

    def send(self, address: str, payload: Datagram) -> None:
        """Send a message to an address."""
        self.send_all([address], payload)

    def send_all(self, addresses: Iterable[str], payload: Datagram) -> None:
        """Send the same message to several addresses."""
        data = None
        for address in addresses:
            data = data or encode_datagram(payload)
            host, _, port = address.rpartition(":")
            if self._socket is None or not port.isdigit():
                continue
            self.sent_bytes += len(data)
            # without room in the buffer it is lost, like any datagram; a peer may have
            # sent an address that does not exist
            with suppress(OSError, OverflowError):
                self._socket.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None


class StateClient:
    """Fetches snapshots from other routers."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(force_instance=True)

    async def fetch(self, address: str) -> Result[WholeState, str]:
        """Return the snapshot of the router at a peer address, or why it failed."""
        try:
            response = await self._client.fetch(
                f"http://{address}{STATE_PATH}",
                connect_timeout=SNAPSHOT_TIMEOUT_SECONDS,
                request_timeout=SNAPSHOT_TIMEOUT_SECONDS,
            )
        except (HTTPClientError, OSError, ValueError) as error:
            # a ValueError if the address that the peer sent is none
            return Error(repr(error))
        decoded = decode_state(response.body)
        return Ok(decoded.ok) if decoded.is_ok() else Error(decoded.error)

    def close(self) -> None:
        """Cancel all requests."""
        self._client.close()
