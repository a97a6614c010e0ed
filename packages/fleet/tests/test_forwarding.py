"""Tests of messages that are passed on from router to router."""

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


def router(number: int, region: str = "north", busy: float = 0.0) -> Member:
    vm = f"r{number}"
    return Member(vm, 1, "z1", region, f"{vm}:2", f"{vm}:1", utilisation=busy)


def reached(members: list[Member], keys: list[int], dead: str = "") -> Counter:
    """Return how often each router gets a message that starts in the north."""
    by_key = {name_hash(member.vm): member for member in members}
    found: Counter = Counter()
    waiting = list(plan_deliveries(keys, "north", by_key.get))
    while waiting:
        delivery = waiting.pop()
        found[delivery.recipient.vm] += 1
        if delivery.recipient.vm != dead:
            region = delivery.recipient.region
            waiting += plan_deliveries(delivery.forward_to, region, by_key.get)
    return found


async def test_message_reaches_every_router_once():
    members = [router(number) for number in range(33)]
    found = reached(members, forwarding_order(members))
    assert found == Counter({member.vm: 1 for member in members})


async def test_nobody_sends_more_than_two_copies_in_its_region():
    members = {name_hash(f"r{n}"): router(n) for n in range(33)}
    assert len(plan_deliveries(list(members), "north", members.get)) == FANOUT


async def test_one_copy_goes_to_another_region():
    """Links between regions are narrow, and bytes on them are paid for."""
    members = [router(n) for n in range(4)]
    members += [router(n, "south") for n in range(4, 10)]
    by_key = {name_hash(member.vm): member for member in members}
    copies = plan_deliveries(forwarding_order(members), "north", by_key.get)
    assert [c.recipient.region for c in copies].count("south") == 1
    assert set(reached(members, forwarding_order(members)).values()) == {1}


async def test_dead_router_cuts_off_others_for_one_message_only():
    members = [router(number) for number in range(33)]
    missed: Counter = Counter()
    for _ in range(50):
        found = reached(members, forwarding_order(members), dead="r5")
        missed.update(m.vm for m in members if m.vm not in found)
    assert all(count < 25 for count in missed.values())


async def test_busy_routers_have_nobody_to_pass_on_to():
    members = [router(n, busy=0.9 if n < 10 else 0.1) for n in range(33)]
    order = forwarding_order(members)
    assert set(order[-10:]) == {name_hash(f"r{n}") for n in range(10)}


async def test_unknown_router_is_left_to_those_who_know_it():
    known = {name_hash(f"r{n}"): router(n) for n in range(4)}
    stranger = name_hash("stranger")
    copies = plan_deliveries([stranger, *known], "north", known.get)
    assert sum(stranger in copy.forward_to for copy in copies) == 1


async def test_messages_may_overtake_one_another():
    """A message dropped as old would cut off all to whom it is to be passed on."""
    seen = SeenMessages()
    assert seen.add(1, 11)
    assert seen.add(1, 10)
    assert not seen.add(1, 11)
    assert seen.add(1, 40)
    assert not seen.add(1, 12)
    assert seen.add(2, 11)


async def test_own_part_is_taken_out_as_it_was_told():
    sent = SentLoadStats()
    sent.record(1, LoadStats({1: EndpointLoad(2, 0.5)}, {7: TokenUsage(100, 50)}))
    sent.record(2, LoadStats({1: EndpointLoad(9, 0.5)}, {7: TokenUsage(900, 500)}))
    sums = LoadStats(
        {1: EndpointLoad(5, 1.0), 2: EndpointLoad(1)}, {7: TokenUsage(150, 60)}
    )
    left = sent.subtract_sent(sums, mark_of(1))
    assert left == LoadStats(
        {1: EndpointLoad(3, 0.5), 2: EndpointLoad(1)}, {7: TokenUsage(50, 10)}
    )
    assert sent.subtract_sent(sums, NO_MARK) == sums


async def test_pulse_with_fields_left_out_does_no_harm():
    """Other releases leave out what they do not know."""
    async with running_gossip_fleet(make_store([]), 20, decode_empty_routing) as fleet:
        await asyncio.sleep(5)
        first, second = fleet.routers[:2]
        for scope in (*Scope, 9):
            sender = second.members.own.to_wire()
            pulse = Pulse(PROTOCOL, sender, scope=int(scope), work=b"x", pass_to=[7])
            first.receive(encode_datagram(pulse), second.members.own.peer_address)
        await asyncio.sleep(1)
        assert len(first.members.peers) == 19


async def test_messages_that_waited_while_the_vm_was_frozen_are_stale():
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


async def test_frozen_router_does_not_revive_a_dead_one():
    """A VM wakes with messages of a router that has lost power meanwhile.

    Passed on, they would name that router to callers again.
    """
    async with running_gossip_fleet(make_store([]), 40, decode_empty_routing) as fleet:
        await asyncio.sleep(5)
        dead = next(r for r in fleet.routers if r.gossip._topology.is_aggregator)
        zone = dead.members.own.zone
        zone_peers = [
            r for r in fleet.routers if r.members.own.zone == zone and r != dead
        ]
        sleeper, others = zone_peers[0], zone_peers[1:]
        fleet.suspend(sleeper.vm)
        await asyncio.sleep(1)
        dead.kill()
        await asyncio.sleep(6)
        fleet.resume(sleeper.vm)
        for _ in range(40):
            await asyncio.sleep(0.05)
            for peer in others:
                assert dead.vm not in {m.vm for m in peer.members.ready}
