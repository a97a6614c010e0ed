"""A stand-in for the router to which a connection is relayed."""

import asyncio
import socket

from teaselledge_fleet.connection.relay import RelayEvents, RelayPool
from teaselledge_fleet.relaying.handshake import (
    ACCEPTANCE,
    OFFER_BYTES,
    encode_offer,
)

__all__ = ["relay_accepted"]


async def relay_accepted(
    pool: RelayPool, connection: socket.socket, events: RelayEvents | None = None
) -> socket.socket:
    """Relay a connection to a router that accepts it; return that router's end."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setblocking(False)
        host, port = listening.getsockname()
        relaying = asyncio.create_task(
            pool.relay(connection, f"{host}:{port}", encode_offer(1), events)
        )
        router_end, _ = await loop.sock_accept(listening)
        router_end.setblocking(False)
        assert await loop.sock_recv(router_end, OFFER_BYTES) == encode_offer(1)
        await loop.sock_sendall(router_end, ACCEPTANCE)
        assert await relaying
    return router_end
