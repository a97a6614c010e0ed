"""Track which endpoints have which prompt prefixes cached."""

import asyncio
from collections import OrderedDict

__all__ = ["PrefixDirectory"]

HOLDER_TTL_SECONDS = 30.0
"""Time for which an engine is assumed to have a prefix cached after its last use.

At full load an engine's cache is replaced within 8 s: 450,000 to 650,000 tokens, a
third of them held by running requests, at 40,000 to 50,000 tokens a second. On a quiet
day it takes longer. An engine that has evicted the prefix copies or computes it, as any
other would; one that wrongly counts as not having it appears more loaded than it is.
"""

CLAIM_TTL_SECONDS = 0.5
"""Time for which the first choice of a new prefix is assumed to have it cached.

Of concurrent requests, only the first computes the prefix; if that one is refused or
lost, its claim must not mislead other requests for long.
"""

MAX_PREFIXES = 4000
"""Maximum number of prefixes in the directory; each takes about 300 bytes."""


class PrefixDirectory:
    """Maps prefixes to the endpoints that used them recently.

    Prefixes and endpoints are identified by the `name_hash` of their ids.
    """

    def __init__(self) -> None:
        self._uses: OrderedDict[int, dict[int, float]] = OrderedDict()

    def record_use(self, prefix: int, endpoint: int) -> None:
        """Record that a prompt with the prefix was sent to an endpoint."""
        self._store_use(prefix, endpoint, self._now())

    def find_or_claim(self, prefix: int, first_choice: int) -> list[int]:
        """Return the holders of a prefix; without any, the first choice becomes one."""
        holders = self.holders(prefix)
        if not holders:
            used_at = self._now() - HOLDER_TTL_SECONDS + CLAIM_TTL_SECONDS
            self._store_use(prefix, first_choice, used_at)
        return holders

    def _store_use(self, prefix: int, endpoint: int, used_at: float) -> None:
        uses = self._uses.setdefault(prefix, {})
        self._uses.move_to_end(prefix)
        uses.pop(endpoint, None)
        uses[endpoint] = used_at
        while len(self._uses) > MAX_PREFIXES:
            self._uses.popitem(last=False)

    def holders(self, prefix: int) -> list[int]:
        """Return the endpoints that are likely to cache a prefix, latest use first."""
        uses = self._uses.get(prefix)
        if uses is None:
            return []
        oldest = self._now() - HOLDER_TTL_SECONDS
        for endpoint in [name for name, used_at in uses.items() if used_at < oldest]:
            del uses[endpoint]
        return list(reversed(uses))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
