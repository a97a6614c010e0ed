"""The callers' HTTP server, with a limit on connections."""

import asyncio
import json
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError

from teaselledge.errors import ErrorKind, Fault, problem

__all__ = ["CallerServer"]

IDLE_TIMEOUT_SECONDS = 75.0
"""Time without a request after which a connection is closed."""


class CallerServer(HTTPServer):
    """HTTP server that immediately refuses connections over a limit."""

    def initialize(self, *args: Any, **options: Any) -> None:
        """Set ``max_connections``; other options are those of the HTTP server."""
        self._max_connections = options.pop("max_connections")
        self._refusals: set[asyncio.Future[None]] = set()
        options["idle_connection_timeout"] = IDLE_TIMEOUT_SECONDS
        super().initialize(*args, **options)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a connection, or refuse it."""
        if self.connections < self._max_connections:
            super().handle_stream(stream, address)
            return
        task = asyncio.ensure_future(_refuse(stream))
        self._refusals.add(task)
        task.add_done_callback(self._refusals.discard)


async def _refuse(stream: IOStream) -> None:
    response = problem(Fault(ErrorKind.ROUTER_FULL, detail="too many connections"), "")
    body = json.dumps(response.body).encode()
    lines = [f"HTTP/1.1 {response.status} Service Unavailable"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    try:
        await stream.write("\r\n".join(lines).encode() + body)
    except StreamClosedError:
        return
    stream.close()
