"""Limit of the hedges of one service by the requests that this router has sent.

If all endpoints of a service slow down, all of its requests look late. The limit holds
without communication: each router earns its hedges by its own requests and starts with
none, so that no fleet of routers exceeds the fraction, whatever fails or restarts.
"""

from dataclasses import dataclass

__all__ = ["HedgeLimit"]

MAX_SAVED_HEDGES = 1.0
"""Hedges that a router may save up. A quiet service would otherwise pay for a burst at
all routers at once."""


@dataclass
class HedgeLimit:
    """Hedges that a router may still send to a service.

    In any window it sends at most the fractions of what it sent first in the window,
    plus one hedge, and one of the largest prompts.

    Attributes
    ----------
    request_fraction, token_fraction : float
        Hedges for each request, and prompt tokens of hedges for each token of requests.
    hedges, tokens : float
        Hedges and prompt tokens that may be sent now.
    max_tokens : int
        Tokens of the largest prompt so far, and of which `tokens` is a part.
    """

    request_fraction: float
    token_fraction: float
    hedges: float = 0.0
    tokens: float = 0.0
    max_tokens: int = 0

    def record_request(self, tokens: int) -> None:
        """Count a request that is sent for the first time."""
        self.max_tokens = max(self.max_tokens, tokens)
        self.hedges = min(MAX_SAVED_HEDGES, self.hedges + self.request_fraction)
        self.tokens = min(
            float(self.max_tokens), self.tokens + self.token_fraction * tokens
        )

    def record_hedge(self, tokens: int) -> None:
        """Count a hedge."""
        self.hedges -= 1.0
        self.tokens -= tokens
