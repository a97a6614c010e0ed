"""Choose which new connections another router of the zone should serve."""

import asyncio
import random
from collections import Counter
from typing import Protocol

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.addresses import spare_cores
from teaselledge_fleet.process.busyness import HIGH_UTILISATION
from teaselledge_fleet.process.members import Member, Members
from teaselledge_fleet.relaying.silence import SilentRouters

__all__ = ["UtilisationSource", "ConnectionOffloader"]

_log = get_log("offloading")

FULL_OFFLOAD_UTILISATION = 0.75
"""Utilisation from which a router offloads all new connections.

The rest of its CPU time is for the requests it has and for relaying.
"""

MAX_CANDIDATE_UTILISATION = 0.8
"""Utilisation up to which a router gets connections of others, in proportion to what
it has left. It refuses those that it has no time for."""

CANDIDATE_CACHE_SECONDS = 0.1
"""Time for which the candidates are cached.

Routers report their utilisation every 0.25 to 0.4 s."""

CANDIDATE_TTL_SECONDS = 10.0
"""Time for which the last candidates are retained if no peer appears ready.

An overloaded router reads the messages of others late, so all of them appear silent
just when it needs them. A candidate that is really gone costs one offer without an
answer.
"""

LOG_INTERVAL_SECONDS = 1.0


class UtilisationSource(Protocol):
    """Provides the utilisation of a router."""

    @property
    def peak_utilisation(self) -> float:
        """Fraction of the CPU time that is used, 0 to 1, or lately if it is higher."""


class ConnectionOffloader:
    """Chooses routers to which this one offloads connections under high utilisation.

    All callers of an organisation in a zone may connect to one router, whichever
    addresses are advertised. It can't serve them alone, and if it refused them they
    would return to it while its peers have room.

    Parameters
    ----------
    members : Members
        The routers.

    Attributes
    ----------
    silent : SilentRouters
        Routers that have given no answer; no connection is offloaded to them.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._candidates: list[Member] = []
        self._checked_at = -CANDIDATE_CACHE_SECONDS
        self._peers_seen_at = -CANDIDATE_TTL_SECONDS
        self._offloaded: Counter[str] = Counter()
        self._logged_at = 0.0
        self.silent = SilentRouters(members)

    def choose(self, source: UtilisationSource) -> str | None:
        """Return the relay address for a new connection; None to serve it here."""
        offload_fraction = (source.peak_utilisation - HIGH_UTILISATION) / (
            FULL_OFFLOAD_UTILISATION - HIGH_UTILISATION
        )
        if offload_fraction <= 0.0 or random.random() >= offload_fraction:
            return None
        candidates = [
            member for member in self.candidates if not self.silent.contains(member)
        ]
        if not candidates:
            return None
        weights = [spare_cores(member) for member in candidates]
        return random.choices(candidates, weights)[0].relay_address

    @property
    def candidates(self) -> list[Member]:
        """The peers in the zone that have CPU time left."""
        now = asyncio.get_running_loop().time()
        if now - self._checked_at < CANDIDATE_CACHE_SECONDS:
            return self._candidates
        self._checked_at = now
        own = self._members.own
        zone_peers = [
            member
            for member in self._members.ready
            if member.zone == own.zone and member.vm != own.vm and member.relay_address
        ]
        if zone_peers or now - self._peers_seen_at > CANDIDATE_TTL_SECONDS:
            self._peers_seen_at = now
            self._candidates = [
                peer
                for peer in zone_peers
                if peer.utilisation < MAX_CANDIDATE_UTILISATION
            ]
        return self._candidates

    def record_offload(self, router: str) -> None:
        """Count an offloaded connection, for the log."""
        self._offloaded[router] += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            vms = {member.relay_address: member.vm for member in self._candidates}
            routers = {vms.get(r, r): n for r, n in self._offloaded.items()}
            _log.info("connections passed on", routers=routers)
            self._offloaded.clear()
