"""Count the bytes between routers independently of the routers."""

import asyncio

from teaselledge_standins.loopback import LoopbackServer

__all__ = ["CountingProxy"]

READ_BYTES = 64 * 1024


class CountingProxy(LoopbackServer):
    """A proxy in front of one router's peer port.

    Other routers get the proxy's address, so that their bytes are counted outside of
    sender and receiver.

    Attributes
    ----------
    received : int
        Bytes received from other routers.
    """

    def __init__(self) -> None:
        super().__init__(self._serve)
        self.received = 0
        self._target = ""

    def forward_to(self, address: str) -> None:
        """Set the address of the router."""
        self._target = address

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward and count the bytes of a connection."""
        host, port = self._target.rsplit(":", 1)
        _, target = await asyncio.open_connection(host, int(port))
        while data := await reader.read(READ_BYTES):
            self.received += len(data)
            target.write(data)
            await target.drain()
        target.close()
