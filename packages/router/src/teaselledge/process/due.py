"""Comparison of loop times for the work of periodic tasks."""

__all__ = ["is_due"]

SLACK_SECONDS = 0.005
"""Time by which a tick may be early and still do the work that is due."""


def is_due(now: float, at: float) -> bool:
    """Return whether work that is scheduled for a loop time is due."""
    return now >= at - SLACK_SECONDS
