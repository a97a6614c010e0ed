"""A TCP server on loopback that closes all its connections when it is closed."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["LoopbackServer", "Serve"]

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Serves one connection, which is closed afterwards."""

ACCEPT_QUEUE = 1024
"""Connections that wait to be accepted. Those of a burst that does not fit are made a
second later, after the time that a router waits for them."""


class LoopbackServer:
    """Serves each connection in its own task.

    Parameters
    ----------
    serve : callable
        Serves one connection.

    Attributes
    ----------
    address : str
        ``host:port`` that the server listens on.
    """

    def __init__(self, serve: Serve) -> None:
        self._serve_one = serve
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    async def listen(self, port: int = 0) -> None:
        """Start listening, on a free port if none is given."""
        self._closed = False
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", port, backlog=ACCEPT_QUEUE
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._closed = True
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._closed:
            # accepted by the system, and handed over after the server was closed
            writer.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The client disconnected or the server was closed; asyncio's server would
            # log a cancelled handler as an error.
            return
        finally:
            writer.close()
