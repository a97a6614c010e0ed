"""An endpoint that responds with exactly the bytes that a test specifies."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Self

from teaselledge_standins.loopback import LoopbackServer

__all__ = ["ScriptedRequest", "ScriptedEndpoint", "response_bytes", "reset"]


@dataclass(frozen=True)
class ScriptedRequest:
    """A request as received.

    Attributes
    ----------
    line : str
        The request line.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        The body.
    """

    line: str
    headers: dict[str, str]
    body: bytes


Script = Callable[[ScriptedRequest, asyncio.StreamWriter], Awaitable[None]]
"""Responds to one request on its connection."""


class ScriptedEndpoint(LoopbackServer):
    """Listens on loopback and lets a script respond.

    Attributes
    ----------
    script : callable
        Responds to each request; may be replaced between requests.
    received : list of Received
        All requests, in order.
    connections : int
        Number of accepted connections.
    client_disconnected : asyncio.Event
        Set when the client closes a connection during a response.
    """

    def __init__(self, script: Script) -> None:
        super().__init__(self._serve)
        self.script = script
        self.received: list[ScriptedRequest] = []
        self.connections = 0
        self.client_disconnected = asyncio.Event()

    async def __aenter__(self) -> Self:
        """Start listening."""
        await self.listen()
        return self

    async def __aexit__(self, *error: object) -> None:
        """Close everything."""
        await self.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read the requests one after another, and let the script respond to each."""
        self.connections += 1
        while True:
            request = await _read(reader)
            self.received.append(request)
            responding = asyncio.ensure_future(self.script(request, writer))
            await self._watch(reader, responding)

    async def _watch(
        self, reader: asyncio.StreamReader, responding: "asyncio.Future[None]"
    ) -> None:
        """Wait for the script; abort it if the client disconnects before its end."""
        while not responding.done():
            await asyncio.wait([responding], timeout=0.01)
            if reader.at_eof() or reader.exception() is not None:
                self.client_disconnected.set()
                responding.cancel()
                raise ConnectionResetError
        await responding


async def _read(reader: asyncio.StreamReader) -> ScriptedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *rest = head.split("\r\n")
    pairs = [item.split(":", 1) for item in rest if ":" in item]
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ScriptedRequest(line, headers, body)


def response_bytes(
    status: int, headers: dict[str, str], body: bytes, length: bool = True
) -> bytes:
    """Return the bytes of a complete response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close the connection with a reset instead of an orderly shutdown."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
