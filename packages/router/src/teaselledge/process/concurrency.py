"""Adaptive limit of the concurrent requests of an endpoint."""

from dataclasses import dataclass

__all__ = ["ConcurrencyLimit", "ConcurrencyConfig"]


@dataclass(frozen=True)
class ConcurrencyConfig:
    """Parameters of the adaptation of the limit.

    Attributes
    ----------
    tolerance : float
        Factor on the best pace above which an endpoint may be overloaded.
    samples : int
        Number of requests that a trial measures.
    min_throughput_kept : float
        Minimum throughput of a lower limit, relative to the previous one.
    min_throughput_gain : float
        Minimum throughput of a higher limit, relative to the previous one.
    pause_seconds : float
        Time between a failed trial and the next.
    grow_seconds : float
        Time after a trial that failed, or that lowered the limit, before a
        higher limit is tried.
    ewma_weight : float
        Weight of the latest request in the pace.
    drift : float
        Fraction by which the best pace rises with each request.
    """

    tolerance: float = 1.6
    samples: int = 8
    min_throughput_kept: float = 0.95
    min_throughput_gain: float = 1.02
    pause_seconds: float = 60.0
    grow_seconds: float = 20.0
    ewma_weight: float = 0.2
    drift: float = 0.001


@dataclass
class _Trial:
    limit: int
    skipped_requests: int
    requests: int = 0
    seconds: float = 0.0
    work: float = 0.0

    @property
    def pace(self) -> float:
        return self.seconds / self.work


class ConcurrencyLimit:
    """The limit of one endpoint, between one and the number of its slots.

    An engine whose cache is exhausted gets slower with each further request,
    so that fewer concurrent requests would increase the throughput. The symptom
    is a pace (seconds per unit of work) that grows faster than the number of
    running requests. The limit moves towards the maximum throughput, which is
    the limit divided by the pace: a trial of a lower or higher limit is kept
    only if the throughput is sufficient. An endpoint that is merely slow keeps
    all its slots, since fewer would waste capacity while requests wait.
    """

    def __init__(self, slots: int, config: ConcurrencyConfig | None = None) -> None:
        self._slots = slots
        self._config = config or ConcurrencyConfig()
        self._limit = slots
        self._pace = 0.0
        self._best_pace = 0.0
        self._trial: _Trial | None = None
        self._next_trial_at = 0.0
        self._next_growth_at = 0.0

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests, that of a trial while one runs."""
        return self._limit if self._trial is None else self._trial.limit

    @property
    def seconds_per_unit(self) -> float:
        """Recent average of the seconds per unit of work; 0 while unknown."""
        return self._pace

    @property
    def stable_limit(self) -> int:
        """The limit without regard to a running trial."""
        return self._limit

    def resize(self, slots: int) -> None:
        """Apply the number of slots of a new version of the document."""
        if slots == self._slots:
            return
        self._slots = self._limit = slots
        self._trial = None

    def observe(self, running: int, seconds: float, work: float, now: float) -> None:
        """Record a successful request.

        Parameters
        ----------
        running : int
            Number of requests at the endpoint when it ended, including it.
        seconds : float
            Duration on the endpoint.
        work : float
            Amount of work in a unit that does not depend on the speed of the
            endpoint, such as tokens.
        """
        if seconds <= 0 or work <= 0:
            return
        if self._trial is not None:
            self._observe_trial(self._trial, seconds, work, now)
            return
        if running < self._limit:
            # below the limit the pace does not depend on the limit
            return
        self._update_pace(seconds / work)
        if now < self._next_trial_at:
            return
        is_slow = self._pace > self._config.tolerance * self._best_pace
        if is_slow and self._limit > 1:
            # One slot less at a time: a trial on an endpoint that is merely slow
            # takes long, and the slots that it withholds are idle meanwhile.
            self._start_trial(self._limit - 1)
        elif self._limit < self._slots and now >= self._next_growth_at:
            self._start_trial(self._limit + 1)

    def _update_pace(self, pace: float) -> None:
        if not self._pace:
            self._pace = self._best_pace = pace
            return
        self._pace += self._config.ewma_weight * (pace - self._pace)
        self._best_pace = min(self._best_pace * (1 + self._config.drift), self._pace)

    def _start_trial(self, limit: int) -> None:
        # requests that started under the old limit are not measured
        self._trial = _Trial(limit, skipped_requests=max(self._limit, limit))

    def _observe_trial(
        self, trial: _Trial, seconds: float, work: float, now: float
    ) -> None:
        if trial.skipped_requests > 0:
            trial.skipped_requests -= 1
            return
        trial.requests += 1
        trial.seconds += seconds
        trial.work += work
        if trial.requests < self._config.samples:
            return
        self._trial = None
        throughput = self._limit / self._pace
        trial_throughput = trial.limit / trial.pace
        is_lower = trial.limit < self._limit
        required_fraction = (
            self._config.min_throughput_kept
            if is_lower
            else self._config.min_throughput_gain
        )
        successful = trial_throughput >= required_fraction * throughput
        if is_lower or not successful:
            self._next_growth_at = now + self._config.grow_seconds
        if successful:
            self._limit = trial.limit
            self._pace = trial.pace
            return
        if is_lower:
            self._next_trial_at = now + self._config.pause_seconds
