"""Tests of the pool of connections to endpoints."""

import asyncio
from contextlib import asynccontextmanager

from teaselledge_fleet.connection.pool import ConnectionPool, PoolLimits
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from teaselledge_standins.scripted import ScriptedEndpoint, response_bytes
from tornado.httputil import HTTPHeaders


async def respond(request, writer):
    """Respond immediately."""
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(response_bytes(200, headers, b"fine"))


@asynccontextmanager
async def endpoint():
    """Yield an endpoint that answers each request."""
    async with ScriptedEndpoint(respond) as running:
        yield running


async def send(pool: ConnectionPool, address: str, at_most_once: bool = False):
    connection = (await pool.acquire(address, at_most_once)).ok
    codec = DefaultHeaderCodec()
    request = codec.decode_request("GET", "/r/1", HTTPHeaders({"Host": "h"}))
    exchange = connection.send_request(
        request, codec, [("Host", "h"), ("X-Request-Id", request.id)], b""
    )
    head = await exchange.head()
    assert head.is_ok()
    async for _ in exchange.body():
        pass
    await asyncio.sleep(0.01)


async def test_connections_are_reused(endpoint):
    pool = ConnectionPool()
    for _ in range(5):
        await send(pool, endpoint.address)
    assert endpoint.connections == pool.opened == 1


async def test_at_most_once_request_gets_a_fresh_connection(endpoint):
    """An endpoint closes idle connections early and without notice.

    The next request on one is reset, and an order could not be retried.
    """
    pool = ConnectionPool(PoolLimits(at_most_once_idle_seconds=0.05))
    await send(pool, endpoint.address)
    await asyncio.sleep(0.1)
    await send(pool, endpoint.address, at_most_once=True)
    assert endpoint.connections == 2


async def test_open_connections_stay_within_the_limit(endpoint):
    """An endpoint resets connections beyond a limit for all routers together."""
    pool = ConnectionPool()
    pool.set_connection_limits({endpoint.address: 2})
    await asyncio.gather(*(send(pool, endpoint.address) for _ in range(6)))
    pool.set_connection_limits({endpoint.address: 2})
    assert pool.count(endpoint.address) == 2


async def test_connections_to_a_removed_address_are_closed(endpoint):
    """Another endpoint may start at the address of one that is gone."""
    pool = ConnectionPool()
    pool.set_connection_limits({endpoint.address: 2})
    await send(pool, endpoint.address)
    pool.set_connection_limits({})
    assert pool.count(endpoint.address) == 0
