"""An endpoint that ends when it runs certain requests."""

import asyncio
from collections.abc import Callable

from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)

__all__ = ["EndingEndpoint"]

RequestTest = Callable[[ScriptedRequest], bool]


class EndingEndpoint(ScriptedEndpoint):
    """Responds after some time, unless a request ends it.

    When it ends, it stops listening and closes all its connections at once, as the
    system does for a process that crashes.

    Parameters
    ----------
    is_fatal : callable
        Whether running a request ends the endpoint.
    run_seconds : float
        Time that each request runs.
    begins : bool
        Whether it sends the first event of a stream before it ends.

    Attributes
    ----------
    ended : bool
        Whether a request has ended it.
    """

    def __init__(
        self, is_fatal: RequestTest, run_seconds: float = 0.03, begins: bool = False
    ) -> None:
        super().__init__(self._run)
        self._is_fatal = is_fatal
        self._run_seconds = run_seconds
        self._begins = begins
        self._end: asyncio.Task[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether a request has ended it."""
        return self._end is not None

    @property
    def fatal_requests(self) -> list[ScriptedRequest]:
        """The requests that it received and that end it."""
        return [request for request in self.received if self._is_fatal(request)]

    async def _run(
        self, request: ScriptedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self._run_seconds)
        headers = {"X-Request-Id": request.headers["x-request-id"]}
        if self._is_fatal(request):
            if self._begins:
                event = b"id: 1\ndata: 1\n\n"
                chunk = b"%x\r\n%s\r\n" % (len(event), event)
                headers["Transfer-Encoding"] = "chunked"
                writer.write(response_bytes(200, headers, chunk, length=False))
                await asyncio.sleep(self._run_seconds)
            self._end = self._end or asyncio.create_task(self.close())
            await asyncio.sleep(self._run_seconds)
            return
        writer.write(response_bytes(200, headers, request.body))
