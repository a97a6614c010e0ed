"""Tests of reusing connections to endpoints."""

import asyncio
from contextlib import asynccontextmanager

from teaselledge_fleet.connection.pool import ConnectionPool, PoolLimits
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from teaselledge_standins.scripted import ScriptedEndpoint, answer_bytes
from tornado.httputil import HTTPHeaders


async def answers(request, writer):
    """Answer at once."""
    headers = {"X-Request-Id": request.headers["x-request-id"]}
    writer.write(answer_bytes(200, headers, b"fine"))


@asynccontextmanager
async def endpoint():
    """Give an endpoint that answers everything."""
    async with ScriptedEndpoint(answers) as running:
        yield running


async def send(pool: ConnectionPool, address: str, once: bool = False):
    connection = (await pool.acquire(address, once)).ok
    dialect = DefaultHeaderCodec()
    call = dialect.decode_request("GET", "/r/1", HTTPHeaders({"Host": "h"}))
    exchange = connection.send_request(
        call, dialect, [("Host", "h"), ("X-Request-Id", call.id)], b""
    )
    head = await exchange.head()
    assert head.is_ok()
    async for _ in exchange.body():
        pass
    await asyncio.sleep(0.01)


async def test_connections_are_used_again(endpoint):
    pool = ConnectionPool()
    for _ in range(5):
        await send(pool, endpoint.address)
    assert endpoint.connections == pool.opened == 1


async def test_a_request_that_runs_once_gets_a_fresh_connection(endpoint):
    """An endpoint drops idle connections early and without notice.

    What is sent next on one is reset; an order could not be sent again.
    """
    pool = ConnectionPool(PoolLimits(at_most_once_idle_seconds=0.05))
    await send(pool, endpoint.address)
    await asyncio.sleep(0.1)
    await send(pool, endpoint.address, once=True)
    assert endpoint.connections == 2


async def test_idle_connections_stay_below_the_part_of_this_router(endpoint):
    """An endpoint resets connections beyond a number for all routers together."""
    pool = ConnectionPool()
    pool.set_connection_limits({endpoint.address: 2})
    await asyncio.gather(*(send(pool, endpoint.address) for _ in range(6)))
    pool.set_connection_limits({endpoint.address: 2})
    assert pool.count(endpoint.address) == 2


async def test_connections_to_a_left_address_are_closed(endpoint):
    """Another endpoint may take over the address of one that is gone."""
    pool = ConnectionPool()
    pool.set_connection_limits({endpoint.address: 2})
    await send(pool, endpoint.address)
    pool.set_connection_limits({})
    assert pool.count(endpoint.address) == 0
