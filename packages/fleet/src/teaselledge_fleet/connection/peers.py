"""Datagrams between routers, and whole states over HTTP."""

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

FETCH_SECONDS = 0.8
"""A whole state is at most some 100 KB and two regions are 46 ms apart."""

STATE_PATH = "/fleet/state"


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives messages over UDP.

    Datagrams need no connection that could go silent for good; a lost one is made
    up for by the next.
    """

    def __init__(self) -> None:
        self._takers: dict[type, Callable[[Any, str], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._malformed = 0
        self.sent_bytes = 0

    @property
    def malformed_count(self) -> int:
        """Datagrams that could not be read."""
        return self._malformed

    def on(self, kind: type, take: Callable[[Any, str], None]) -> None:
        """Have messages of a kind taken, with the address of their sender."""
        self._takers[kind] = take

    async def listen(self, host: str, port: int) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # the loop's own transport has the methods, but not the type
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take one datagram."""
        read = decode_datagram(data)
        if read.is_error():
            self._malformed += 1
            if self._malformed == 1:
                _log.warning("datagram malformed", error=read.error)
            return
        take = self._takers.get(type(read.ok))
        if take is not None:
            take(read.ok, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Ignore that nothing listens there; silence tells the same."""

    def send(self, address: str, content: Datagram) -> None:
        """Send a message to an address."""
        self.send_all([address], content)

    def send_all(self, addresses: Iterable[str], content: Datagram) -> None:
        """Send the same message to some addresses."""
        data = None
        for address in addresses:
            data = data or encode_datagram(content)
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
    """Fetches the whole state of another router."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(force_instance=True)

    async def fetch(self, address: str) -> Result[WholeState, str]:
        """Ask the router at a peer address."""
        try:
            answer = await self._client.fetch(
                f"http://{address}{STATE_PATH}",
                connect_timeout=FETCH_SECONDS,
                request_timeout=FETCH_SECONDS,
            )
        except (HTTPClientError, OSError) as error:
            return Error(repr(error))
        decoded = decode_state(answer.body)
        return Ok(decoded.ok) if decoded.is_ok() else Error(decoded.error)

    def close(self) -> None:
        """End all calls."""
        self._client.close()
