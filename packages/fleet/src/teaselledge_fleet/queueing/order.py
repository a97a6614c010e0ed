"""Order of the requests that wait for an engine.

While callers compete for engines, the order of a queue decides who is served. The
coordinator of an engine knows the fleet's usage by organisation and what it has granted
itself a moment ago, and puts the least served organisation first. Within one
organisation, urgent requests precede others, and then the earliest latest start is
first, so that short requests are not held behind long ones.
"""

import math
from collections import defaultdict, deque

__all__ = ["OrderKey", "RecentGrants", "served_step"]

OrderKey = tuple[int, int, float]
"""Step of the served share, priority and latest start; the smallest is first."""

STEPS_PER_SHARE = 10
"""Steps of the served part of a share. Usage as seen by two routers differs by about a
tenth, and finer steps would make the order within a step irrelevant."""

GRANT_MEMORY_SECONDS = 0.5
"""Time after which a grant is included in the usage that routers report: they send two
heartbeats a second."""


def served_step(allocated: float, level: float) -> int:
    """Return the part of its share that an organisation was allocated, in steps.

    It is 0 for all while all requests fit, as the level is infinite then.
    """
    if not level or math.isinf(level):
        return 0
    return int(STEPS_PER_SHARE * allocated / level)


class RecentGrants:
    """Tokens that a coordinator has granted and that reports do not yet include."""

    def __init__(self) -> None:
        self._grants: deque[tuple[float, int, int]] = deque()
        self._tokens: defaultdict[int, int] = defaultdict(int)

    def add(self, organisation_hash: int, tokens: int, now: float) -> None:
        """Count a grant."""
        self._grants.append((now, organisation_hash, tokens))
        self._tokens[organisation_hash] += tokens

    def tokens(self, organisation_hash: int, now: float) -> int:
        """Return the tokens that were granted to an organisation lately."""
        while self._grants and now - self._grants[0][0] >= GRANT_MEMORY_SECONDS:
            _, expired, tokens = self._grants.popleft()
            self._tokens[expired] -= tokens
            if not self._tokens[expired]:
                del self._tokens[expired]
        return self._tokens.get(organisation_hash, 0)
