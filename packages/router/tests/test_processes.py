"""Tests of a fleet of separate processes."""

import asyncio
import json
import signal
import subprocess
import sys
from contextlib import asynccontextmanager

from teaselledge_standins.caller import Caller, is_complete_response
from teaselledge_standins.processes import ADMIN_KEY, FIRST_KEY, running_processes

POLLS = 10
"""Questions within which a version is in force: 6 s on an idle machine, where the
command takes 0.4 s. Beside 40 busy processes its start alone takes 4.4 s."""


async def teaselctl(fleet, key, *arguments):
    """Run the operators' command and return its exit code and output."""
    path = fleet.folder / "key"
    path.write_text(key)
    command = [sys.executable, "-m", "teaselctl.main", *arguments]
    command += [f"--router={fleet.operators['r1']}", f"--key_file={path}"]
    done = await asyncio.to_thread(
        subprocess.run, command, capture_output=True, text=True, check=False
    )
    return done.returncode, done.stdout + done.stderr


async def apply(fleet, document, base, key):
    path = fleet.folder / "document.yaml"
    path.write_text(json.dumps(document))
    code, text = await teaselctl(fleet, key, "apply", str(path), f"--base={base}")
    assert code == 0, text


@asynccontextmanager
async def processes():
    """Run two routers with a configuration in force."""
    async with running_processes() as fleet:
        await apply(fleet, fleet.document(), 0, FIRST_KEY)
        for name in fleet.callers:
            await fleet.until_ready(name)
        yield fleet


async def complete(fleet, router, name, tokens=10):
    caller = Caller("key-of-amber")
    reply = await caller.request_completion(
        fleet.callers[router], name, tokens, "amber"
    )
    return reply, is_complete_response(reply, name, tokens)


async def test_from_an_empty_fleet_to_a_changed_share(processes):
    """An operator applies a document to an empty fleet, and then another share.
    Callers of both routers are served throughout, and the version is in force.
    """
    for router in processes.callers:
        reply, whole = await complete(processes, router, f"first-{router}")
        assert whole, reply
    document = processes.document()
    document["organisations"]["amber"]["share"] = 5
    await apply(processes, document, 1, ADMIN_KEY)
    for _ in range(POLLS):
        code, text = await teaselctl(processes, ADMIN_KEY, "status", "--json")
        in_force = code == 0 and text.count('"version": 2') >= 2
        if in_force:
            break
        await asyncio.sleep(0.2)
    assert in_force, text
    reply, whole = await complete(processes, "r2", "second")
    assert whole, reply


async def test_killed_router_harms_no_caller_of_another(processes):
    """One router is killed. Callers of the other one may wait for a moment, while
    it takes the killed one's shards over; nobody gets an error or a wrong answer.
    """
    processes.signal("r1", signal.SIGKILL)
    for number in range(5):
        reply, whole = await complete(processes, "r2", f"after-{number}")
        assert whole, reply
    processes.start_router("r1")
    await processes.until_ready("r1")
    reply, whole = await complete(processes, "r1", "back")
    assert whole, reply


async def test_frozen_router_harms_no_caller_of_another(processes):
    """One router is frozen, as a VM is while it is moved. It holds its
    connections open, so others notice by its silence only.
    """
    processes.signal("r1", signal.SIGSTOP)
    for number in range(3):
        reply, whole = await complete(processes, "r2", f"frozen-{number}")
        assert whole, reply
    processes.signal("r1", signal.SIGCONT)
    reply, whole = await complete(processes, "r1", "thawed")
    assert whole, reply


async def test_order_survives_the_router_that_took_it(processes):
    """A router is killed while an order runs. Its caller asks another router
    under the same key and must not have it run a second time.
    """
    caller = Caller("key-of-amber")
    first = asyncio.create_task(
        caller.place_order(processes.callers["r1"], "k1", "amber")
    )
    await asyncio.sleep(0.005)
    processes.signal("r1", signal.SIGKILL)
    await first
    replies = [await caller.place_order(processes.callers["r2"], "k1", "amber")]
    replies.append(await caller.place_order(processes.callers["r2"], "k1", "amber"))
    counted = await caller.call(processes.plain, "GET", "/runs")
    assert counted.body.decode().split().count("k1") <= 1, replies
    if replies[-1].status == 200:
        assert counted.body.decode().split().count("k1") == 1


async def test_terminated_router_finishes_its_stream(processes):
    """A router gets SIGTERM in the middle of a stream. The caller still gets the
    whole answer, and the process ends by itself with code 0.
    """
    stream = asyncio.create_task(complete(processes, "r1", "long", 300))
    await asyncio.sleep(0.5)
    processes.signal("r1", signal.SIGTERM)
    reply, whole = await stream
    assert whole, reply
    assert await processes.exit_code("r1") == 0
