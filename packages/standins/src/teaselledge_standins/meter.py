"""Count the bytes between routers, outside of the routers."""

import asyncio

from teaselledge_standins.loopback import LoopbackServer

__all__ = ["CountingProxy"]

READ_BYTES = 64 * 1024


class CountingProxy(LoopbackServer):
    """A relay before one router's peer port.

    Other routers are told its address, so that what they send to the router is
    counted by neither of them.

    Attributes
    ----------
    received : int
        Bytes that other routers sent.
    """

    def __init__(self) -> None:
        super().__init__(self._serve)
        self.received = 0
        self._target = ""

    def forward_to(self, address: str) -> None:
        """Set the router's own address."""
        self._target = address

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on what comes, and count it."""
        host, port = self._target.rsplit(":", 1)
        _, target = await asyncio.open_connection(host, int(port))
        while data := await reader.read(READ_BYTES):
            self.received += len(data)
            target.write(data)
            await target.drain()
        target.close()
