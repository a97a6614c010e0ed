"""Tests of the graceful shutdown."""

import asyncio

from teaselledge_fleet.process.leaving import ACCEPT_SECONDS, GracefulShutdown

VIRTUAL_CLOCK = True
GRACE_SECONDS = 8.0


class FakeFrontServer:
    """A listener with a number of running requests."""

    def __init__(self, running: int) -> None:
        self.running = running
        self.keep_alive = True

    def disable_keep_alive(self) -> None:
        """Record that keep-alive is disabled."""
        self.keep_alive = False


class FakeRequestProxy:
    """A request proxy that can refuse new requests."""

    leaving = False


async def shut_down(
    running: int, requests_end_after: float | None
) -> tuple[float, bool]:
    """Return the duration of a shutdown, and whether requests were cut."""
    front, proxy = FakeFrontServer(running), FakeRequestProxy()
    shutdown = GracefulShutdown(GRACE_SECONDS, front, proxy)  # type: ignore[arg-type]
    loop = asyncio.get_running_loop()
    started = loop.time()
    shutdown.start()
    assert not front.keep_alive
    if requests_end_after is not None:
        loop.call_later(requests_end_after, setattr, front, "running", 0)
    await shutdown.wait()
    return loop.time() - started, front.running > 0


async def test_running_requests_end_before_the_router_exits():
    """A router is stopped while it streams a response."""
    seconds, cut = await shut_down(3, 5.0)
    assert 5.0 <= seconds < 5.2
    assert not cut


async def test_shutdown_ends_before_the_process_is_killed():
    seconds, cut = await shut_down(1, None)
    assert seconds < GRACE_SECONDS - 0.5
    assert cut


async def test_callers_with_cached_addresses_can_still_connect():
    """Callers cache an address for a while; with a closed port they would fail."""
    seconds, _ = await shut_down(0, None)
    assert seconds > ACCEPT_SECONDS


async def test_requests_that_could_not_end_in_time_are_refused():
    front, proxy = FakeFrontServer(1), FakeRequestProxy()
    shutdown = GracefulShutdown(GRACE_SECONDS, front, proxy)  # type: ignore[arg-type]
    shutdown.start()
    task = asyncio.create_task(shutdown.wait())
    await asyncio.sleep(ACCEPT_SECONDS - 0.1)
    assert not proxy.leaving
    await asyncio.sleep(0.2)
    assert proxy.leaving
    task.cancel()
