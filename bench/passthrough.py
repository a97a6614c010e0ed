"""Baseline of the speed benchmark: a tornado proxy that only forwards requests."""

import asyncio

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

__all__ = ["Passthrough"]

MAX_CLIENTS = 10_000


class _Handler(RequestHandler):
    def initialize(self, proxy: "Passthrough") -> None:
        """Set the proxy."""
        self.proxy = proxy

    async def post(self) -> None:
        """Forward the request and stream the response."""
        flushed: asyncio.Future[None] | None = None

        def relay(chunk: bytes) -> None:
            nonlocal flushed
            self.write(chunk)
            flushed = asyncio.ensure_future(self.flush())

        request = HTTPRequest(
            f"http://{self.proxy.target}{self.request.path}",
            "POST",
            body=self.request.body,
            streaming_callback=relay,
            request_timeout=600,
        )
        response: HTTPResponse = await self.proxy.client.fetch(
            request, raise_error=False
        )
        self.set_status(response.code)
        if flushed is not None:
            await flushed


class Passthrough:
    """A proxy to one endpoint."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )
        application = Application(
            [(r"/.*", _Handler, {"proxy": self})], log_function=lambda handler: None
        )
        self._server = HTTPServer(application)

    def listen(self) -> str:
        """Listen on loopback and return the address."""
        sockets = bind_sockets(0, "127.0.0.1")
        self._server.add_sockets(sockets)
        return f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening."""
        self._server.stop()
        await self._server.close_all_connections()
        self.client.close()
