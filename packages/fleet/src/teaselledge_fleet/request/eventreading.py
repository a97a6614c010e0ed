"""Read the events of a stream, within limits of size and time."""

import asyncio
from collections.abc import AsyncIterator

from teaselledge_fleet.connection.endpoint import IncompleteResponseError
from teaselledge_fleet.connection.responselimits import (
    MAX_EVENT_BYTES,
    MAX_INCOMPLETE_SECONDS,
)
from teaselledge_fleet.request.events import EventSplitter

__all__ = ["EventReader"]


class EventReader:
    """Reads the complete events of the response of one endpoint.

    Parameters
    ----------
    body : async iterator of bytes
        Body of the response.
    splitter : EventSplitter
        Splits the events. It outlives the reader if another endpoint resumes the
        stream.
    """

    def __init__(self, body: AsyncIterator[bytes], splitter: EventSplitter) -> None:
        self._body = body
        self._splitter = splitter
        self._deadline: float | None = None

    async def read(self) -> bytes:
        """Return the next complete events, which are empty at the end of the stream.

        Raises
        ------
        IncompleteResponseError
            If the stream ends within an event, or an event is too long or does not end
            in time. The part of it that was received is discarded.
        """
        try:
            return await self._read()
        except IncompleteResponseError:
            self._splitter.discard_partial_event()
            raise

    async def _read(self) -> bytes:
        splitter = self._splitter
        while not splitter.oversized:
            chunk = await self._read_chunk()
            if not chunk:
                if splitter.has_partial_event:
                    raise IncompleteResponseError("the last event is incomplete")
                return b""
            events = splitter.feed(chunk)
            if splitter.flooded:
                raise IncompleteResponseError("events without content, one by one")
            self._update_deadline(bool(events))
            if events:
                return events
        raise IncompleteResponseError(f"event over {MAX_EVENT_BYTES} bytes")

    def _update_deadline(self, has_events: bool) -> None:
        if not self._splitter.has_partial_event:
            self._deadline = None
        elif has_events or self._deadline is None:
            now = asyncio.get_running_loop().time()
            self._deadline = now + MAX_INCOMPLETE_SECONDS

    async def _read_chunk(self) -> bytes:
        if self._deadline is None:
            return await anext(self._body, b"")
        try:
            async with asyncio.timeout_at(self._deadline):
                return await anext(self._body, b"")
        except TimeoutError:
            detail = f"an event did not end within {MAX_INCOMPLETE_SECONDS} s"
            raise IncompleteResponseError(detail) from None
