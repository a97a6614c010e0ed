"""Progress of the prompt that an engine is prefilling now.

Routers report a prompt's whole prefill until its response has begun, so reports alone
show the backlog up to one prompt too long, and the engine would run idle before the
next place is granted. The coordinator knows when the sum of the reports last fell, and
assumes that the engine has worked on the next prompt since.
"""

__all__ = ["PrefillProgress"]

MAX_PROGRESS_SECONDS = 0.15
"""Longest progress that is assumed without a report: that of one long prompt. An engine
that does not respond shows no decrease, and must get no further prompts."""

START_LAG_SECONDS = 0.05
"""Time from the end of a prefill until the coordinator knows that the response has
begun: a step of the engine, the first event, and the interval of reports."""

MIN_CHANGE_SECONDS = 0.0005
"""Change that is no rounding of reported milliseconds."""


class PrefillProgress:
    """Estimates how much of an engine's reported prefill is done already."""

    def __init__(self) -> None:
        self._reported = 0.0
        self._began_at = 0.0

    def observe(self, prefill_seconds: float, now: float) -> None:
        """Record the sum of the reported prefill at the engine."""
        if prefill_seconds < self._reported - MIN_CHANGE_SECONDS:
            self._began_at = now - START_LAG_SECONDS
        elif self._reported < MIN_CHANGE_SECONDS:
            self._began_at = now
        self._reported = prefill_seconds

    def add(self, prefill_seconds: float, now: float) -> None:
        """Record a grant, which adds to the sum."""
        self.observe(self._reported + prefill_seconds, now)

    def rebase(self, prefill_seconds: float) -> None:
        """Replace the sum after a change that tells nothing about progress."""
        self._reported = prefill_seconds

    def seconds(self, now: float) -> float:
        """Return the time for which the engine has worked on the first prompt."""
        if self._reported < MIN_CHANGE_SECONDS:
            return 0.0
        return min(MAX_PROGRESS_SECONDS, now - self._began_at)

    def seconds_left(self, now: float) -> float:
        """Return for how long the progress grows without a report."""
        return max(0.0, MAX_PROGRESS_SECONDS - (now - self._began_at))
