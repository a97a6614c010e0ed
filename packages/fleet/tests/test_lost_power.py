"""Routers of VMs that lost power must leave the directory.

A VM lost power while the operators changed the configuration every 0.4 s. For 7 s the
routers of other VMs went on naming it, and callers that connected there, filings among
them, got no answer until their deadlines passed.

Each router dropped it after 1.0 to 1.2 s of silence. To get the next version, routers
fetched the state of one another, in which each still listed it; 3 s after its last
message they took such a list as news of that moment. The log told so: `router
advertised` with `direct` false and `silent_seconds` 0.0, 2.9 s after the VM had gone,
on five of the six routers left, and again with each version.
"""

import asyncio

from teaselledge_standins.spreadfleet import GossipFleet, running_gossip_fleet
from teaselledge_standins.statestore import decode_empty_routing, make_store

VIRTUAL_CLOCK = True
SMALL, LARGE = 7, 40
"""Fleets in which every router hears every other, and in which few of them do."""

LONGEST_SECONDS = 4.0
"""Time within which a VM without power must have left every directory."""

CHANGE_SECONDS = 0.4
LOST = "r004"


async def change_until(fleet: GossipFleet, end: float) -> None:
    """Change the configuration in quick succession."""
    version = 1
    while asyncio.get_running_loop().time() < end:
        version += 1
        fleet.store.configure(b"%d" % version)
        await asyncio.sleep(CHANGE_SECONDS)


async def seconds_advertised(count: int, changes: bool) -> float:
    """Return for how long a VM is still advertised after it lost power."""
    async with running_gossip_fleet(
        make_store([]), count, decode_empty_routing
    ) as fleet:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(5)
        next(r for r in fleet.routers if r.vm == LOST).kill()
        lost = last = loop.time()
        end = lost + 12
        changing = asyncio.create_task(change_until(fleet, end if changes else lost))
        while loop.time() < end:
            await asyncio.sleep(0.05)
            living = [r for r in fleet.routers if not r.killed]
            if any(m.vm == LOST for r in living for m in r.members.ready):
                last = loop.time()
        await changing
    return last - lost


async def test_lost_vm_leaves_the_directory_of_a_small_fleet():
    seconds = await seconds_advertised(SMALL, changes=False)
    assert seconds < LONGEST_SECONDS, f"{seconds:.2f} s"


async def test_lost_vm_leaves_the_directory_while_the_configuration_changes():
    seconds = await seconds_advertised(SMALL, changes=True)
    assert seconds < LONGEST_SECONDS, f"{seconds:.2f} s"


async def test_lost_vm_leaves_the_directory_of_a_large_fleet():
    seconds = await seconds_advertised(LARGE, changes=False)
    assert seconds < LONGEST_SECONDS, f"{seconds:.2f} s"


async def test_lost_vm_leaves_a_large_directory_while_the_configuration_changes():
    seconds = await seconds_advertised(LARGE, changes=True)
    assert seconds < LONGEST_SECONDS, f"{seconds:.2f} s"
