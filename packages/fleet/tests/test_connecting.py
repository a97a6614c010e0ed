"""Tests of connecting under a late event loop."""

import asyncio
import socket
from contextlib import contextmanager

from teaselledge_fleet.connection.connecting import connect

TIMEOUT_SECONDS = 0.05


@contextmanager
def listening():
    """Yield a listening socket."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


def address_of(server: socket.socket) -> str:
    host, port = server.getsockname()
    return f"{host}:{port}"


def unconnected() -> socket.socket:
    connection = socket.socket()
    connection.setblocking(False)
    return connection


async def test_an_established_connection_counts_though_its_timeout_is_due(listening):
    """A late event loop notices both at once, and took the peer for unreachable."""

    async def establish(connection: socket.socket, address: tuple[str, int]) -> None:
        connection.connect_ex(address)
        await asyncio.Event().wait()

    asyncio.get_running_loop().sock_connect = establish
    with unconnected() as connection:
        await connect(connection, address_of(listening), TIMEOUT_SECONDS)
        assert connection.getpeername() == listening.getsockname()


async def test_a_peer_that_does_not_accept_in_time_is_given_up(listening):
    async def wait(connection: socket.socket, address: tuple[str, int]) -> None:
        await asyncio.Event().wait()

    asyncio.get_running_loop().sock_connect = wait
    connection = unconnected()
    try:
        await connect(connection, address_of(listening), TIMEOUT_SECONDS)
    except TimeoutError:
        assert connection.fileno() == -1
        return
    raise AssertionError("connected")


async def test_a_refused_connection_fails_at_once(listening):
    address = address_of(listening)
    listening.close()
    connection = unconnected()
    try:
        await connect(connection, address, TIMEOUT_SECONDS)
    except ConnectionRefusedError:
        assert connection.fileno() == -1
        return
    raise AssertionError("connected")
