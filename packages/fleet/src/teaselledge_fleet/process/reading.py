"""How long a model engine reads a prompt."""

__all__ = ["reading_seconds"]

TOKENS_PER_SECOND = 93_000.0
"""Prompt tokens that an engine reads, were there nothing before them."""

SECONDS_PER_PAIR = 4.4e-10
"""Besides, each token read looks back on all tokens before it."""


def reading_seconds(tokens: int, unread: int) -> float:
    """Return how long an engine reads the last tokens of a prompt."""
    before = tokens - unread / 2
    return unread / TOKENS_PER_SECOND + unread * before * SECONDS_PER_PAIR
