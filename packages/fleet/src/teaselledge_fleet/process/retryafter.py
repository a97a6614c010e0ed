"""When refused callers should return.

Answers overload, in which callers that all return at once cause the next backlog.
"""

import random
from collections.abc import Sequence

__all__ = ["retry_after_refusal", "retry_without_endpoint"]

MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 1.2
"""Range from which the delay of refused callers is drawn uniformly.

Engines process a backlog as long as the limit on queueing time (`waiting.py`) within
0.4 s."""

NO_ENDPOINT_RETRY_SECONDS = 0.5
"""Delay without any endpoint; the row of a new one arrives within that time."""


def retry_after_refusal(share_seconds: float = 0.0) -> float:
    """Return the delay of a caller whose request would have waited too long.

    Parameters
    ----------
    share_seconds : float
        Time until its organisation is within its share, up to the length of the sliding
        window (`shares.py`); 0 if it is. The request would be refused again before.
    """
    return random.uniform(
        MIN_RETRY_AFTER_SECONDS, max(MAX_RETRY_AFTER_SECONDS, share_seconds)
    )


def retry_without_endpoint(pauses: Sequence[float]) -> float:
    """Return the delay of a caller for whose request no endpoint is left.

    Parameters
    ----------
    pauses : sequence of float
        Seconds for which endpoints want no requests. The first one whose pause ends
        would get all callers at once, so they return within some time after it.
    """
    if not pauses:
        return NO_ENDPOINT_RETRY_SECONDS
    return min(pauses) + random.uniform(0.0, NO_ENDPOINT_RETRY_SECONDS)
