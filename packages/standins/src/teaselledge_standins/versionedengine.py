"""An engine whose streams name its version, and which breaks some of them off."""

import asyncio

from teaselledge_standins.scripted import (
    ScriptedEndpoint,
    ScriptedRequest,
    reset,
    response_bytes,
)

__all__ = ["EVENT_COUNT", "VersionedEngine"]

EVENT_COUNT = 6
EVENT_GAP_SECONDS = 0.005


class VersionedEngine(ScriptedEndpoint):
    """Sends streams of `EVENT_COUNT` events that contain its version.

    Parameters
    ----------
    version : str
        Version of its software.

    Attributes
    ----------
    break_after : int
        Number of the event after which it resets the connection of a stream that
        begins there; 0 for none.
    pause_after : int
        Number of the event after which a stream that begins there goes on only after
        a second; 0 for none.
    """

    def __init__(self, version: str) -> None:
        super().__init__(self._send_stream)
        self.version = version
        self.break_after = 0
        self.pause_after = 0

    async def _send_stream(
        self, request: ScriptedRequest, writer: asyncio.StreamWriter
    ) -> None:
        resume_after = int(request.headers.get("last-event-id", "0"))
        headers = {"X-Request-Id": request.headers["x-request-id"]}
        headers["Transfer-Encoding"] = "chunked"
        writer.write(response_bytes(200, headers, b"", length=False))
        for number in range(resume_after + 1, EVENT_COUNT + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_SECONDS)
            if resume_after or number not in (self.break_after, self.pause_after):
                continue
            if number == self.break_after:
                reset(writer)
                return
            await asyncio.sleep(1.0)
        writer.write(b"0\r\n\r\n")
