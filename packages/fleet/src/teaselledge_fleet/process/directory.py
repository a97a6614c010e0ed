"""Which endpoints keep which shared parts of prompts."""

import asyncio
from collections import OrderedDict

__all__ = ["PrefixDirectory"]

HOLDER_TTL_SECONDS = 30.0
"""Time for which an engine is taken to keep a part after its last use.

At full load an engine's memory is written anew within 8 s: 450,000 to 650,000 tokens,
a third of them held by running requests, at 40,000 to 50,000 tokens a second. On a
quiet day it takes longer. An engine that has dropped the part copies or reads it, as
any other one would; one that is not taken to keep it looks busier than it is.
"""

CLAIM_TTL_SECONDS = 0.5
"""Time for which an engine that is about to be given a part is taken to keep it.

Of requests that come together, only the first one reads the part; if that one is
refused or lost, its claim must not mislead for long.
"""

MAX_PREFIXES = 4000
"""Parts that are remembered; each takes about 300 bytes."""


class PrefixDirectory:
    """Remembers on which endpoints parts of prompts were used lately.

    Parts and endpoints are named by `name_hash` of their ids.
    """

    def __init__(self) -> None:
        self._used: OrderedDict[int, dict[int, float]] = OrderedDict()

    def record_use(self, part: int, endpoint: int) -> None:
        """Note that an endpoint was given a prompt with the part."""
        self._note(part, endpoint, self._now())

    def find_or_claim(self, part: int, first_choice: int) -> list[int]:
        """Return the holders of a part; without any, its first choice becomes one."""
        found = self.holders(part)
        if not found:
            at = self._now() - HOLDER_TTL_SECONDS + CLAIM_TTL_SECONDS
            self._note(part, first_choice, at)
        return found

    def _note(self, part: int, endpoint: int, at: float) -> None:
        uses = self._used.setdefault(part, {})
        self._used.move_to_end(part)
        uses.pop(endpoint, None)
        uses[endpoint] = at
        while len(self._used) > MAX_PREFIXES:
            self._used.popitem(last=False)

    def holders(self, part: int) -> list[int]:
        """Return the endpoints that are likely to keep a part, the latest first."""
        uses = self._used.get(part)
        if uses is None:
            return []
        oldest = self._now() - HOLDER_TTL_SECONDS
        for endpoint in [name for name, at in uses.items() if at < oldest]:
            del uses[endpoint]
        return list(reversed(uses))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
