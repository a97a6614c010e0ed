"""Which router admits requests to an endpoint."""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import xxhash

from teaselledge_fleet.connection.replies import PendingReplies
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.members import Member, Members, MemberState
from teaselledge_fleet.process.topology import rank

__all__ = ["Coordinators"]

_log = get_log("admission")

ReplyT = TypeVar("ReplyT")

COORDINATORS_PER_ZONE = 4
"""Routers of a zone that admit to its endpoints.

All routers must know them by address, 90 bytes each. In a fleet of 89 routers and 1,500
requests a second each of 24 is asked 60 times a second, about 2 KB/s.
"""

TOLD_SECONDS = 25.0
"""Time for which a zone's routers, as told, are taken for those that admit. They are
told each 0.8 s times the zones."""

REMEMBERED_SECONDS = 0.3
"""Time for which a choice is not made again; membership changes in about 1 s."""

MISSES = 2
"""Questions in a row without an answer, before another router is asked.

One datagram of 30 is lost on a bad link, and a change of router for an endpoint
makes both count a part of its work for a moment.
"""

SILENT_SECONDS = 3.0
"""Time for which a router that did not answer is not asked; most troubles of a VM
last 2 to 6 s, and each try costs some requests 50 to 100 ms."""


NEAR_SECONDS = 0.05
FAR_SECONDS = 0.1
"""Time for an answer from the own region and from another: 3 and 40 ms on the way, and
up to 40 ms in the queues of two busy processes. A request that got none is decided by
what was heard before."""


@dataclass(frozen=True)
class _Told:
    at: float
    members: list[Member]


@dataclass(frozen=True)
class _Choice:
    at: float
    member: Member


class Coordinators:
    """Finds the router that admits to an endpoint, the same one on every router.

    It is the first by a hash of some in the endpoint's zone. Nobody is appointed: a
    router that does not answer is passed over by all who ask it, each by itself, and
    two routers that admit for one endpoint for a moment each count a part.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._choices: dict[str, _Choice] = {}
        self._misses: dict[str, int] = {}
        self._silent: dict[str, float] = {}
        self._told: dict[str, _Told] = {}

    def set_zone_coordinators(self, admitting: Sequence[Member]) -> None:
        """Take which routers of a zone admit to its endpoints."""
        if admitting:
            self._told[admitting[0].zone] = _Told(self._now(), list(admitting))

    def for_zone(self, zone: str) -> list[Member]:
        """Return the routers that admit to the endpoints of a zone."""
        own = self._members.own
        told = self._told.get(zone)
        fresh = told is not None and self._now() - told.at <= TOLD_SECONDS
        if zone == own.zone:
            members = [*self._members.alive, own]
        elif told is not None and fresh:
            members = told.members
        else:
            members = self._members.peers
        taking = [
            member
            for member in members
            if member.zone == zone and member.state is not MemberState.LEAVING
        ]
        return sorted(taking, key=rank)[:COORDINATORS_PER_ZONE]

    def for_endpoint(self, endpoint: Endpoint) -> Member | None:
        """Return the router that admits to an endpoint, None where none answers."""
        now = self._now()
        choice = self._choices.get(endpoint.id)
        if choice is not None and now - choice.at < REMEMBERED_SECONDS:
            return choice.member
        candidates = [m for m in self._near(endpoint) if not self._is_silent(m)]
        if not candidates:
            return None
        member = min(candidates, key=lambda m: _order(endpoint.id, m.vm))
        self._choices[endpoint.id] = _Choice(now, member)
        return member

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Forget endpoints that are gone."""
        kept = set(endpoints)
        self._choices = {n: c for n, c in self._choices.items() if n in kept}

    async def wait_for_reply(
        self, member: Member, replies: PendingReplies[ReplyT], sequence: int
    ) -> ReplyT | None:
        """Wait for a router's answer to a question, and note whether it came.

        None where it did not come in time.
        """
        near = member.region == self._members.own.region
        seconds = NEAR_SECONDS if near else FAR_SECONDS
        answer = await replies.wait(sequence, seconds)
        if answer is None:
            self._miss(member)
        else:
            self._misses.pop(member.vm, None)
        return answer

    def _miss(self, member: Member) -> None:
        """Pass over a router that did not answer some questions in a row."""
        misses = self._misses.get(member.vm, 0) + 1
        self._misses[member.vm] = misses
        if misses < MISSES:
            return
        del self._misses[member.vm]
        self._silent[member.vm] = self._now() + SILENT_SECONDS
        self._choices.clear()
        _log.info("router does not admit", vm=member.vm, unanswered=misses)

    def _near(self, endpoint: Endpoint) -> list[Member]:
        """Return the routers that admit in the endpoint's zone, or the next one."""
        found = self.for_zone(endpoint.zone)
        if found:
            return found
        own = self._members.own
        zones = {m.zone for m in [*self._members.peers, own]}
        return self.for_zone(min(zones, key=lambda z: _order(endpoint.id, z)))

    def _is_silent(self, member: Member) -> bool:
        return self._silent.get(member.vm, 0.0) > self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _order(endpoint: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{endpoint}\0{name}".encode())
