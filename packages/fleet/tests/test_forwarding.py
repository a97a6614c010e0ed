"""Tests of messages that are forwarded from router to router."""

import asyncio
from collections import Counter

from teaselledge_fleet.connection.codec import PROTOCOL, encode_datagram
from teaselledge_fleet.process.forwarding import (
    FANOUT,
    SeenMessages,
    forwarding_order,
    plan_deliveries,
)
from teaselledge_fleet.process.members import Member
from teaselledge_fleet.process.sent import NO_MARK, LoadStats, SentLoadStats, mark_of
from teaselledge_fleet.process.shares import TokenUsage
from teaselledge_fleet.process.stalls import StallDetector
from teaselledge_fleet.process.topology import Scope
from teaselledge_fleet.process.work import EndpointLoad, name_hash
from teaselledge_standins.spreadfleet import running_gossip_fleet
from teaselledge_standins.statestore import decode_empty_routing, make_store
from teaselledge_wire.gen.fleet.ttypes import Pulse

VIRTUAL_CLOCK = True


def router(number: int, region: str = "north", utilisation: float = 0.0) -> Member:
    vm = f"r{number}"
    return Member(vm, 1, "z1", region, f"{vm}:2", f"{vm}:1", utilisation=utilisation)


def reached(members: list[Member], hashes: list[int], dead: str = "") -> Counter:
    """Return how often each router gets a message that is sent from the north."""
    by_hash = {name_hash(member.vm): member for member in members}
    found: Counter = Counter()
    pending = list(plan_deliveries(hashes, "north", by_hash.get))
    while pending:
        delivery = pending.pop()
        found[delivery.recipient.vm] += 1
        if delivery.recipient.vm != dead:
            region = delivery.recipient.region
            pending += plan_deliveries(delivery.forward_to, region, by_hash.get)
    return found


async def test_message_reaches_every_router_once():
    members = [router(number) for number in range(33)]
    found = reached(members, forwarding_order(members))
    assert found == Counter({member.vm: 1 for member in members})


async def test_no_router_sends_more_than_two_copies_in_its_region():
    members = {name_hash(f"r{n}"): router(n) for n in range(33)}
    assert len(plan_deliveries(list(members), "north", members.get)) == FANOUT


async def test_one_copy_goes_to_another_region():
    """Links between regions have a low bandwidth, and their traffic is charged."""
    members = [router(n) for n in range(4)]
    members += [router(n, "south") for n in range(4, 10)]
    by_hash = {name_hash(member.vm): member for member in members}
    deliveries = plan_deliveries(forwarding_order(members), "north", by_hash.get)
    assert [d.recipient.region for d in deliveries].count("south") == 1
    assert set(reached(members, forwarding_order(members)).values()) == {1}


async def test_dead_router_cuts_off_others_for_one_message_only():
    members = [router(number) for number in range(33)]
    missed: Counter = Counter()
    for _ in range(50):
        found = reached(members, forwarding_order(members), dead="r5")
        missed.update(m.vm for m in members if m.vm not in found)
    assert all(count < 25 for count in missed.values())


async def test_routers_with_high_utilisation_do_not_forward():
    members = [router(n, utilisation=0.9 if n < 10 else 0.1) for n in range(33)]
    order = forwarding_order(members)
    assert set(order[-10:]) == {name_hash(f"r{n}") for n in range(10)}


async def test_message_to_an_unknown_router_is_left_to_other_routers():
    known = {name_hash(f"r{n}"): router(n) for n in range(4)}
    stranger = name_hash("stranger")
    deliveries = plan_deliveries([stranger, *known], "north", known.get)
    assert sum(stranger in delivery.forward_to for delivery in deliveries) == 1


async def test_messages_may_arrive_out_of_order():
    """If a late message were dropped, it would not reach those it is forwarded to."""
    seen = SeenMessages()
    assert seen.add(1, 11)
    assert seen.add(1, 10)
    assert not seen.add(1, 11)
    assert seen.add(1, 40)
    assert not seen.add(1, 12)
    assert seen.add(2, 11)


async def test_own_statistics_are_subtracted_as_they_were_sent():
    sent = SentLoadStats()
    sent.record(1, LoadStats({1: EndpointLoad(2, 0.5)}, {7: TokenUsage(100, 50)}))
    sent.record(2, LoadStats({1: EndpointLoad(9, 0.5)}, {7: TokenUsage(900, 500)}))
    totals = LoadStats(
        {1: EndpointLoad(5, 1.0), 2: EndpointLoad(1)}, {7: TokenUsage(150, 60)}
    )
    others = sent.subtract_sent(totals, mark_of(1))
    assert others == LoadStats(
        {1: EndpointLoad(3, 0.5), 2: EndpointLoad(1)}, {7: TokenUsage(50, 10)}
    )
    assert sent.subtract_sent(totals, NO_MARK) == totals


async def test_heartbeat_with_missing_fields_is_accepted():
    """Routers of other releases omit fields that they don't know."""
    async with running_gossip_fleet(make_store([]), 20, decode_empty_routing) as fleet:
        await asyncio.sleep(5)
        first, second = fleet.routers[:2]
        for scope in (*Scope, 9):
            sender = second.members.own.to_wire()
            heartbeat = Pulse(
                PROTOCOL, sender, scope=int(scope), work=b"x", pass_to=[7]
            )
            first.receive(encode_datagram(heartbeat), second.members.own.peer_address)
        await asyncio.sleep(1)
        assert len(first.members.peers) == 19


async def test_messages_that_queued_while_the_vm_was_stalled_are_stale():
    now = [0.0]
    stalls = StallDetector(lambda: now[0])
    for _ in range(5):
        now[0] += 0.4
        assert not stalls.recently_stalled
        stalls.tick()
    now[0] += 6.0
    assert stalls.recently_stalled
    stalls.tick()
    assert stalls.recently_stalled
    now[0] += 0.6
    assert not stalls.recently_stalled


async def test_a_short_stall_after_a_long_one_is_short():
    """An overloaded router that was suspended earlier would hear nobody."""
    now = [0.0]
    stalls = StallDetector(lambda: now[0])
    now[0] += 6.0
    assert stalls.recently_stalled_for_long
    stalls.tick()
    assert stalls.recently_stalled_for_long
    now[0] += 0.6
    stalls.tick()
    assert not stalls.recently_stalled_for_long
    now[0] += 1.0
    assert stalls.recently_stalled
    assert not stalls.recently_stalled_for_long


async def test_resumed_router_does_not_forward_messages_of_a_dead_one():
    """A stalled VM resumes with queued messages of a router that is dead by then.

    If it forwarded them, that router would be advertised to callers again.
    """
    async with running_gossip_fleet(make_store([]), 40, decode_empty_routing) as fleet:
        await asyncio.sleep(5)
        dead = next(r for r in fleet.routers if r.gossip._topology.is_aggregator)
        zone = dead.members.own.zone
        zone_peers = [
            r for r in fleet.routers if r.members.own.zone == zone and r != dead
        ]
        stalled, others = zone_peers[0], zone_peers[1:]
        fleet.suspend(stalled.vm)
        await asyncio.sleep(1)
        dead.kill()
        await asyncio.sleep(6)
        fleet.resume(stalled.vm)
        for _ in range(40):
            await asyncio.sleep(0.05)
            for peer in others:
                assert dead.vm not in {m.vm for m in peer.members.ready}
