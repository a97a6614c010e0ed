"""Which routers tell which others, so that the cost grows with zones."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

import xxhash

from teaselledge_fleet.process.members import Member, Members

__all__ = ["Audience", "Scope", "Topology", "rank"]

ALL_KNOW_ALL = 12
"""Routers up to which each tells every other.

That is the quickest, and costs each of 12 routers 11 datagrams of 300 bytes four
times a second, 13 KB/s. In a larger fleet routers tell the aggregator of their zone,
which tells the other zones what its own does, and its own what all others do.
"""

GOSSIP = 2
"""Routers of its zone that a router tells besides the aggregator. News goes round among
them when the aggregator has died."""

AGGREGATORS_TOLD = 2
"""Routers of another zone that are told, in case one of them has just died."""


class Scope(IntEnum):
    """Whose work a pulse tells of."""

    OWN = 0
    """The sender's."""

    ZONE = 1
    """That of all routers of the sender's zone."""

    OTHERS = 2
    """That of all routers but the receiver; an aggregator tells it to its zone."""


@dataclass(frozen=True)
class Audience:
    """Who gets a pulse of a scope.

    Attributes
    ----------
    scope : Scope
        What it tells.
    members : list of Member
        To whom.
    """

    scope: Scope
    members: list[Member]


class Topology:
    """Finds the audiences from what is known of the other routers.

    The aggregator of a zone is the first of its routers by a hash, of those that
    answer. Nobody is elected: each router finds the same one by itself, and two
    aggregators for a moment cost some datagrams.
    """

    def __init__(self, members: Members) -> None:
        self._members = members

    @property
    def flat(self) -> bool:
        """Whether every router tells every other."""
        return len(self._members.others) < ALL_KNOW_ALL

    @property
    def aggregator(self) -> Member:
        """The aggregator of this zone, as far as this router can tell."""
        own = self._members.own
        mates = [m for m in self._members.answering if m.zone == own.zone]
        return min([*mates, own], key=rank)

    @property
    def aggregates(self) -> bool:
        """Whether this router is the aggregator of its zone."""
        return self.aggregator is self._members.own

    def audiences(self) -> list[Audience]:
        """Return who is to be told what."""
        others = self._members.others
        if self.flat:
            return [Audience(Scope.OWN, others)]
        mates = [m for m in others if m.zone == self._members.own.zone]
        aggregator = self.aggregator
        if aggregator is not self._members.own:
            rest = [m for m in mates if m.vm != aggregator.vm]
            chosen = random.sample(rest, min(GOSSIP, len(rest)))
            return [Audience(Scope.OWN, [aggregator, *chosen])]
        # each mate gets the sum of all but itself
        result = [Audience(Scope.OTHERS, [mate]) for mate in mates]
        result.append(Audience(Scope.ZONE, self._aggregators_elsewhere()))
        return result

    def _aggregators_elsewhere(self) -> list[Member]:
        zone = self._members.own.zone
        answering = {member.vm for member in self._members.answering}
        by_zone: dict[str, list[Member]] = {}
        for member in self._members.others:
            if member.zone != zone:
                by_zone.setdefault(member.zone, []).append(member)
        found: list[Member] = []
        for members in by_zone.values():
            found += _first(members, answering)
        return found


def _first(members: Sequence[Member], answering: set[str]) -> list[Member]:
    """Return the likely aggregators: those heard lately first, then by rank."""
    order = sorted(members, key=lambda m: (m.vm not in answering, rank(m)))
    likely = order[:1]
    for member in sorted(members, key=rank):
        if member not in likely and len(likely) < AGGREGATORS_TOLD:
            likely.append(member)
    return likely


def rank(member: Member) -> int:
    """Return a router's place by hash, the same everywhere; the least goes first."""
    return xxhash.xxh3_64_intdigest(member.vm.encode())
