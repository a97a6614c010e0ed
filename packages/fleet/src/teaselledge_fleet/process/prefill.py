"""Estimate the prefill time of engines from their response times."""

import math
from collections import defaultdict
from dataclasses import dataclass

from teaselledge_fleet.process.sources import StatsBySource
from teaselledge_fleet.process.work import name_hash

__all__ = [
    "PREFILL_TIME_FRACTION",
    "PrefillModel",
    "PrefillSample",
    "SlowdownSamples",
]

INITIAL_TOKENS_PER_SECOND = 90_000.0
INITIAL_SECONDS_PER_TOKEN_PAIR = 4e-10
"""Initial prefill speed: a rate, and the attention of each token to those before.

Both are of the order of today's large models on four accelerators; the estimated
slowdown corrects them together.
"""

PREFILL_TIME_FRACTION = 0.8
"""Fraction of its time that a busy engine spends on prefill, not on generation."""

INITIAL_OVERHEAD_SECONDS = 0.05
"""Initial estimate of the time to the first event without prefill.

It covers a step of the engine and the round trip."""

MIN_PREFILL_SAMPLE_SECONDS = 0.1
MAX_OVERHEAD_SAMPLE_SECONDS = 0.03
"""Ranges of predicted prefill time in which a response time is used.

Predictions of at least the first update the slowdown, those of at most the second the
overhead."""

OVERHEAD_STEP_SECONDS = 0.001
"""Change of the overhead by one response."""

MAX_SLOWDOWN = 8.0
"""Maximum factor by which the estimate may differ from the initial one."""

MAX_SAMPLE_FACTOR = 4.0
"""Maximum factor by which a single response counts as slower or faster than predicted.

A response of a faulty engine may take a hundredth or a hundred times as long."""

SAMPLE_DECAY_SECONDS = 1.0
"""Time in which the weight of a response decays to 1/e.

Engines that slow down are noticed within some of it, before their queues have grown
beyond the latency objective."""

PRIOR_WEIGHT_SECONDS = 5.0
"""Weight of the current estimate against responses, in seconds of predicted prefill.

A few responses in a quiet fleet thus change it little."""

MIN_SHARED_WEIGHT_SECONDS = 0.01
"""Weight below which samples are not sent to other routers."""

UPDATE_INTERVAL_SECONDS = 0.25
"""Interval at which the estimate follows the responses of all routers."""


@dataclass(frozen=True)
class SlowdownSamples:
    """Responses of the engines of one service, from which their slowdown follows.

    Attributes
    ----------
    weight : float
        Sum of the responses' weights: their predicted prefill times in seconds.
    weighted_log : float
        Weighted sum of the natural logarithms of the observed slowdowns.
    """

    weight: float = 0.0
    weighted_log: float = 0.0

    @classmethod
    def from_mean(cls, weight: float, mean_log: float) -> "SlowdownSamples":
        """Return samples with a weight and a mean logarithm."""
        return cls(weight, weight * mean_log)

    @property
    def mean_log(self) -> float:
        """Weighted mean of the logarithms; 0 without samples."""
        return self.weighted_log / self.weight if self.weight else 0.0

    def __add__(self, other: "SlowdownSamples") -> "SlowdownSamples":
        return SlowdownSamples(
            self.weight + other.weight, self.weighted_log + other.weighted_log
        )

    def subtract(self, other: "SlowdownSamples") -> "SlowdownSamples":
        """Return the difference; nothing if no weight is left."""
        weight = self.weight - other.weight
        if weight <= 0:
            return SlowdownSamples()
        return SlowdownSamples(weight, self.weighted_log - other.weighted_log)

    def scale(self, factor: float) -> "SlowdownSamples":
        """Return the samples with all weights multiplied by a factor."""
        return SlowdownSamples(self.weight * factor, self.weighted_log * factor)


@dataclass(frozen=True)
class PrefillSample:
    """Time of a response that is long enough to tell an engine's speed.

    Attributes
    ----------
    predicted_seconds, observed_seconds : float
        Time in the queue and for the prefill, as predicted and as observed.
    """

    predicted_seconds: float
    observed_seconds: float


class _ServiceEstimate:
    """Estimated speed of the engines of one service."""

    def __init__(self, now: float) -> None:
        self.slowdown = 1.0
        self.overhead_seconds = INITIAL_OVERHEAD_SECONDS
        self._samples = SlowdownSamples()
        self._decayed_at = now

    def add(self, samples: SlowdownSamples, now: float) -> None:
        """Add samples of this router."""
        self._samples = self.samples(now) + samples

    def samples(self, now: float) -> SlowdownSamples:
        """Return the samples of this router, whose weight decays with time."""
        elapsed = now - self._decayed_at
        self._decayed_at = now
        self._samples = self._samples.scale(math.exp(-elapsed / SAMPLE_DECAY_SECONDS))
        return self._samples

    def follow(self, samples: SlowdownSamples) -> None:
        """Move the slowdown towards the mean of some samples."""
        prior_log = PRIOR_WEIGHT_SECONDS * math.log(self.slowdown)
        mean_log = (prior_log + samples.weighted_log) / (
            PRIOR_WEIGHT_SECONDS + samples.weight
        )
        self.slowdown = min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, math.exp(mean_log)))


class PrefillModel(StatsBySource[SlowdownSamples]):
    """Predicts prefill times and corrects itself with the first events of responses.

    Engines of different kinds differ in prefill speed. If the estimate is too fast,
    engines get more prompts than they can process in time, and all first events are
    late; if it is too slow, requests are refused that could have been served.

    Routers share their samples, by hash of the service. The queueing time at an engine
    is the sum of what all routers predict for their prompts there, so a router with an
    estimate of its own would learn the errors of the others, and refuse what they send.
    """

    def __init__(self) -> None:
        super().__init__()
        self._estimates: defaultdict[int, _ServiceEstimate] = defaultdict(
            lambda: _ServiceEstimate(self._now())
        )
        self._updated_at = -UPDATE_INTERVAL_SECONDS

    def predict(self, service: str, tokens: int, uncached_tokens: int) -> float:
        """Return the prefill time of a prompt of which some tokens are not cached."""
        return self.slowdown(service) * _initial_prefill_seconds(
            tokens, uncached_tokens
        )

    def slowdown(self, service: str) -> float:
        """Return the estimated slowdown of a service's engines."""
        self._update()
        return self._estimates[name_hash(service)].slowdown

    def observe(
        self,
        service: str,
        prefill_seconds: float,
        seconds: float,
        slowdown: float | None = None,
        wait: float = 0.0,
    ) -> PrefillSample | None:
        """Update the estimates with the first event of a response.

        The prefill time may have been predicted with a factor of the engine. The sample
        then is that of an engine with the mean speed of its service, so that the
        estimate does not depend on the engines that get the most requests.

        Parameters
        ----------
        service : str
            Service of the engine.
        prefill_seconds : float
            Predicted prefill time of the request.
        seconds : float
            Time from sending the request to the first event.
        slowdown : float, optional
            Slowdown with which that time was predicted; the current one if None.
        wait : float
            Predicted queueing time of the request. Those before it count until their
            first event is seen, so it contains the overhead of theirs.

        Returns
        -------
        PrefillSample or None
            The sample of the slowdown; None if the prefill was too short for one.
        """
        estimate = self._estimates[name_hash(service)]
        forecast = wait + prefill_seconds / PREFILL_TIME_FRACTION
        net_seconds = seconds - max(0.0, estimate.overhead_seconds - wait)
        if forecast >= MIN_PREFILL_SAMPLE_SECONDS:
            predicted_with = slowdown or self.slowdown(service)
            observed = predicted_with * _limited_ratio(net_seconds / forecast)
            samples = SlowdownSamples.from_mean(forecast, math.log(observed))
            estimate.add(samples, self._now())
            return PrefillSample(forecast, net_seconds)
        if forecast <= MAX_OVERHEAD_SAMPLE_SECONDS:
            is_slower = net_seconds > forecast
            estimate.overhead_seconds += (
                OVERHEAD_STEP_SECONDS if is_slower else -OVERHEAD_STEP_SECONDS
            )
            estimate.overhead_seconds = max(0.0, estimate.overhead_seconds)
        return None

    def local(self) -> dict[int, SlowdownSamples]:
        """Return this router's own samples by hash of the service.

        Called for every heartbeat, it also keeps the estimates of a router without
        requests up to date.
        """
        self._update()
        now = self._now()
        samples_by_service = {
            key: estimate.samples(now) for key, estimate in self._estimates.items()
        }
        return {
            key: each
            for key, each in samples_by_service.items()
            if each.weight >= MIN_SHARED_WEIGHT_SECONDS
        }

    def _update(self) -> None:
        """Let the estimates follow the samples of all routers."""
        now = self._now()
        if now - self._updated_at < UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        samples_of_others = self.sum_of_sources()
        for key in samples_of_others.keys() | self._estimates.keys():
            estimate = self._estimates[key]
            samples = samples_of_others.get(key, SlowdownSamples())
            estimate.follow(samples + estimate.samples(now))


def _initial_prefill_seconds(tokens: int, uncached_tokens: int) -> float:
    mean_context_tokens = tokens - uncached_tokens / 2
    return (
        uncached_tokens / INITIAL_TOKENS_PER_SECOND
        + uncached_tokens * mean_context_tokens * INITIAL_SECONDS_PER_TOKEN_PAIR
    )


def _limited_ratio(ratio: float) -> float:
    return min(MAX_SAMPLE_FACTOR, max(1 / MAX_SAMPLE_FACTOR, ratio))
