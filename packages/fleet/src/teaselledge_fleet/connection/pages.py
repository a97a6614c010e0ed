"""Small HTTP listeners: readiness, addresses, and what other routers ask."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

__all__ = ["Page", "PageServer"]

IDLE_SECONDS = 30.0


@dataclass(frozen=True)
class Page:
    """An answer.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The content.
    content_type : str
        Its media type.
    """

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


PageHandler = Callable[[str, dict[str, str]], Page]
"""Returns the page for a path and the query's arguments."""

REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class PageServer:
    """Answers requests for pages."""

    def __init__(self, handler: PageHandler) -> None:
        self._answer = handler
        self._http = HTTPServer(self._serve, idle_connection_timeout=IDLE_SECONDS)

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
        page = self._answer(request.path, arguments)
        headers = HTTPHeaders()
        headers["Content-Type"] = page.content_type
        headers["Content-Length"] = str(len(page.body))
        line = ResponseStartLine(
            "HTTP/1.1", page.status, REASONS.get(page.status, "Unknown")
        )
        connection = request.connection
        assert connection is not None
        body = None if request.method == "HEAD" else page.body
        written = connection.write_headers(line, headers, body or None)
        written.add_done_callback(_read_exception)
        connection.finish()


def _read_exception(future: "asyncio.Future[None]") -> None:
    # a caller that left before its answer; asyncio would log it as never retrieved
    if not future.cancelled():
        future.exception()
