"""Tests of the membership table."""

import asyncio
from contextlib import contextmanager
from dataclasses import replace

from teaselledge_fleet.connection.figures import (
    pack_member_ages,
    pack_member_statuses,
    unpack_member_statuses,
)
from teaselledge_fleet.process.members import Member, MemberReport, Members, MemberState

VIRTUAL_CLOCK = True
OTHER = Member("r2", 1, "z2", "z2", "r2:2", "r2:1", MemberState.READY)
ZONE_PEER = replace(OTHER, zone="z1")


@contextmanager
def members():
    yield Members(Member("r1", 1, "z1", "z1", "r1:2", "r1:1"))


def advertised(members: Members) -> bool:
    return any(member.vm == OTHER.vm for member in members.ready)


async def test_report_ages_from_the_last_heartbeat(members):
    """Routers that report a dead router to each other must not keep it advertised.

    If a report counted from its arrival, each further report would renew it.
    """
    members.merge_report(MemberReport(OTHER, 2.5))
    assert advertised(members)
    await asyncio.sleep(0.6)
    assert not advertised(members)
    members.merge_report(MemberReport(OTHER, 3.1))
    assert not advertised(members)
    assert members.report(OTHER).silent_seconds > 3.0


async def test_ages_include_the_time_for_which_the_vm_was_suspended():
    """A router that resumed reported a VM that was dead by then as just heard."""
    now = [100.0]
    members = Members(Member("r1", 1, "z1", "z1", "r1:2", "r1:1"), lambda: now[0])
    members.update_from_heartbeat(OTHER)
    assert advertised(members)
    now[0] += 8.0
    assert not advertised(members)
    assert members.report(OTHER).silent_seconds == 8.0


async def test_store_row_does_not_count_as_a_heartbeat(members):
    """Rows of killed routers stay, and a router without peers reads them every 2 s."""
    members.merge_report(MemberReport(OTHER, None))
    assert members.peers == [OTHER]
    assert not advertised(members)
    assert members.reports == []
    await asyncio.sleep(31)
    assert members.peers == []


async def test_incarnation_with_the_latest_heartbeat_is_the_current_one(members):
    members.merge_report(MemberReport(OTHER, 1.0))
    restarted = replace(OTHER, incarnation=2)
    members.merge_report(MemberReport(restarted, 0.2))
    members.merge_report(MemberReport(OTHER, 1.1))
    assert members.peers == [restarted]


async def test_silent_router_is_not_advertised_by_older_reports(members):
    members.update_from_heartbeat(OTHER)
    await asyncio.sleep(1.1)
    members.merge_report(MemberReport(OTHER, 0.9))
    assert not advertised(members)
    await asyncio.sleep(2)
    members.merge_report(MemberReport(OTHER, 3.1))
    assert not advertised(members)
    members.merge_report(MemberReport(OTHER, 0.5))
    assert advertised(members)


def aggregated(silent: float, member: Member = ZONE_PEER) -> dict:
    """Return the status of a router as the zone's aggregator sends it."""
    reports = [MemberReport(member, silent)]
    return unpack_member_statuses(
        pack_member_statuses(reports), pack_member_ages(reports)
    )


async def test_status_from_the_aggregator_ages_from_the_last_heartbeat(members):
    """Routers that become aggregator in turn must not renew a silent router."""
    members.update_from_heartbeat(ZONE_PEER)
    for _ in range(6):
        await asyncio.sleep(0.4)
        silent = members.report(ZONE_PEER).silent_seconds
        members.update_from_aggregator(aggregated(silent))
        assert advertised(members) == (silent <= 2.0)
    assert members.report(ZONE_PEER).silent_seconds > 2.3


async def test_status_of_an_earlier_release_counts_as_old(members):
    members.update_from_heartbeat(ZONE_PEER)
    await asyncio.sleep(5)
    members.update_from_aggregator(
        unpack_member_statuses(
            pack_member_statuses([MemberReport(ZONE_PEER, 0.1)]), b""
        )
    )
    assert members.alive == [ZONE_PEER]
    assert members.report(ZONE_PEER).silent_seconds == 1.0


async def test_status_of_another_zone_counts_as_a_report(members):
    """The zone's aggregator hears few routers of other zones."""
    members.update_from_heartbeat(OTHER)
    await asyncio.sleep(5)
    assert not advertised(members)
    members.update_from_aggregator(aggregated(0.5, OTHER))
    assert advertised(members)
    assert members.alive == []
    await asyncio.sleep(2.6)
    assert not advertised(members)


async def test_status_of_another_zone_counts_after_a_heartbeat(members):
    """After one heartbeat a router of another zone seemed silent for two seconds."""
    members.update_from_heartbeat(OTHER)
    for _ in range(10):
        await asyncio.sleep(0.4)
        members.update_from_aggregator(aggregated(0.1, OTHER))
        assert advertised(members)
