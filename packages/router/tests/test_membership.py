"""Tests of the routers' views of each other under faults."""

import asyncio
from contextlib import asynccontextmanager
from itertools import pairwise

from teaselledge.process.endpointstatus import EndpointStatus
from teaselledge_standins.virtual.members import running_members

VIRTUAL_CLOCK = True

NO_NEW_WORK_SECONDS = 3.0


@asynccontextmanager
async def eight():
    async with running_members(8) as fleet:
        yield fleet


@asynccontextmanager
async def many():
    async with running_members(24, zones=6, regions=3) as fleet:
        yield fleet


async def until(condition, seconds):
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.05)
    return loop.time() - started


async def test_own_word_of_leaving_reaches_everyone(many):
    many.members["vm-007"].announce_leaving()
    await until(lambda: many.count_not_leaving("vm-007") == 0, NO_NEW_WORK_SECONDS)


async def test_list_says_leaving_and_one_reader_tells_all(many):
    """The platform announces in its lagging list that a VM goes. Each router reads
    the list rarely; the first one to see it must tell the others.
    """
    many.vms.mark_leaving("vm-007")
    await asyncio.sleep(2.0)  # the list's own lag
    await until(lambda: many.count_not_leaving("vm-007") == 0, NO_NEW_WORK_SECONDS)
    # the router itself has learnt that it leaves
    assert many.members["vm-007"].own.leaving


async def test_list_is_read_all_the_time_after_a_common_start():
    """All routers start together, as after the failure of a zone. If they read the
    list in step, an announcement would wait for the next common read: 37 s with
    370 routers.
    """
    async with running_members(120, zones=6, regions=3, acquainted=True) as fleet:
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


async def test_killed_router_is_dead_everywhere(many):
    """A VM is lost without a word and the list still shows it. Until its silence
    is noticed, callers are sent to it.
    """
    many.kill("vm-007")
    await until(lambda: many.count_aware("vm-007") == 0, 9.0)


async def test_whole_zone_is_lost(many):
    """A zone fails at once, and with it most watchers of its routers; the others
    must not keep a zone of dead routers in their views.
    """
    lost = [vm for vm, m in many.members.items() if m.own.zone == "z1"]
    for vm in lost:
        many.kill(vm)
    await until(lambda: all(many.count_aware(vm) == 0 for vm in lost), 30.0)


async def test_restart_empty_under_the_old_name(eight):
    """A process restarts empty while the others still remember its predecessor,
    whose leaving was announced. The successor must be known as staying.
    """
    eight.members["vm-003"].announce_leaving()
    await asyncio.sleep(1.0)
    eight.kill("vm-003")
    eight.start("vm-003", "z0")
    await until(lambda: eight.count_not_leaving("vm-003") == 7, 4.0)
    await asyncio.sleep(20.0)
    assert eight.count_not_leaving("vm-003") == 7
    assert len(eight.members["vm-003"].live()) == 8


async def test_two_processes_with_one_name(eight):
    """An operator starts a second process under a VM's name, at another address.
    The newer one is used; the older one says so and takes no new work.
    """
    older, older_task = eight.members["vm-003"], eight.tasks["vm-003"]
    mesh = eight.network.meshes["vm-003"]
    newer = eight.start("vm-003", "z0", listed=False, address="elsewhere:1")
    for _ in range(40):
        # both are on the network; frames to the name reach them in turn
        current = eight.network.meshes["vm-003"]
        eight.network.meshes["vm-003"], mesh = mesh, current
        await asyncio.sleep(0.35)
    older_task.cancel()
    assert older.superseded and older.own.leaving
    assert not newer.superseded
    seen = eight.members["vm-000"].live()
    found = [member for member in seen if member.vm == "vm-003"]
    assert [member.peer_address for member in found] == ["elsewhere:1"]


async def test_split_heals(eight):
    """Two sides are cut off from each other for a minute; each goes on alone, and
    after the split both know all again without anyone restarting.
    """
    side = {"vm-000", "vm-001", "vm-002"}
    eight.network.cut(side, set(eight.members) - side)
    await until(lambda: len(eight.members["vm-000"].live()) == 3, 12.0)
    await asyncio.sleep(60.0)
    assert len(eight.members["vm-005"].live()) == 5
    eight.network.heal()
    await eight.wait_until_converged(20.0)


async def test_one_way_loss_keeps_a_router_live_but_not_usable(eight):
    """Frames from one router to another are lost, the way back works. It would
    send its waiting requests to a dispatcher whose grants never arrive.
    """
    eight.network.cut({"vm-001"}, {"vm-002"}, both_ways=False)
    await asyncio.sleep(20.0)
    for one, other in (("vm-001", "vm-002"), ("vm-002", "vm-001")):
        view = eight.members[one]
        assert other in {member.vm for member in view.live()}
        assert other not in {member.vm for member in view.reachable_members()}
    assert all(len(member.live()) == 8 for member in eight.members.values())
    eight.network.heal()
    await asyncio.sleep(5.0)
    assert all(
        len(member.reachable_members()) == 8 for member in eight.members.values()
    )


async def test_paused_router_does_not_bury_the_others(eight):
    """A router is paused for half a minute. When it goes on, everyone seems to
    have been silent; it must not tell the fleet that all are dead.
    """
    paused = eight.tasks["vm-004"]
    paused.cancel()
    eight.network.pause("vm-004")
    await asyncio.sleep(30.0)
    eight.network.resume("vm-004")
    eight.tasks["vm-004"] = asyncio.create_task(eight.members["vm-004"].run())
    for _ in range(20):
        await asyncio.sleep(0.5)
        assert all(
            len(m.live()) >= 7 for vm, m in eight.members.items() if vm != "vm-004"
        )
    await eight.wait_until_converged(10.0)


async def test_lost_frames_bury_nobody(eight):
    """A tenth of all frames is lost for two minutes."""
    eight.network.loss = 0.1
    for _ in range(120):
        await asyncio.sleep(1.0)
        assert all(len(m.live()) == 8 for m in eight.members.values())


async def test_list_out_of_reach_changes_nothing(eight):
    """The platform's list is down for two minutes."""
    eight.vms.faults.down = True
    await asyncio.sleep(120.0)
    assert all(len(m.live()) == 8 for m in eight.members.values())
    assert not eight.members["vm-000"].list_reachable


async def test_refused_endpoint_is_known_everywhere_and_forgotten(many):
    """One router finds that an endpoint refuses connections; all others stop
    giving it work, and try again when nobody repeats the word.
    """
    calls = []
    many.members["vm-020"].on_change(lambda: calls.append(1))
    many.members["vm-001"].report_endpoint("models", "e1", EndpointStatus.REFUSED)

    def blocked():
        return sum(
            ("models", "e1") in m.blocked_endpoints() for m in many.members.values()
        )

    await until(lambda: blocked() == 24, NO_NEW_WORK_SECONDS)
    assert calls
    await asyncio.sleep(6.0)
    assert blocked() == 0


async def test_endpoint_that_leaves_by_its_own_word_stays_away(many):
    many.members["vm-001"].report_endpoint("models", "e1", EndpointStatus.LEAVING)
    await asyncio.sleep(1.0)
    many.members["vm-002"].report_endpoint("models", "e1", EndpointStatus.BACK)
    await asyncio.sleep(60.0)
    views = [m.blocked_endpoints() for m in many.members.values()]
    assert all(view == {("models", "e1"): EndpointStatus.LEAVING} for view in views)
