"""An endpoint that answers with the very bytes that a test tells it."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

__all__ = ["Received", "ScriptedEndpoint", "answer_bytes", "reset"]


@dataclass(frozen=True)
class Received:
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


Script = Callable[[Received, asyncio.StreamWriter], Awaitable[None]]
"""Answers one request on its connection."""


@dataclass
class ScriptedEndpoint:
    """Listens on loopback and lets a script answer.

    Attributes
    ----------
    script : callable
        Answers each request; may be replaced between requests.
    received : list of Received
        All requests, in order.
    connections : int
        Connections accepted so far.
    left : asyncio.Event
        Set when the other side closes a connection during an answer.
    """

    script: Script
    received: list[Received] = field(default_factory=list)
    connections: int = 0
    left: asyncio.Event = field(default_factory=asyncio.Event)
    _address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set["asyncio.Task[None]"] = field(default_factory=set)

    @property
    def address(self) -> str:
        """``host:port`` where it listens."""
        return self._address

    async def __aenter__(self) -> "ScriptedEndpoint":
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"
        return self

    async def __aexit__(self, *error: object) -> None:
        """Close everything."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.connections += 1
        try:
            while True:
                request = await _read(reader)
                self.received.append(request)
                answering = asyncio.ensure_future(self.script(request, writer))
                await self._watch(reader, answering)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    async def _watch(
        self, reader: asyncio.StreamReader, answering: "asyncio.Future[None]"
    ) -> None:
        """Wait for the answer, and note when the other side leaves before its end."""
        while not answering.done():
            await asyncio.wait([answering], timeout=0.01)
            if reader.at_eof() or reader.exception() is not None:
                self.left.set()
                answering.cancel()
                raise ConnectionResetError
        await answering


async def _read(reader: asyncio.StreamReader) -> Received:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *rest = head.split("\r\n")
    pairs = [item.split(":", 1) for item in rest if ":" in item]
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Received(line, headers, body)


def answer_bytes(
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
