"""Software versions of the engines of a service that served lately."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable

from teaselledge_fleet.process.endpoints import Endpoint

__all__ = ["VersionHistory"]

HISTORY_SECONDS = 60.0
"""Time for which a version counts after its last engine has left. A stream that it
began may still be taken up."""


class VersionHistory:
    """Tells whether a stream of unknown origin can only be of one version.

    Parameters
    ----------
    clock : callable, optional
        Returns the loop time.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self._clock = clock or (lambda: asyncio.get_running_loop().time())
        self._seen_at: defaultdict[str, dict[str, float]] = defaultdict(dict)
        """Time at which each version of each service was seen last."""
        self._first_seen_at: dict[str, float] = {}
        self._present: set[tuple[str, str]] = set()
        """Service and version of the endpoints that existed at the last update."""

    def update(self, endpoints: Iterable[Endpoint]) -> None:
        """Record the versions of all endpoints that exist, after each change of them.

        Those of the last update existed until now.
        """
        now = self._clock()
        present = {(each.service, each.version) for each in endpoints}
        for service, version in self._present | present:
            self._seen_at[service][version] = now
            self._first_seen_at.setdefault(service, now)
        self._present = present

    def only_version(self, service: str) -> str | None:
        """Return the version of a service if it certainly had just one, else None.

        Until the service has been known for as long as a version counts, another one
        may have begun streams before.
        """
        now = self._clock()
        if now - self._first_seen_at.get(service, now) < HISTORY_SECONDS:
            return None
        recent = [
            version
            for version, seen_at in self._seen_at.get(service, {}).items()
            if (service, version) in self._present or now - seen_at <= HISTORY_SECONDS
        ]
        return recent[0] if len(recent) == 1 else None
