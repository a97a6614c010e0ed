"""An engine that ends when it begins to respond to a prompt with a certain segment."""

import asyncio
from collections.abc import Callable
from enum import Enum

from teaselledge_fleet.request.call import CallerRequest, Prompt, PromptSegment
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from tornado.httputil import HTTPHeaders

from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    response_bytes,
)

__all__ = ["Framing", "PromptHeaderCodec", "SegmentEngine", "prompt_header"]

PROMPT = "X-Prompt"
SEGMENT_TOKENS = 100
EVENTS = 3


class Framing(Enum):
    """How the end of a response is told."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class PromptHeaderCodec(DefaultHeaderCodec):
    """Header codec that reads the names of the prompt's segments from a header."""

    def decode_request(
        self, method: str, target: str, headers: HTTPHeaders
    ) -> CallerRequest:
        """Decode a caller's request."""
        request = super().decode_request(method, target, headers)
        names = [name for name in headers.get(PROMPT, "").split(",") if name]
        if not names:
            return request
        segments = tuple(PromptSegment(name, SEGMENT_TOKENS) for name in names)
        prompt = Prompt(SEGMENT_TOKENS * len(names), EVENTS, segments)
        return CallerRequest(**{**vars(request), "prompt": prompt})


def prompt_header(*names: str) -> dict[str, str]:
    """Return the header that carries the segments of a prompt."""
    return {PROMPT: ",".join(names)}


def _event(number: int) -> bytes:
    return b"id: %d\ndata: %d\n\n" % (number, number)


class SegmentEngine(ScriptedEndpoint):
    """Responds with some events, and ends by prompts with a fatal segment.

    When it ends it closes all its connections at once, in order. It listens again on
    the same port after some time.

    Parameters
    ----------
    fatal_segment : str
        Name of the segment.
    on_state : callable
        Called with the engine and whether it listens, when that changes.
    cut_inside : bool
        Whether the response to a fatal request ends inside its first event.
    return_seconds : float
        Time until it listens again.
    event_seconds : float
        Time between events.

    Attributes
    ----------
    fatal_at : list of float
        Loop times at which requests with the segment were received.
    ends : list of float
        Loop times at which it ended.
    """

    def __init__(
        self,
        fatal_segment: str,
        on_state: Callable[["SegmentEngine", bool], None],
        cut_inside: bool = True,
        return_seconds: float = 1.0,
        event_seconds: float = 0.03,
    ) -> None:
        super().__init__(self._respond)
        self._fatal_segment = fatal_segment
        self._on_state = on_state
        self._cut_inside = cut_inside
        self._return_seconds = return_seconds
        self._event_seconds = event_seconds
        self._running: asyncio.Task[None] | None = None
        self.fatal_at: list[float] = []
        self.ends: list[float] = []

    async def stop(self) -> None:
        """Stop for good."""
        if self._running is not None:
            self._running.cancel()
        await self.close()

    async def _respond(
        self, request: ScriptedRequest, writer: asyncio.StreamWriter
    ) -> None:
        names = request.headers.get(PROMPT.lower(), "").split(",")
        framing = list(Framing)[len(self.received) % len(Framing)]
        await asyncio.sleep(self._event_seconds)
        if self._fatal_segment in names[:-1]:
            self.fatal_at.append(asyncio.get_running_loop().time())
            await self._end_in_response(request, writer, framing)
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        events = [_event(number) for number in range(first, EVENTS + 1)]
        writer.write(_head(request, framing, sum(map(len, events))))
        for event in events:
            await asyncio.sleep(self._event_seconds)
            writer.write(_frame(framing, event))
        if framing is Framing.CHUNKS:
            writer.write(b"0\r\n\r\n")
        if framing is Framing.CLOSE:
            writer.close()

    async def _end_in_response(
        self, request: ScriptedRequest, writer: asyncio.StreamWriter, framing: Framing
    ) -> None:
        part = _event(1)[: 9 if self._cut_inside else None]
        if not self._cut_inside:
            framing = Framing.CLOSE
        writer.write(_head(request, framing, EVENTS * len(_event(1))))
        writer.write(_frame(framing, part))
        await writer.drain()
        await asyncio.sleep(0.01)
        if self._running is None or self._running.done():
            self._running = asyncio.create_task(self._end_and_return())
        await asyncio.sleep(1.0)

    async def _end_and_return(self) -> None:
        self.ends.append(asyncio.get_running_loop().time())
        port = int(self.address.rpartition(":")[2])
        await self.close()
        self._on_state(self, False)
        await asyncio.sleep(self._return_seconds)
        await self.listen(port)
        self._on_state(self, True)


def _head(request: ScriptedRequest, framing: Framing, length: int) -> bytes:
    headers = {
        "X-Request-Id": request.headers["x-request-id"],
        "Content-Type": "text/event-stream",
    }
    if framing is Framing.LENGTH:
        headers["Content-Length"] = str(length)
    if framing is Framing.CHUNKS:
        headers["Transfer-Encoding"] = "chunked"
    return response_bytes(200, headers, b"", length=False)


def _frame(framing: Framing, part: bytes) -> bytes:
    if framing is not Framing.CHUNKS:
        return part
    return b"%x\r\n%s\r\n" % (len(part), part)
