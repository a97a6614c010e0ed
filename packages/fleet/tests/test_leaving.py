"""Tests of the graceful shutdown."""

import asyncio

from teaselledge_fleet.process.leaving import ACCEPT_SECONDS, GracefulShutdown

VIRTUAL_CLOCK = True
GRACE = 8.0


class Front:
    """A listener with a number of running requests."""

    def __init__(self, running: int) -> None:
        self.running = running
        self.kept = True

    def disable_keep_alive(self) -> None:
        """Note that no connection is kept."""
        self.kept = False


class Serving:
    """What refuses new requests."""

    leaving = False


async def leave(running: int, ends_after: float | None) -> tuple[float, bool]:
    """Return how long leaving takes, and whether requests were cut."""
    front, serving = Front(running), Serving()
    leaving = GracefulShutdown(GRACE, front, serving)  # type: ignore[arg-type]
    loop = asyncio.get_running_loop()
    started = loop.time()
    leaving.start()
    assert not front.kept
    if ends_after is not None:
        loop.call_later(ends_after, setattr, front, "running", 0)
    await leaving.wait()
    return loop.time() - started, front.running > 0


async def test_running_requests_end_before_the_router():
    """A router is stopped while it streams an answer."""
    seconds, cut = await leave(3, 5.0)
    assert 5.0 <= seconds < 5.2
    assert not cut


async def test_it_ends_before_it_is_killed():
    seconds, cut = await leave(1, None)
    assert seconds < GRACE - 0.5
    assert cut


async def test_callers_with_old_addresses_still_find_it():
    """Callers keep an address for a while; a closed port would fail them."""
    seconds, _ = await leave(0, None)
    assert seconds > ACCEPT_SECONDS


async def test_requests_that_could_not_end_are_refused():
    front, serving = Front(1), Serving()
    leaving = GracefulShutdown(GRACE, front, serving)  # type: ignore[arg-type]
    leaving.start()
    task = asyncio.create_task(leaving.wait())
    await asyncio.sleep(ACCEPT_SECONDS - 0.1)
    assert not serving.leaving
    await asyncio.sleep(0.2)
    assert serving.leaving
    task.cancel()
