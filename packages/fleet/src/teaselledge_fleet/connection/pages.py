"""HTTP server for readiness, addresses, metrics and requests of other routers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

__all__ = ["Page", "PageServer"]

IDLE_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True)
class Page:
    """An HTTP response.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The content.
    content_type : str
        Media type of the content.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


PageHandler = Callable[[str, dict[str, str]], Page]
"""Returns the page for a path and query arguments."""

REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class PageServer:
    """Serves pages over HTTP."""

    def __init__(self, handler: PageHandler) -> None:
        self._handler = handler
        self._http = HTTPServer(
            self._serve, idle_connection_timeout=IDLE_TIMEOUT_SECONDS
        )

    def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._http.listen(port, host, backlog=512)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._http.stop()
        await self._http.close_all_connections()

    def _serve(self, request: HTTPServerRequest) -> None:
        arguments = {
            name: values[-1].decode("utf-8", "replace")
            for name, values in request.query_arguments.items()
        }
        page = self._handler(request.path, arguments)
        headers = HTTPHeaders()
        headers["Content-Type"] = page.content_type
        headers["Content-Length"] = str(len(page.body))
        line = ResponseStartLine(
            "HTTP/1.1", page.status, REASON_PHRASES.get(page.status, "Unknown")
        )
        connection = request.connection
        assert connection is not None
        body = None if request.method == "HEAD" else page.body
        written = connection.write_headers(line, headers, body or None)
        written.add_done_callback(_consume_exception)
        connection.finish()


def _consume_exception(future: "asyncio.Future[None]") -> None:
    # the client disconnected early; asyncio would log the exception as never retrieved
    if not future.cancelled():
        future.exception()
