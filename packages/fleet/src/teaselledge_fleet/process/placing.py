"""Choose the endpoint for each attempt."""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass

import xxhash
from expression import Error, Ok, Result
from teaselledge_wire.gen.fleet.ttypes import EndpointWork, OrganisationUse

from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.process.endpoints import Endpoint, EndpointView
from teaselledge_fleet.request.serving import Journey, Outcome

__all__ = ["LocalPlacer"]

SUSPECT_SECONDS = 1.0
"""Time for which an endpoint that could not be reached is avoided."""

BALANCE = 1.5
"""Most work at the preferred endpoint, relative to the mean of its service."""


@dataclass
class _Load:
    running: int = 0
    unread: int = 0
    suspect_until: float = 0.0


class LocalPlacer:
    """Decides by what this router has under way alone."""

    def __init__(self, view: EndpointView) -> None:
        self._view = view
        self._loads: defaultdict[str, _Load] = defaultdict(_Load)
        self._unread: dict[tuple[str, str], int] = {}

    async def place(self, journey: Journey) -> Result[Endpoint, Fault]:
        """Return the endpoint for the next attempt."""
        now = asyncio.get_running_loop().time()
        endpoints = self._view.of_service(journey.service)
        usable = [e for e in endpoints if self._loads[e.id].suspect_until < now]
        fresh = [e for e in usable or endpoints if e.id not in journey.tried]
        if not fresh:
            return Error(Fault(FaultKind.NO_ENDPOINT, 0.5))
        chosen = self._choose(journey, fresh)
        load = self._loads[chosen.id]
        load.running += 1
        prompt = journey.call.prompt
        unread = prompt.tokens if prompt is not None else 0
        load.unread += unread
        self._unread[journey.call.id, chosen.id] = unread
        return Ok(chosen)

    def began(self, journey: Journey, endpoint: Endpoint) -> None:
        """Note the first part of an answer."""
        unread = self._unread.get((journey.call.id, endpoint.id), 0)
        self._loads[endpoint.id].unread -= unread
        self._unread[journey.call.id, endpoint.id] = 0

    def ended(self, journey: Journey, endpoint: Endpoint, outcome: Outcome) -> None:
        """Note the end of an attempt."""
        load = self._loads[endpoint.id]
        load.running -= 1
        load.unread -= self._unread.pop((journey.call.id, endpoint.id), 0)
        if outcome in (Outcome.UNSENT, Outcome.LOST):
            now = asyncio.get_running_loop().time()
            load.suspect_until = now + SUSPECT_SECONDS

    def tell_work(self) -> list[EndpointWork]:
        """Return what this router has under way."""
        return []

    def tell_uses(self) -> list[OrganisationUse]:
        """Return what organisations received here."""
        return []

    def hear(
        self, vm: str, work: list[EndpointWork], uses: list[OrganisationUse]
    ) -> None:
        """Take the same from another router."""

    def _choose(self, journey: Journey, endpoints: list[Endpoint]) -> Endpoint:
        prompt = journey.call.prompt
        if prompt is None or not prompt.parts:
            return min(
                endpoints, key=lambda e: (self._loads[e.id].running, random.random())
            )
        shared = prompt.parts[-2] if len(prompt.parts) > 1 else prompt.parts[-1]
        ranked = sorted(endpoints, key=lambda e: _rank(shared.id, e.id))
        mean = sum(self._loads[e.id].unread for e in ranked) / len(ranked)
        bound = BALANCE * mean + prompt.tokens
        for endpoint in ranked:
            if self._loads[endpoint.id].unread <= bound:
                return endpoint
        return ranked[0]


def _rank(part: str, endpoint: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{part}\0{endpoint}".encode())
