"""Another writer leaves an entry that can't be read among those of the engines.

Two routers serve orders. A row of 5,000 bytes with an unfinished list of lists appears
under servers/, and is removed 3 s later. Then a new version of the configuration moves
the orders to another service. Orders that are sent later than config_apply_ms after the
store has taken that version, and after the row is gone, must run at the new service.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import (  # noqa: E402
    CannotRun,
    Connection,
    Engine,
    Router,
    World,
    answer_plainly,
    configuration,
    main,
    new_id,
    plain_route,
)

CONFIG_APPLY_SECONDS = 2.5
CONTACT_SECONDS = 4.0
UNREADABLE = b'{"models":' + b"[" * 5000
ORDERS = 20


async def order(world, router):
    """Send an order; return its id and the status of its answer."""
    request_id = new_id()
    world.record.write("sent", id=request_id, router=router.name)
    connection = await Connection.open(router.front)
    try:
        connection.send("POST", "/order/1", request_id, 2000, body=b"x" * 600)
        status, _, _ = await asyncio.wait_for(connection.answer(), 3)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        status = type(error).__name__
    connection.close()
    world.record.write("answered", id=request_id, status=status)
    return request_id, status


async def run(world):
    services = ["desk-old", "desk-new"]
    engines = {}
    for service in services:
        for _ in range(2):
            engine = Engine(world, world.host(9), service, "zone-a", answer_plainly)
            engines[engine.name] = engine
            await engine.start()
    old = [plain_route("order", "desk-old", "unsafe", 2000)]
    world.put_configuration(configuration(old, services, version=7))
    routers = [Router(world, f"router-{n}", "zone-a", world.host(n)) for n in (2, 3)]
    for router in routers:
        router.choose_ports()
    seeds = [f"{r.host}:{r.ports['control']}" for r in routers]
    for router in routers:
        router.write_settings(seeds)
        await router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(3)
    for router in routers:
        _, status = await order(world, router)
        if status != 200:
            raise CannotRun(f"no order is served before the disruption: {status}")
    if world.trouble:
        world.record.say("an unreadable entry is written")
        world.store.put("servers", "of-another-writer", UNREADABLE)
    await asyncio.sleep(3)
    world.store.drop("servers", "of-another-writer")
    world.record.say("no unreadable entry is left")
    await asyncio.sleep(CONTACT_SECONDS)
    new = [plain_route("order", "desk-new", "unsafe", 2000)]
    world.put_configuration(configuration(new, services, version=9))
    world.record.say("version 9 acknowledged: orders go to desk-new")
    await asyncio.sleep(2 * CONFIG_APPLY_SECONDS)
    stale = 0
    for number in range(ORDERS):
        request_id, _ = await order(world, routers[number % len(routers)])
        ran_at = [name for run_id, name, _ in world.runs if run_id == request_id]
        stale += any(engines[name].service == "desk-old" for name in ran_at)
    world.record.say(
        f"orders sent {2 * CONFIG_APPLY_SECONDS:.0f} s after version 9 and later: "
        f"{ORDERS}, run by the old service: {stale}"
    )
    # the store still serves everybody, the routers just don't ask any more
    calls = world.store.calls
    started = time.monotonic()
    await asyncio.sleep(5)
    world.record.say(
        f"calls to the store in {time.monotonic() - started:.0f} s: "
        f"{world.store.calls - calls}"
    )
    return stale > 0


main(FOLDER / "record.txt", run)
