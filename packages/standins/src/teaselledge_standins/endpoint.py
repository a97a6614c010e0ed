"""Base classes of the endpoint doubles."""

import asyncio
from dataclasses import dataclass
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from teaselledge_standins.faults import EndpointFaults

__all__ = ["BaseEndpoint", "BaseEndpointHandler", "ExecutedRequest"]


@dataclass(frozen=True)
class ExecutedRequest:
    """One request that an endpoint executed.

    Attributes
    ----------
    request_id : str
        Request id from the header that the router sent.
    name : str
        Name that the caller gave the request in the body.
    organisation : str
        Organisation that the caller named in the body.
    started, ended : float
        Start and end as loop time.
    cost : float
        Tokens or slot-seconds.
    """

    request_id: str
    name: str
    organisation: str
    started: float
    ended: float
    cost: float


class BaseEndpoint:
    """An endpoint on loopback that records the requests it executes.

    Attributes
    ----------
    faults : EndpointFaults
        Fault switches.
    runs : list of ExecutedRequest
        Executed requests, in order of ending.
    running : int
        Requests in progress.
    """

    def __init__(self) -> None:
        self.faults = EndpointFaults()
        self.runs: list[ExecutedRequest] = []
        self.running = 0
        self.address = ""
        self._server: HTTPServer | None = None

    def handlers(self) -> list[Any]:
        """Return the routes."""
        raise NotImplementedError

    def listen(self, port: int = 0) -> str:
        """Listen on loopback and return the address."""
        self._server = HTTPServer(
            Application(self.handlers(), log_function=lambda handler: None)
        )
        sockets = bind_sockets(port, "127.0.0.1")
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        return self.address

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


class BaseEndpointHandler(RequestHandler):
    """Base class of the handlers of endpoint doubles."""

    def initialize(self, endpoint: Any) -> None:
        """Store the endpoint."""
        self.endpoint = endpoint
        self.closed = False

    def on_connection_close(self) -> None:
        """Record that the router closed the connection."""
        self.closed = True

    def drop(self) -> None:
        """Close the connection without a response."""
        stream = self.request.connection.stream  # type: ignore[union-attr]
        stream.close()

    async def send_garbage(self) -> None:
        """Send bytes that are not HTTP, and close the connection."""
        stream = self.request.connection.stream  # type: ignore[union-attr]
        await stream.write(b"\x00\x01 this is no HTTP \r\n\r\n")
        stream.close()

    async def pause(self, seconds: float) -> None:
        """Sleep for the given time multiplied by the slowness switch."""
        await asyncio.sleep(seconds * self.endpoint.faults.slow)
