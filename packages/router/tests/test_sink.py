"""Tests of writing responses to callers."""

import asyncio

from teaselledge.connection.sink import STREAM_BUFFER_BYTES, HandlerSink
from tornado.iostream import StreamClosedError

VIRTUAL_CLOCK = True
CHUNK = b"x" * 1024


class StalledHandler:
    """A handler whose caller reads nothing until an event is set."""

    def __init__(self):
        self.request = self
        self.connection = self
        self.stream = self
        self.closed = False
        self.taken = asyncio.Event()

    def write(self, chunk):
        """Accept a chunk."""

    async def flush(self):
        """Wait until the caller reads."""
        await self.taken.wait()

    def close(self):
        """Record that the connection was closed."""
        self.closed = True


async def test_reading_from_the_endpoint_stops_at_the_buffer_limit():
    """A caller stops reading while the endpoint continues to send. The router
    must buffer up to the limit only, and then stop reading from the endpoint.
    """
    handler = StalledHandler()
    sink = HandlerSink(handler)
    written = 0

    async def relay():
        nonlocal written
        while written < 2 * STREAM_BUFFER_BYTES:
            await sink.write(CHUNK)
            written += len(CHUNK)

    task = asyncio.create_task(relay())
    await asyncio.sleep(1)
    assert written <= STREAM_BUFFER_BYTES <= sink.buffered
    handler.taken.set()
    await task
    assert written == 2 * STREAM_BUFFER_BYTES


async def test_connection_of_a_stalled_caller_is_closed():
    """A caller keeps its connection open but never reads. Its slot would stay
    occupied for ever, so the router must close the connection.
    """
    handler = StalledHandler()
    sink = HandlerSink(handler)
    start = asyncio.get_running_loop().time()
    try:
        while True:
            await sink.write(CHUNK)
    except StreamClosedError:
        pass
    assert handler.closed
    assert asyncio.get_running_loop().time() - start <= 31
