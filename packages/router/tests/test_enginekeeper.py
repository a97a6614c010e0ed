"""Tests of the engine controller over loopback."""

import asyncio
from contextlib import asynccontextmanager

from teaselledge_standins.fleet import running_fleet


@asynccontextmanager
async def engines():
    async with running_fleet() as fleet:
        document = fleet.document()
        models = document["services"]["models"]
        models["models"] = {"big": {"version": "v2", "adapters": ["french"]}}
        for endpoint in models["endpoints"].values():
            endpoint["models"] = ["big"]
        fleet.document = lambda: document
        fleet.publish(2)
        yield fleet


async def until(condition, seconds=20.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.05)


async def test_engines_load_the_models_of_the_document_one_at_a_time(engines):
    """The document sets a model for two engines, and the weight store can serve one
    load at a time. The engines must not load it at the same time.
    """
    admins = [engine.admin for engine in engines.engines.values()]
    for admin in admins:
        admin.load_seconds = 2.0
    loading_counts = []

    def done():
        loading_counts.append(sum(admin.loading for admin in admins))
        return all(admin.models == ["big@v2+french"] for admin in admins)

    await until(done)
    assert max(loading_counts) == 1
    assert sorted(len(admin.orders) for admin in admins) == [1, 1]
