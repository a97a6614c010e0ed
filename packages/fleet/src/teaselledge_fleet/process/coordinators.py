"""Choose the coordinator of each endpoint: the router that admits its requests."""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

import xxhash

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.members import Member, Members, MemberState
from teaselledge_fleet.process.topology import rank

__all__ = ["Coordinators", "Replies"]

_log = get_log("admission")

ReplyT = TypeVar("ReplyT")
ReplyT_co = TypeVar("ReplyT_co", covariant=True)

COORDINATORS_PER_ZONE = 4
"""Routers of a zone that coordinate its endpoints.

All routers must know their addresses, 90 bytes each. In a fleet of 89 routers with
1,500 requests a second, each of 24 coordinators gets 60 queries a second, about 2 KB/s.
"""

ZONE_COORDINATORS_TTL_SECONDS = 25.0
"""Time for which the reported coordinators of a zone are valid.

They are reported at an interval of 0.8 s times the number of zones."""

CHOICE_CACHE_SECONDS = 0.3
"""Time for which a choice is cached; a change of members takes effect in about 1 s."""

MISSED_REPLY_LIMIT = 2
"""Consecutive queries without a reply after which another router is chosen.

One datagram of 30 is lost on a bad link, and when the coordinator of an endpoint
changes, both count only a part of its load for a moment.
"""

COORDINATOR_EXCLUSION_SECONDS = 3.0
"""Time for which a router that did not reply is not queried.

Most faults of a VM last 2 to 6 s, and each try delays some requests by 50 to 100 ms."""

SAME_REGION_REPLY_TIMEOUT_SECONDS = 0.05
OTHER_REGION_REPLY_TIMEOUT_SECONDS = 0.1
"""Reply timeouts within a region and between regions.

The round trip takes 3 and 40 ms, and queues of two busy processes up to 40 ms. A
request without a reply is decided by the load that was reported before."""


class Replies(Protocol[ReplyT_co]):
    """Replies to the queries of a router."""

    async def wait(self, sequence: int, seconds: float) -> ReplyT_co | None:
        """Return the reply to a query, None if it does not arrive in time."""


@dataclass(frozen=True)
class _ZoneCoordinators:
    reported_at: float
    members: list[Member]


@dataclass(frozen=True)
class _Choice:
    chosen_at: float
    member: Member


class Coordinators:
    """Finds the coordinator of an endpoint, the same one on every router.

    Rendezvous hashing selects it among the coordinators of the endpoint's zone. There
    is no election: each router excludes a coordinator that does not reply to it. While
    an endpoint has two coordinators, each counts only a part of its load.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._choices: dict[str, _Choice] = {}
        self._missed_replies: dict[str, int] = {}
        self._excluded_until: dict[str, float] = {}
        self._zone_coordinators: dict[str, _ZoneCoordinators] = {}

    def set_zone_coordinators(self, coordinators: Sequence[Member]) -> None:
        """Set the routers that coordinate the endpoints of a zone."""
        if coordinators:
            self._zone_coordinators[coordinators[0].zone] = _ZoneCoordinators(
                self._now(), list(coordinators)
            )

    def for_zone(self, zone: str) -> list[Member]:
        """Return the routers that coordinate the endpoints of a zone."""
        own = self._members.own
        reported = self._zone_coordinators.get(zone)
        fresh = (
            reported is not None
            and self._now() - reported.reported_at <= ZONE_COORDINATORS_TTL_SECONDS
        )
        if zone == own.zone:
            members = [*self._members.alive, own]
        elif reported is not None and fresh:
            members = reported.members
        else:
            members = self._members.peers
        accepting = [
            member
            for member in members
            if member.zone == zone and member.state is not MemberState.LEAVING
        ]
        return sorted(accepting, key=rank)[:COORDINATORS_PER_ZONE]

    def for_endpoint(self, endpoint: Endpoint) -> Member | None:
        """Return the coordinator of an endpoint; None if all are excluded."""
        now = self._now()
        choice = self._choices.get(endpoint.id)
        if choice is not None and now - choice.chosen_at < CHOICE_CACHE_SECONDS:
            return choice.member
        candidates = [
            m for m in self._zone_candidates(endpoint) if not self._is_excluded(m)
        ]
        if not candidates:
            return None
        member = min(candidates, key=lambda m: _rendezvous_hash(endpoint.id, m.vm))
        self._choices[endpoint.id] = _Choice(now, member)
        return member

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Drop the state of endpoints that no longer exist."""
        retained = set(endpoints)
        self._choices = {n: c for n, c in self._choices.items() if n in retained}

    async def wait_for_reply(
        self, member: Member, replies: Replies[ReplyT], sequence: int
    ) -> ReplyT | None:
        """Return a router's reply to a query and record whether it arrived.

        Returns None if it did not arrive in time.
        """
        same_region = member.region == self._members.own.region
        timeout = (
            SAME_REGION_REPLY_TIMEOUT_SECONDS
            if same_region
            else OTHER_REGION_REPLY_TIMEOUT_SECONDS
        )
        reply = await replies.wait(sequence, timeout)
        if reply is None:
            self._record_missed_reply(member)
        else:
            self._missed_replies.pop(member.vm, None)
        return reply

    def _record_missed_reply(self, member: Member) -> None:
        """Exclude a router that did not reply to some queries in a row."""
        missed_replies = self._missed_replies.get(member.vm, 0) + 1
        self._missed_replies[member.vm] = missed_replies
        if missed_replies < MISSED_REPLY_LIMIT:
            return
        del self._missed_replies[member.vm]
        self._excluded_until[member.vm] = self._now() + COORDINATOR_EXCLUSION_SECONDS
        self._choices.clear()
        _log.info("router does not admit", vm=member.vm, unanswered=missed_replies)

    def _zone_candidates(self, endpoint: Endpoint) -> list[Member]:
        """Return the coordinators of the endpoint's zone, else of another zone."""
        candidates = self.for_zone(endpoint.zone)
        if candidates:
            return candidates
        own = self._members.own
        zones = {m.zone for m in [*self._members.peers, own]}
        return self.for_zone(min(zones, key=lambda z: _rendezvous_hash(endpoint.id, z)))

    def _is_excluded(self, member: Member) -> bool:
        return self._excluded_until.get(member.vm, 0.0) > self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _rendezvous_hash(endpoint: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{endpoint}\0{name}".encode())
