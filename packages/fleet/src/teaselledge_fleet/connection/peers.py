"""Communication between routers: datagrams, and snapshots over HTTP."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, cast

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

SNAPSHOT_TIMEOUT_SECONDS = 0.8
"""A snapshot has at most about 100 KB, and a round trip between regions takes 46 ms."""

STATE_PATH = "/fleet/state"


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives messages over UDP.

    Datagrams need no connection, which could fail without notice, and the next message
    makes up for a lost one.
    """

    def __init__(self) -> None:
        self._handlers: dict[type, Callable[[Any, str], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
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
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # the event loop's transport has the methods, but is not a subclass
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and call the handler of its message type."""
        decoded = decode_datagram(data)
        if decoded.is_error():
            self._malformed_count += 1
            if self._malformed_count == 1:
                _log.warning("datagram malformed", error=decoded.error)
            return
        handler = self._handlers.get(type(decoded.ok))
        if handler is not None:
            handler(decoded.ok, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: a router that sends nothing is detected anyway."""

    def send(self, address: str, payload: Datagram) -> None:
        """Send a message to an address."""
        self.send_all([address], payload)

    def send_all(self, addresses: Iterable[str], payload: Datagram) -> None:
        """Send the same message to several addresses."""
        data = None
        for address in addresses:
            data = data or encode_datagram(payload)
            host, _, port = address.rpartition(":")
            if self._transport is None or not port.isdigit():
                continue
            self.sent_bytes += len(data)
            self._transport.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


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
        except (HTTPClientError, OSError) as error:
            return Error(repr(error))
        decoded = decode_state(response.body)
        return Ok(decoded.ok) if decoded.is_ok() else Error(decoded.error)

    def close(self) -> None:
        """Cancel all requests."""
        self._client.close()
