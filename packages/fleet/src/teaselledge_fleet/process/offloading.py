"""Which new connections another router of the zone should serve."""

import asyncio
import random
from collections import Counter
from typing import Protocol

from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.addresses import spare_cores
from teaselledge_fleet.process.busyness import HIGH_UTILISATION
from teaselledge_fleet.process.members import Member, Members

__all__ = ["UtilisationSource", "ConnectionOffloader"]

_log = get_log("offloading")

FULL_OFFLOAD_UTILISATION = 0.75
"""Part of its processor time from which on a router passes all new connections on.

The rest is for the requests that it has and for passing on.
"""

REMEMBERED_SECONDS = 0.1
"""Time for which the candidates are not looked for again; routers tell how busy they
are each 0.25 to 0.4 s."""

CANDIDATE_TTL_SECONDS = 10.0
"""Time for which the last candidates are kept where none is left.

A crowded router reads the messages of others late, and all of them look silent to it
just when it needs them. One that has really gone costs a try to connect.
"""

LOG_SECONDS = 1.0


class UtilisationSource(Protocol):
    """How much of its processor time a router uses."""

    @property
    def utilisation(self) -> float:
        """The part that is used, 0 to 1."""


class ConnectionOffloader:
    """Chooses routers that take over connections while this one is crowded.

    All callers of an organisation in a zone may connect to one router, whichever
    addresses they are told. It can't serve them alone, and refused here they would come
    back here, while its neighbours have time.

    Parameters
    ----------
    members : Members
        The routers.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._candidates: list[Member] = []
        self._looked_at = -REMEMBERED_SECONDS
        self._found_at = -CANDIDATE_TTL_SECONDS
        self._passed_on: Counter[str] = Counter()
        self._logged_at = 0.0

    def choose(self, load: UtilisationSource) -> str | None:
        """Return where a new connection goes; None where it stays here."""
        part = (load.utilisation - HIGH_UTILISATION) / (
            FULL_OFFLOAD_UTILISATION - HIGH_UTILISATION
        )
        if part <= 0.0 or random.random() >= part:
            return None
        candidates = self._find()
        if not candidates:
            return None
        weights = [spare_cores(member) for member in candidates]
        return random.choices(candidates, weights)[0].relay_address

    def _find(self) -> list[Member]:
        """Return routers of the zone that are not crowded themselves."""
        now = asyncio.get_running_loop().time()
        if now - self._looked_at < REMEMBERED_SECONDS:
            return self._candidates
        self._looked_at = now
        own = self._members.own
        zone_peers = [
            member
            for member in self._members.ready
            if member.zone == own.zone and member.vm != own.vm and member.relay_address
        ]
        if zone_peers or now - self._found_at > CANDIDATE_TTL_SECONDS:
            self._found_at = now
            self._candidates = [
                peer for peer in zone_peers if peer.utilisation < HIGH_UTILISATION
            ]
        return self._candidates

    def record_offload(self, router: str) -> None:
        """Count a connection that is passed on, for the log."""
        self._passed_on[router] += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged_at >= LOG_SECONDS:
            self._logged_at = now
            vms = {member.relay_address: member.vm for member in self._candidates}
            routers = {vms.get(r, r): n for r, n in self._passed_on.items()}
            _log.info("connections passed on", routers=routers)
            self._passed_on.clear()
