"""Tests of which connections a crowded router passes on, and where to."""

import asyncio
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, replace

from teaselledge_fleet.process.busyness import HIGH_UTILISATION
from teaselledge_fleet.process.members import Member, Members, MemberState
from teaselledge_fleet.process.offloading import (
    CANDIDATE_TTL_SECONDS,
    FULL_OFFLOAD_UTILISATION,
    ConnectionOffloader,
)

VIRTUAL_CLOCK = True
TRIES = 1000


@dataclass(frozen=True)
class Used:
    """A load."""

    utilisation: float


def router(vm: str, zone: str = "z", **changes) -> Member:
    member = Member(vm, 1, zone, "g", f"{vm}:80", f"{vm}:81", MemberState.READY)
    return replace(member, relay_port=82, **changes)


@contextmanager
def members():
    yield Members(router("r1"))


def choices(offloading: ConnectionOffloader, busy: float) -> Counter:
    return Counter(offloading.choose(Used(busy)) for _ in range(TRIES))


async def test_more_connections_are_passed_on_the_busier_a_router_is(members):
    members.update_from_heartbeat(router("r2"))
    offloading = ConnectionOffloader(members)
    assert choices(offloading, HIGH_UTILISATION) == {None: TRIES}
    half = choices(offloading, (HIGH_UTILISATION + FULL_OFFLOAD_UTILISATION) / 2)
    assert 0.4 * TRIES < half["r2:82"] < 0.6 * TRIES
    assert choices(offloading, FULL_OFFLOAD_UTILISATION) == {"r2:82": TRIES}


async def test_routers_with_more_room_take_more(members):
    members.update_from_heartbeat(router("large", cores=2.0))
    members.update_from_heartbeat(router("small", cores=0.5))
    found = choices(ConnectionOffloader(members), 1.0)
    assert found["large:82"] > 3 * found["small:82"]


async def test_only_routers_of_the_zone_with_time_take_connections_over(members):
    members.update_from_heartbeat(router("elsewhere", zone="y"))
    members.update_from_heartbeat(router("crowded", utilisation=HIGH_UTILISATION))
    members.update_from_heartbeat(replace(router("older"), relay_port=0))
    members.update_from_heartbeat(replace(router("leaving"), state=MemberState.LEAVING))
    assert choices(ConnectionOffloader(members), 1.0) == {None: TRIES}


async def test_router_that_hears_nobody_goes_on_with_those_it_knew(members):
    """A flooded router reads the pulses of its neighbours seconds late.

    All of them look silent, and it would refuse everything while they have time.
    """
    members.update_from_heartbeat(router("r2"))
    offloading = ConnectionOffloader(members)
    assert offloading.choose(Used(1.0)) == "r2:82"
    await asyncio.sleep(CANDIDATE_TTL_SECONDS / 2)
    assert members.ready == [members.own]
    assert offloading.choose(Used(1.0)) == "r2:82"
    await asyncio.sleep(CANDIDATE_TTL_SECONDS)
    assert offloading.choose(Used(1.0)) is None
