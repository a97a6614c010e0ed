"""Which routers tell which others, so that none pays for all."""

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

ALL_KNOW_ALL = 12
"""Routers up to which each tells every other.

That is the quickest, and costs each of 12 routers 11 datagrams of 300 bytes four
times a second, 13 KB/s. In a larger fleet routers tell the aggregator of their zone,
which makes two sums: that of its zone for the other zones, and that of all for its own.
Both are passed on from router to router.
"""

GOSSIP = 2
"""Routers of its zone that a router tells besides the aggregator. News goes round among
them when the aggregator has died."""

REMEMBERED_SECONDS = 0.05
"""Time for which the aggregator is not looked for again; each message asks for it."""

NOTED_SECONDS = 3.0
"""Time for which a router that told the sum of its zone is taken for the aggregator. It
tells it each 0.4 s, and another one that takes over does the same."""

LIKELY = 2
"""Routers of a zone that are told where its aggregator is not known."""

INTRODUCING_EVERY = 2
"""Sums of a zone of which one comes with the addresses of those it is to reach. Who
passes it on forgets none of them for 30 s."""


class Scope(IntEnum):
    """Whose work a pulse tells of."""

    OWN = 0
    """The sender's."""

    ZONE = 1
    """That of all routers of the sender's zone."""

    OTHERS = 2
    """That of all routers but the receiver; aggregators of earlier releases send it."""

    FLEET = 3
    """That of all routers; an aggregator tells it to its zone."""

    NEWS = 4
    """Nobody's."""


@dataclass(frozen=True)
class RecipientGroup:
    """Who gets a pulse of a scope.

    Attributes
    ----------
    scope : Scope
        What it tells.
    deliveries : list of Delivery
        To whom it is sent, and whom those tell.
    """

    scope: Scope
    deliveries: list[Delivery]


class Topology:
    """Finds the audiences from what is known of the other routers.

    The aggregator of a zone is the first of its routers by a hash, of those that
    answer. Nobody is elected: each router finds the same one by itself, and two
    aggregators for a moment cost some datagrams.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._found: Member | None = None
        self._found_at = -math.inf
        self._turn = 0
        self._noted: dict[str, tuple[float, str]] = {}
        """When which router last told the sum of a zone."""

    @property
    def is_full_mesh(self) -> bool:
        """Whether every router tells every other."""
        return len(self._members.peers) < ALL_KNOW_ALL

    @property
    def aggregator(self) -> Member:
        """The aggregator of this zone, as far as this router can tell."""
        now = asyncio.get_running_loop().time()
        if self._found is None or now - self._found_at > REMEMBERED_SECONDS:
            found = min([*self._members.zone_peers, self._members.own], key=rank)
            if self._found is not None and found.vm != self._found.vm:
                _log.info("aggregator changed", vm=found.vm, before=self._found.vm)
            self._found, self._found_at = found, now
        return self._found

    @property
    def is_aggregator(self) -> bool:
        """Whether this router is the aggregator of its zone."""
        return self.aggregator.vm == self._members.own.vm

    @property
    def other_zones(self) -> set[str]:
        """The other zones that have routers."""
        return {m.zone for m in self._members.peers} - {self._members.own.zone}

    def recipient_groups(self) -> list[RecipientGroup]:
        """Return who is to be told what."""
        others = self._members.peers
        if self.is_full_mesh:
            return [RecipientGroup(Scope.OWN, _copies(others))]
        if self.is_aggregator:
            return [
                RecipientGroup(Scope.FLEET, self._to_zone(others)),
                RecipientGroup(Scope.ZONE, self._to_zones()),
            ]
        aggregator = self.aggregator
        zone = self._members.own.zone
        rest = [m for m in others if m.zone == zone and m.vm != aggregator.vm]
        chosen = random.sample(rest, min(GOSSIP, len(rest)))
        return [
            RecipientGroup(Scope.OWN, _copies([aggregator])),
            RecipientGroup(Scope.NEWS, _copies(chosen)),
        ]

    def _to_zone(self, others: Sequence[Member]) -> list[Delivery]:
        """Return the copies for this zone, one of them for a router that is silent."""
        zone_peers = self._members.zone_peers
        own = self._members.own
        order = forwarding_order(zone_peers)
        # one copy, as an aggregator sends more than others already
        first = self._members.find_by_hash(order[0]) if order else None
        copies = [Delivery(first, order[1:])] if first is not None else []
        answering = {member.vm for member in zone_peers}
        silent = [m for m in others if m.zone == own.zone and m.vm not in answering]
        return copies + _copies(random.sample(silent, min(1, len(silent))))

    def _to_zones(self) -> list[Delivery]:
        """Return the copies for the other zones.

        A router of this zone sends them, another one each time; an aggregator alone
        would pay for as many as there are zones.
        """
        aggregators = self._aggregators_elsewhere()
        targets = forwarding_order(aggregators)
        zone_peers = self._members.zone_peers
        if not targets:
            return []
        if not zone_peers:
            own = self._members.own
            return plan_deliveries(targets, own.region, self._members.find_by_hash)
        roomy = [
            m for m in zone_peers if m.utilisation <= MAX_FORWARDER_UTILISATION
        ] or zone_peers
        self._turn += 1
        forwarder = sorted(roomy, key=rank)[self._turn % len(roomy)]
        unknown = tuple(aggregators) if self._turn % INTRODUCING_EVERY == 0 else ()
        return [Delivery(forwarder, targets, unknown)]

    def record_aggregator(self, member: Member) -> None:
        """Take note of a router that tells the sum of its zone."""
        now = asyncio.get_running_loop().time()
        self._noted[member.zone] = (now, member.vm)

    def _aggregators_elsewhere(self) -> list[Member]:
        """Return who is told the sum of this zone."""
        by_zone: dict[str, list[Member]] = {}
        for member in self._members.peers:
            by_zone.setdefault(member.zone, []).append(member)
        by_zone.pop(self._members.own.zone, None)
        return [m for members in by_zone.values() for m in self._likely(members)]

    def _likely(self, members: Sequence[Member]) -> list[Member]:
        """Return the aggregator of a zone, or those that may be.

        A router that gets the sum by mistake passes it on to the aggregator.
        """
        noted_at, vm = self._noted.get(members[0].zone, (-math.inf, ""))
        if asyncio.get_running_loop().time() - noted_at <= NOTED_SECONDS:
            noted = [member for member in members if member.vm == vm]
            if noted:
                return noted
        return sorted(members, key=rank)[:LIKELY]


def _copies(members: Sequence[Member]) -> list[Delivery]:
    """Return a copy for each router, which is not passed on."""
    return [Delivery(member, []) for member in members]


def rank(member: Member) -> int:
    """Return a router's place by hash, the same everywhere; the least goes first."""
    return xxhash.xxh3_64_intdigest(member.vm.encode())
