"""Find how many requests an endpoint runs best at once."""

from dataclasses import dataclass

__all__ = ["ConcurrencyLimit", "ConcurrencyConfig"]


@dataclass(frozen=True)
class ConcurrencyConfig:
    """How the limit of an endpoint adapts.

    Attributes
    ----------
    tolerance : float
        Slower than its best pace by this factor, an endpoint is suspected to
        be overloaded.
    samples : int
        Requests that a trial measures.
    min_throughput_kept : float
        Part of the throughput that a lower limit must keep.
    min_throughput_gain : float
        Part of the throughput that a higher limit must bring.
    pause_seconds : float
        Time between a failed trial and the next.
    grow_seconds : float
        Time after a trial that failed, or that lowered the limit, before a
        higher limit is tried.
    ewma_weight : float
        Weight of the latest request in the pace.
    drift : float
        Part by which the best pace is forgotten with each request.
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
    skip: int
    requests: int = 0
    seconds: float = 0.0
    work: float = 0.0

    @property
    def pace(self) -> float:
        return self.seconds / self.work


class ConcurrencyLimit:
    """The limit of one endpoint, between one and its slots.

    An engine whose cache is exhausted gets slower with each further request,
    so that fewer at once would bring more through. One notices by a pace
    (seconds for a unit of work) that grows faster than the number running.
    The limit climbs towards the most throughput: a trial with a lower or
    higher limit is kept only if the throughput, limit over pace, shows it was
    right. An endpoint that is merely slow keeps all its slots, since fewer
    would waste capacity while work waits.
    """

    def __init__(self, slots: int, limits: ConcurrencyConfig | None = None) -> None:
        self._slots = slots
        self._limits = limits or ConcurrencyConfig()
        self._limit = slots
        self._pace = 0.0
        self._best = 0.0
        self._trial: _Trial | None = None
        self._next_trial = 0.0
        self._next_growth = 0.0

    @property
    def limit(self) -> int:
        """Requests that it may run at once now."""
        return self._limit if self._trial is None else self._trial.limit

    @property
    def seconds_per_unit(self) -> float:
        """Seconds for a unit of work lately; 0 while unknown."""
        return self._pace

    @property
    def stable_limit(self) -> int:
        """The limit apart from a trial that is under way."""
        return self._limit

    def resize(self, slots: int) -> None:
        """Take the slots of a new version of the document."""
        if slots == self._slots:
            return
        self._slots = self._limit = slots
        self._trial = None

    def observe(self, running: int, seconds: float, work: float, now: float) -> None:
        """Note a request that ended well.

        Parameters
        ----------
        running : int
            Requests at the endpoint when it ended, itself included.
        seconds : float
            How long it took there.
        work : float
            What it was worth, in a unit that does not hang on the endpoint's
            speed, such as tokens.
        """
        if seconds <= 0 or work <= 0:
            return
        if self._trial is not None:
            self._observe_trial(self._trial, seconds, work, now)
            return
        if running < self._limit:
            # with fewer running than allowed, the pace says nothing of the limit
            return
        self._learn(seconds / work)
        if now < self._next_trial:
            return
        slow = self._pace > self._limits.tolerance * self._best
        if slow and self._limit > 1:
            # one slot less at a time: a trial on an endpoint that is merely
            # slow takes long, and what it holds back idles meanwhile
            self._try(self._limit - 1)
        elif self._limit < self._slots and now >= self._next_growth:
            self._try(self._limit + 1)

    def _learn(self, pace: float) -> None:
        if not self._pace:
            self._pace = self._best = pace
            return
        self._pace += self._limits.ewma_weight * (pace - self._pace)
        self._best = min(self._best * (1 + self._limits.drift), self._pace)

    def _try(self, limit: int) -> None:
        # those that began under the old limit say nothing of the new one
        self._trial = _Trial(limit, skip=max(self._limit, limit))

    def _observe_trial(
        self, trial: _Trial, seconds: float, work: float, now: float
    ) -> None:
        if trial.skip > 0:
            trial.skip -= 1
            return
        trial.requests += 1
        trial.seconds += seconds
        trial.work += work
        if trial.requests < self._limits.samples:
            return
        self._trial = None
        before = self._limit / self._pace
        after = trial.limit / trial.pace
        lower = trial.limit < self._limit
        needed = (
            self._limits.min_throughput_kept
            if lower
            else self._limits.min_throughput_gain
        )
        kept = after >= needed * before
        if lower or not kept:
            self._next_growth = now + self._limits.grow_seconds
        if kept:
            self._limit = trial.limit
            self._pace = trial.pace
            return
        if lower:
            self._next_trial = now + self._limits.pause_seconds
