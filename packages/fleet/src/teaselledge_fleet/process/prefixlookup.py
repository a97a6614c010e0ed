"""Find the engines that have the shared prefix of a prompt cached."""

from dataclasses import replace
from typing import Protocol

from teaselledge_fleet.process.choosing import PromptRequirements
from teaselledge_fleet.process.directory import PrefixDirectory
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.work import name_hash
from teaselledge_fleet.request.context import RequestContext

__all__ = ["Locator", "PrefixLookup"]

MIN_LOOKUP_TOKENS = 1000
"""Minimum length of a shared prefix for which the fleet's directory is queried.

The prefill of fewer tokens takes an engine less than 15 ms. Query and copy together
take about as long, unless the queried coordinator is in another region: that round trip
alone takes 40 ms.
"""


class Locator(Protocol):
    """Finds the endpoints that have a shared prefix cached.

    The first choice is the first endpoint in the prefix's rendezvous order.
    """

    async def locate(self, prefix: str, first_choice: Endpoint) -> list[int] | None:
        """Return their hashes, most recently used first; None if there is no reply."""

    def report_use(
        self, prefix: str, first_choice: Endpoint, endpoint: Endpoint
    ) -> None:
        """Report that a prompt with the prefix was sent to an endpoint."""


class _NoLocator:
    async def locate(self, prefix: str, first_choice: Endpoint) -> list[int] | None:
        return None

    def report_use(
        self, prefix: str, first_choice: Endpoint, endpoint: Endpoint
    ) -> None:
        pass


class PrefixLookup:
    """Looks up which engines cache a prefix, in the fleet's directory or in its own.

    Attributes
    ----------
    locator : Locator
        Client of the fleet's directory.
    """

    def __init__(self) -> None:
        self._local_prefixes = PrefixDirectory()
        """Own placements of prefixes, used if the fleet's directory gives no reply."""
        self.locator: Locator = _NoLocator()

    async def requirements(
        self, context: RequestContext, endpoints: list[Endpoint]
    ) -> PromptRequirements:
        """Return the prompt's requirements with the engines that cache its prefix."""
        requirements = PromptRequirements.from_context(context, endpoints)
        if requirements.prefix_id is None:
            return requirements
        first_choice = requirements.ranked_engines[0]
        holders = None
        if requirements.prefix_tokens >= MIN_LOOKUP_TOKENS:
            holders = await self.locator.locate(requirements.prefix_id, first_choice)
        if holders is None:
            # without a directory, assume that the first choice has the prefix cached
            holders = [
                *self._local_prefixes.holders(name_hash(requirements.prefix_id)),
                name_hash(first_choice.id),
            ]
        return replace(requirements, holders=tuple(holders))

    def record_use(self, requirements: PromptRequirements, endpoint: Endpoint) -> None:
        """Record that the prompt is sent to an engine, which then caches its prefix."""
        if requirements.prefix_id is None:
            return
        self._local_prefixes.record_use(
            name_hash(requirements.prefix_id), name_hash(endpoint.id)
        )
        if requirements.prefix_tokens >= MIN_LOOKUP_TOKENS:
            self.locator.report_use(
                requirements.prefix_id, requirements.ranked_engines[0], endpoint
            )
