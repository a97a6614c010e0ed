"""An endpoint that answers with the very bytes that a test tells it."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from teaselledge_standins.loopback import LoopbackServer

__all__ = ["ScriptedRequest", "ScriptedEndpoint", "response_bytes", "reset"]


@dataclass(frozen=True)
class ScriptedRequest:
    """A request as it came.

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
"""Answers one request on its connection."""


class ScriptedEndpoint(LoopbackServer):
    """Listens on loopback and lets a script answer.

    Attributes
    ----------
    script : callable
        Answers each request; may be replaced between requests.
    received : list of Received
        All requests, in order.
    connections : int
        Connections accepted so far.
    client_disconnected : asyncio.Event
        Set when the other side closes a connection during an answer.
    """

    def __init__(self, script: Script) -> None:
        super().__init__(self._serve)
        self.script = script
        self.received: list[ScriptedRequest] = []
        self.connections = 0
        self.client_disconnected = asyncio.Event()

    async def __aenter__(self) -> "ScriptedEndpoint":
        """Start to listen."""
        await self.listen()
        return self

    async def __aexit__(self, *error: object) -> None:
        """Close everything."""
        await self.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read one request after the other, and let the script answer each."""
        self.connections += 1
        while True:
            request = await _read(reader)
            self.received.append(request)
            answering = asyncio.ensure_future(self.script(request, writer))
            await self._watch(reader, answering)

    async def _watch(
        self, reader: asyncio.StreamReader, answering: "asyncio.Future[None]"
    ) -> None:
        """Wait for the answer, and note when the other side leaves before its end."""
        while not answering.done():
            await asyncio.wait([answering], timeout=0.01)
            if reader.at_eof() or reader.exception() is not None:
                self.client_disconnected.set()
                answering.cancel()
                raise ConnectionResetError
        await answering


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
    """Return a whole answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Break the connection with a reset instead of a clean end."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
