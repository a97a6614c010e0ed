"""Tests of the routers' views of each other under faults."""

import asyncio
from contextlib import asynccontextmanager
from itertools import pairwise

from teaselledge.process.endpointstatus import EndpointStatus
from teaselledge_standins.virtual.members import running_members

VIRTUAL_CLOCK = True

NO_NEW_WORK_SECONDS = 3.0


@asynccontextmanager
async def fleet_of_8():
    async with running_members(8) as fleet:
        yield fleet


@asynccontextmanager
async def fleet_of_24():
    async with running_members(24, zones=6, regions=3) as fleet:
        yield fleet


async def until(condition, seconds):
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.05)
    return loop.time() - started


async def test_announcement_of_leaving_reaches_all_routers(fleet_of_24):
    fleet_of_24.members["vm-007"].announce_leaving()
    await until(
        lambda: fleet_of_24.count_not_leaving("vm-007") == 0, NO_NEW_WORK_SECONDS
    )


async def test_leaving_mark_in_the_list_is_reported_to_all(fleet_of_24):
    """The platform's list, which lags, marks a VM as leaving. Each router reads the
    list rarely; the first that reads the mark must report it to the others.
    """
    fleet_of_24.vms.mark_leaving("vm-007")
    await asyncio.sleep(2.0)  # the list's own lag
    await until(
        lambda: fleet_of_24.count_not_leaving("vm-007") == 0, NO_NEW_WORK_SECONDS
    )
    # the router itself knows that it leaves
    assert fleet_of_24.members["vm-007"].own.leaving


async def test_list_reads_are_spread_after_a_common_start():
    """All routers start together, as after the failure of a zone. If they read the
    list in step, a leaving mark would wait for the next common read: 37 s with
    370 routers.
    """
    async with running_members(120, zones=6, regions=3, prefilled=True) as fleet:
        await asyncio.sleep(6.0)
        reads = []
        listing = fleet.vms.list

        async def count():
            reads.append(asyncio.get_running_loop().time())
            return await listing()

        fleet.vms.list = count
        started = asyncio.get_running_loop().time()
        await asyncio.sleep(20.0)
        times = [started, *reads, started + 20.0]
        gaps = [b - a for a, b in pairwise(times)]
        assert max(gaps) < 2.5
        assert 40 < len(reads) < 140


async def test_killed_router_is_dead_everywhere(fleet_of_24):
    """A VM fails without announcing it, and the list still shows it. Callers are
    sent there until the missing heartbeats are detected.
    """
    fleet_of_24.kill("vm-007")
    await until(lambda: fleet_of_24.count_aware("vm-007") == 0, 9.0)


async def test_failure_of_a_whole_zone(fleet_of_24):
    """A zone fails, and with it most routers that monitor its routers. The others
    must not retain the zone's dead routers as live.
    """
    failed = [vm for vm, m in fleet_of_24.members.items() if m.own.zone == "z1"]
    for vm in failed:
        fleet_of_24.kill(vm)
    await until(lambda: all(fleet_of_24.count_aware(vm) == 0 for vm in failed), 30.0)


async def test_restart_under_the_old_name(fleet_of_8):
    """A process restarts while the others still have the record of its predecessor,
    which was leaving. The successor must not be taken for leaving.
    """
    fleet_of_8.members["vm-003"].announce_leaving()
    await asyncio.sleep(1.0)
    fleet_of_8.kill("vm-003")
    fleet_of_8.start("vm-003", "z0")
    await until(lambda: fleet_of_8.count_not_leaving("vm-003") == 7, 4.0)
    await asyncio.sleep(20.0)
    assert fleet_of_8.count_not_leaving("vm-003") == 7
    assert len(fleet_of_8.members["vm-003"].live()) == 8


async def test_two_processes_with_one_name(fleet_of_8):
    """An operator starts a second process under a VM's name, at another address.
    The newer one is used; the older one marks itself superseded and leaving.
    """
    older, older_task = fleet_of_8.members["vm-003"], fleet_of_8.tasks["vm-003"]
    mesh = fleet_of_8.network.meshes["vm-003"]
    newer = fleet_of_8.start("vm-003", "z0", listed=False, address="elsewhere:1")
    for _ in range(40):
        # both are on the network; frames to the name reach them in turn
        current = fleet_of_8.network.meshes["vm-003"]
        fleet_of_8.network.meshes["vm-003"], mesh = mesh, current
        await asyncio.sleep(0.35)
    older_task.cancel()
    assert older.superseded and older.own.leaving
    assert not newer.superseded
    seen = fleet_of_8.members["vm-000"].live()
    found = [member for member in seen if member.vm == "vm-003"]
    assert [member.peer_address for member in found] == ["elsewhere:1"]


async def test_split_heals(fleet_of_8):
    """A network split lasts a minute. Each side continues alone, and afterwards
    both sides know all routers again without a restart.
    """
    side = {"vm-000", "vm-001", "vm-002"}
    fleet_of_8.network.cut(side, set(fleet_of_8.members) - side)
    await until(lambda: len(fleet_of_8.members["vm-000"].live()) == 3, 12.0)
    await asyncio.sleep(60.0)
    assert len(fleet_of_8.members["vm-005"].live()) == 5
    fleet_of_8.network.heal()
    await fleet_of_8.wait_until_converged(20.0)


async def test_one_way_loss_keeps_a_router_live_but_not_reachable(fleet_of_8):
    """Frames are lost in one direction between two routers. A router would register
    requests with a dispatcher whose grants never arrive.
    """
    fleet_of_8.network.cut({"vm-001"}, {"vm-002"}, both_ways=False)
    await asyncio.sleep(20.0)
    for first, second in (("vm-001", "vm-002"), ("vm-002", "vm-001")):
        view = fleet_of_8.members[first]
        assert second in {member.vm for member in view.live()}
        assert second not in {member.vm for member in view.reachable_members()}
    assert all(len(member.live()) == 8 for member in fleet_of_8.members.values())
    fleet_of_8.network.heal()
    await asyncio.sleep(5.0)
    assert all(
        len(member.reachable_members()) == 8 for member in fleet_of_8.members.values()
    )


async def test_paused_router_does_not_report_the_others_dead(fleet_of_8):
    """A router is paused for half a minute. When it resumes, it has received no
    heartbeats for that time; it must not report all others as dead.
    """
    paused = fleet_of_8.tasks["vm-004"]
    paused.cancel()
    fleet_of_8.network.pause("vm-004")
    await asyncio.sleep(30.0)
    fleet_of_8.network.resume("vm-004")
    fleet_of_8.tasks["vm-004"] = asyncio.create_task(fleet_of_8.members["vm-004"].run())
    for _ in range(20):
        await asyncio.sleep(0.5)
        assert all(
            len(m.live()) >= 7 for vm, m in fleet_of_8.members.items() if vm != "vm-004"
        )
    await fleet_of_8.wait_until_converged(10.0)


async def test_lost_frames_make_no_router_dead(fleet_of_8):
    """A tenth of all frames is lost for two minutes."""
    fleet_of_8.network.loss = 0.1
    for _ in range(120):
        await asyncio.sleep(1.0)
        assert all(len(m.live()) == 8 for m in fleet_of_8.members.values())


async def test_list_out_of_reach_changes_nothing(fleet_of_8):
    """The platform's list is down for two minutes."""
    fleet_of_8.vms.faults.down = True
    await asyncio.sleep(120.0)
    assert all(len(m.live()) == 8 for m in fleet_of_8.members.values())
    assert not fleet_of_8.members["vm-000"].list_reachable


async def test_refused_endpoint_is_reported_to_all_and_expires(fleet_of_24):
    """One router finds that an endpoint refuses connections; all others send it no
    work, and try again when the notice expires without being repeated.
    """
    calls = []
    fleet_of_24.members["vm-020"].on_change(lambda: calls.append(1))
    fleet_of_24.members["vm-001"].report_endpoint(
        "models", "e1", EndpointStatus.REFUSED
    )

    def blocked():
        return sum(
            ("models", "e1") in m.blocked_endpoints()
            for m in fleet_of_24.members.values()
        )

    await until(lambda: blocked() == 24, NO_NEW_WORK_SECONDS)
    assert calls
    await asyncio.sleep(6.0)
    assert blocked() == 0


async def test_endpoint_that_announced_leaving_stays_blocked(fleet_of_24):
    fleet_of_24.members["vm-001"].report_endpoint(
        "models", "e1", EndpointStatus.LEAVING
    )
    await asyncio.sleep(1.0)
    fleet_of_24.members["vm-002"].report_endpoint("models", "e1", EndpointStatus.BACK)
    await asyncio.sleep(60.0)
    views = [m.blocked_endpoints() for m in fleet_of_24.members.values()]
    assert all(view == {("models", "e1"): EndpointStatus.LEAVING} for view in views)
