"""Tests of a fleet of separate processes."""

import asyncio
import json
import signal
import subprocess
import sys
from contextlib import asynccontextmanager

from teaselledge_standins.caller import Caller, is_complete_response
from teaselledge_standins.processes import ADMIN_KEY, FIRST_KEY, running_processes

MAX_STATUS_QUERIES = 10
"""Status queries within which a version must be in force.

This is 6 s on an idle machine, where the command takes 0.4 s. Beside 40 busy
processes the start of the command alone takes 4.4 s.
"""


async def teaselctl(fleet, key, *arguments):
    """Run ``teaselctl`` and return its exit code and output."""
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


async def test_first_document_and_a_changed_share_on_an_empty_fleet(processes):
    """An operator applies a document to an empty fleet, and then changes a share.
    Callers of both routers must be served, and the new version must be in force.
    """
    for router in processes.callers:
        reply, is_complete = await complete(processes, router, f"first-{router}")
        assert is_complete, reply
    document = processes.document()
    document["organisations"]["amber"]["share"] = 5
    await apply(processes, document, 1, ADMIN_KEY)
    for _ in range(MAX_STATUS_QUERIES):
        code, text = await teaselctl(processes, ADMIN_KEY, "status", "--json")
        in_force = code == 0 and text.count('"version": 2') >= 2
        if in_force:
            break
        await asyncio.sleep(0.2)
    assert in_force, text
    reply, is_complete = await complete(processes, "r2", "second")
    assert is_complete, reply


async def test_killed_router_affects_no_caller_of_another(processes):
    """One router is killed. Callers of the other may wait while it takes over the
    shards of the killed one; none may get an error or a wrong response.
    """
    processes.signal("r1", signal.SIGKILL)
    for number in range(5):
        reply, is_complete = await complete(processes, "r2", f"after-{number}")
        assert is_complete, reply
    processes.start_router("r1")
    await processes.until_ready("r1")
    reply, is_complete = await complete(processes, "r1", "back")
    assert is_complete, reply


async def test_paused_router_affects_no_caller_of_another(processes):
    """One router is paused, as a VM is during a migration. Its connections stay
    open, so that the others can only detect the missing heartbeats.
    """
    processes.signal("r1", signal.SIGSTOP)
    for number in range(3):
        reply, is_complete = await complete(processes, "r2", f"frozen-{number}")
        assert is_complete, reply
    processes.signal("r1", signal.SIGCONT)
    reply, is_complete = await complete(processes, "r1", "thawed")
    assert is_complete, reply


async def test_order_of_a_killed_router_does_not_run_twice(processes):
    """A router is killed while an order runs. Its caller retries at another router
    with the same key, which must not run the order a second time.
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
    """A router receives SIGTERM during a stream. The caller must get the complete
    response, and the process must exit with code 0.
    """
    stream = asyncio.create_task(complete(processes, "r1", "long", 300))
    await asyncio.sleep(0.5)
    processes.signal("r1", signal.SIGTERM)
    reply, is_complete = await stream
    assert is_complete, reply
    assert await processes.exit_code("r1") == 0
