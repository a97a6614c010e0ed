"""Which routers have left an offer or a request without an answer."""

import asyncio
from collections.abc import Callable

from teaselledge_fleet.process.members import Member, Members

__all__ = ["SilentRouters"]


class SilentRouters:
    """Routers that get no connection before they are heard of again.

    Parameters
    ----------
    members : Members
        The routers, and when each of them was last heard of.
    clock : callable, optional
        Returns the loop time.
    """

    def __init__(
        self, members: Members, clock: Callable[[], float] | None = None
    ) -> None:
        self._members = members
        self._clock = clock or (lambda: asyncio.get_running_loop().time())
        self._silent_since: dict[str, float] = {}

    def record(self, relay_address: str) -> None:
        """Record that the router with this address for relays gave no answer."""
        for member in self._members.peers:
            if member.relay_address == relay_address:
                self._silent_since[member.vm] = self._clock()

    def contains(self, member: Member) -> bool:
        """Whether a router has given no answer, and no sign of life since."""
        since = self._silent_since.get(member.vm)
        if since is None:
            return False
        liveness = self._members.liveness(member.vm)
        if liveness is None or self._clock() - liveness.age <= since:
            return True
        del self._silent_since[member.vm]
        return False
