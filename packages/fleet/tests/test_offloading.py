"""Tests of which connections a router offloads, and to which routers."""

import asyncio
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, replace

from teaselledge_fleet.process.busyness import HIGH_UTILISATION
from teaselledge_fleet.process.members import Member, Members, MemberState
from teaselledge_fleet.process.offloading import (
    CANDIDATE_TTL_SECONDS,
    FULL_OFFLOAD_UTILISATION,
    MAX_CANDIDATE_UTILISATION,
    ConnectionOffloader,
)

VIRTUAL_CLOCK = True
TRIALS = 1000


@dataclass(frozen=True)
class FixedUtilisation:
    """A source with a fixed utilisation."""

    peak_utilisation: float


def router(vm: str, zone: str = "z", **changes) -> Member:
    member = Member(vm, 1, zone, "g", f"{vm}:80", f"{vm}:81", MemberState.READY)
    return replace(member, relay_port=82, **changes)


@contextmanager
def members():
    yield Members(router("r1"))


def count_choices(offloading: ConnectionOffloader, utilisation: float) -> Counter:
    return Counter(
        offloading.choose(FixedUtilisation(utilisation)) for _ in range(TRIALS)
    )


async def test_more_connections_are_offloaded_with_higher_utilisation(members):
    members.update_from_heartbeat(router("r2"))
    offloading = ConnectionOffloader(members)
    assert count_choices(offloading, HIGH_UTILISATION) == {None: TRIALS}
    choices = count_choices(
        offloading, (HIGH_UTILISATION + FULL_OFFLOAD_UTILISATION) / 2
    )
    assert 0.4 * TRIALS < choices["r2:82"] < 0.6 * TRIALS
    assert count_choices(offloading, FULL_OFFLOAD_UTILISATION) == {"r2:82": TRIALS}


async def test_routers_with_more_spare_cores_are_chosen_more_often(members):
    members.update_from_heartbeat(router("large", cores=2.0))
    members.update_from_heartbeat(router("small", cores=0.5))
    choices = count_choices(ConnectionOffloader(members), 1.0)
    assert choices["large:82"] > 3 * choices["small:82"]


async def test_only_routers_of_the_zone_with_cpu_time_left_are_chosen(members):
    members.update_from_heartbeat(router("elsewhere", zone="y"))
    full = router("full", utilisation=MAX_CANDIDATE_UTILISATION)
    members.update_from_heartbeat(full)
    members.update_from_heartbeat(replace(router("older"), relay_port=0))
    members.update_from_heartbeat(replace(router("leaving"), state=MemberState.LEAVING))
    assert count_choices(ConnectionOffloader(members), 1.0) == {None: TRIALS}


async def test_routers_that_use_half_of_their_cpu_time_are_chosen(members):
    """A flooded router served all itself while its whole zone was used that much."""
    members.update_from_heartbeat(router("half", utilisation=HIGH_UTILISATION))
    assert count_choices(ConnectionOffloader(members), 1.0) == {"half:82": TRIALS}


async def test_candidates_are_retained_while_all_peers_appear_silent(members):
    """An overloaded router reads the heartbeats of its peers seconds late.

    All of them appear silent, and it would refuse everything while they have room.
    """
    members.update_from_heartbeat(router("r2"))
    offloading = ConnectionOffloader(members)
    assert offloading.choose(FixedUtilisation(1.0)) == "r2:82"
    await asyncio.sleep(CANDIDATE_TTL_SECONDS / 2)
    assert members.ready == [members.own]
    assert offloading.choose(FixedUtilisation(1.0)) == "r2:82"
    await asyncio.sleep(CANDIDATE_TTL_SECONDS)
    assert offloading.choose(FixedUtilisation(1.0)) is None
