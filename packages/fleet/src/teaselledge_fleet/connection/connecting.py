"""Connect sockets within a time limit that a late event loop does not use up."""

import asyncio
import socket

__all__ = ["connect"]


async def connect(connection: socket.socket, address: str, seconds: float) -> None:
    """Connect a non-blocking socket.

    A connection that is established when its timeout is noticed counts as made: a late
    event loop finds both at once, and would take its own delay for that of the peer.

    Parameters
    ----------
    connection : socket
        The socket; it is closed if this fails.
    address : str
        The peer's ``host:port``.
    seconds : float
        Timeout.

    Raises
    ------
    TimeoutError
        The peer did not accept in time.
    OSError
        It refused, or can't be reached.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            await loop.sock_connect(connection, (host, int(port)))
    except TimeoutError:
        if not _is_connected(connection):
            connection.close()
            raise
    except BaseException:
        connection.close()
        raise


def _is_connected(connection: socket.socket) -> bool:
    try:
        connection.getpeername()
    except OSError:
        return False
    return True
