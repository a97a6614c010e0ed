"""Topology of the gossip: which routers send their heartbeats to which others.

In a large fleet routers send to an aggregator, so that no router sends to all others.
"""

import asyncio
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

import xxhash

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.forwarding import (
    MAX_FORWARDER_UTILISATION,
    Delivery,
    forwarding_order,
    plan_deliveries,
)
from teaselledge_fleet.process.members import Member, Members

__all__ = ["RecipientGroup", "Scope", "Topology", "rank"]

_log = get_log("peers")

MAX_FULL_MESH_ROUTERS = 12
"""Maximum number of routers that form a full mesh.

A full mesh has the lowest delay. Each of 12 routers then sends 11 datagrams of 300
bytes four times a second, 13 KB/s. In a larger fleet routers send their load to the
aggregator of their zone. It computes two totals: that of its zone for the other zones,
and that of the fleet for its own zone. Both are forwarded from router to router.
"""

GOSSIP_PEER_COUNT = 2
"""Routers of its zone to which a router sends heartbeats besides the aggregator. They
spread changes while a dead aggregator has not been replaced yet."""

AGGREGATOR_CACHE_SECONDS = 0.05
"""Time for which the aggregator is cached; it is needed for each message."""

AGGREGATOR_EXPIRY_SECONDS = 3.0
"""Time for which a router that sent the total of its zone counts as the zone's
aggregator. It sends the total every 0.4 s, and so does its successor."""

CANDIDATES_PER_ZONE = 2
"""Routers of a zone to which totals are sent if its aggregator is not known."""

TOTALS_PER_INTRODUCTION = 2
"""One in this many totals of a zone carries the addresses of its recipients. The router
that forwards it then knows them for 30 s."""


class Scope(IntEnum):
    """Routers whose load a heartbeat contains."""

    OWN = 0
    """The sender only."""

    ZONE = 1
    """All routers of the sender's zone."""

    OTHERS = 2
    """All routers but the receiver; sent by aggregators of earlier releases."""

    FLEET = 3
    """All routers; sent by an aggregator to its zone."""

    NEWS = 4
    """None: the heartbeat contains no load."""


@dataclass(frozen=True)
class RecipientGroup:
    """Recipients of a heartbeat of one scope.

    Attributes
    ----------
    scope : Scope
        Scope of the load in the heartbeat.
    deliveries : list of Delivery
        Recipients, and the routers to which each of them forwards it.
    """

    scope: Scope
    deliveries: list[Delivery]


class Topology:
    """Derives the recipients of heartbeats from the membership.

    The aggregator of a zone is the first of its alive routers by a hash. There is no
    election: each router finds the same one by itself. Two aggregators at the same
    time only cost some additional datagrams.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._aggregator: Member | None = None
        self._aggregator_at = -math.inf
        self._rounds = 0
        self._last_totals: dict[str, tuple[float, str]] = {}
        """By zone, the loop time of its last total and the router that sent it."""

    @property
    def is_full_mesh(self) -> bool:
        """Whether every router sends its heartbeats to every other."""
        return len(self._members.peers) < MAX_FULL_MESH_ROUTERS

    @property
    def aggregator(self) -> Member:
        """The aggregator of this zone, in this router's view."""
        now = asyncio.get_running_loop().time()
        if (
            self._aggregator is None
            or now - self._aggregator_at > AGGREGATOR_CACHE_SECONDS
        ):
            first = min([*self._members.zone_peers, self._members.own], key=rank)
            if self._aggregator is not None and first.vm != self._aggregator.vm:
                _log.info("aggregator changed", vm=first.vm, before=self._aggregator.vm)
            self._aggregator, self._aggregator_at = first, now
        return self._aggregator

    @property
    def is_aggregator(self) -> bool:
        """Whether this router is the aggregator of its zone."""
        return self.aggregator.vm == self._members.own.vm

    @property
    def other_zones(self) -> set[str]:
        """The other zones that have routers."""
        return {m.zone for m in self._members.peers} - {self._members.own.zone}

    def recipient_groups(self) -> list[RecipientGroup]:
        """Return the recipients of this router's heartbeats, by scope."""
        others = self._members.peers
        if self.is_full_mesh:
            return [RecipientGroup(Scope.OWN, _direct_deliveries(others))]
        if self.is_aggregator:
            return [
                RecipientGroup(Scope.FLEET, self._own_zone_deliveries(others)),
                RecipientGroup(Scope.ZONE, self._other_zone_deliveries()),
            ]
        aggregator = self.aggregator
        zone = self._members.own.zone
        rest = [m for m in others if m.zone == zone and m.vm != aggregator.vm]
        sampled = random.sample(rest, min(GOSSIP_PEER_COUNT, len(rest)))
        return [
            RecipientGroup(Scope.OWN, _direct_deliveries([aggregator])),
            RecipientGroup(Scope.NEWS, _direct_deliveries(sampled)),
        ]

    def _own_zone_deliveries(self, others: Sequence[Member]) -> list[Delivery]:
        """Return the deliveries in this zone, including one to a silent router."""
        zone_peers = self._members.zone_peers
        own = self._members.own
        order = forwarding_order(zone_peers)
        # a single copy, as an aggregator sends more than other routers already
        first = self._members.find_by_hash(order[0]) if order else None
        deliveries = [Delivery(first, order[1:])] if first is not None else []
        alive = {member.vm for member in zone_peers}
        silent = [m for m in others if m.zone == own.zone and m.vm not in alive]
        return deliveries + _direct_deliveries(
            random.sample(silent, min(1, len(silent)))
        )

    def _other_zone_deliveries(self) -> list[Delivery]:
        """Return the deliveries to the other zones.

        The routers of this zone take turns in sending them. Otherwise the aggregator
        would send a copy to each zone by itself.
        """
        aggregators = self._other_aggregators()
        targets = forwarding_order(aggregators)
        zone_peers = self._members.zone_peers
        if not targets:
            return []
        if not zone_peers:
            own = self._members.own
            return plan_deliveries(targets, own.region, self._members.find_by_hash)
        candidates = [
            m for m in zone_peers if m.utilisation <= MAX_FORWARDER_UTILISATION
        ] or zone_peers
        self._rounds += 1
        forwarder = sorted(candidates, key=rank)[self._rounds % len(candidates)]
        unknown = (
            tuple(aggregators) if self._rounds % TOTALS_PER_INTRODUCTION == 0 else ()
        )
        return [Delivery(forwarder, targets, unknown)]

    def record_aggregator(self, member: Member) -> None:
        """Record a router that sent the total of its zone."""
        now = asyncio.get_running_loop().time()
        self._last_totals[member.zone] = (now, member.vm)

    def _other_aggregators(self) -> list[Member]:
        """Return the routers of other zones to which this zone's total is sent."""
        by_zone: dict[str, list[Member]] = {}
        for member in self._members.peers:
            by_zone.setdefault(member.zone, []).append(member)
        by_zone.pop(self._members.own.zone, None)
        return [
            m
            for members in by_zone.values()
            for m in self._aggregator_candidates(members)
        ]

    def _aggregator_candidates(self, members: Sequence[Member]) -> list[Member]:
        """Return the aggregator of a zone, or candidates if it is not known.

        A router that is not the aggregator forwards the total to it.
        """
        recorded_at, vm = self._last_totals.get(members[0].zone, (-math.inf, ""))
        if asyncio.get_running_loop().time() - recorded_at <= AGGREGATOR_EXPIRY_SECONDS:
            recorded = [member for member in members if member.vm == vm]
            if recorded:
                return recorded
        return sorted(members, key=rank)[:CANDIDATES_PER_ZONE]


def _direct_deliveries(members: Sequence[Member]) -> list[Delivery]:
    """Return a delivery to each router, without forwarding."""
    return [Delivery(member, []) for member in members]


def rank(member: Member) -> int:
    """Return a router's rank, a hash equal on all routers; the lowest comes first."""
    return xxhash.xxh3_64_intdigest(member.vm.encode())
