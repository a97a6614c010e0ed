"""Decide when a task that has ended starts again."""

from dataclasses import dataclass

__all__ = ["RestartDelay"]

FIRST_DELAY_SECONDS = 0.1
"""Less than the time after which a router without heartbeats looks silent."""

MAX_DELAY_SECONDS = 2.0
STABLE_SECONDS = 10.0
"""Time for which a task must have run for its next restart to count as the first."""


@dataclass(frozen=True)
class RestartDelay:
    """Delay before the restart of a task.

    Attributes
    ----------
    seconds : float
        Time from the end of the task until its restart; 0 if it has not ended yet.
    """

    seconds: float = 0.0

    def after_run(self, ran_seconds: float) -> "RestartDelay":
        """Return the delay after a run of the task that lasted some time."""
        if not self.seconds or ran_seconds >= STABLE_SECONDS:
            return RestartDelay(FIRST_DELAY_SECONDS)
        return RestartDelay(min(MAX_DELAY_SECONDS, 2 * self.seconds))
