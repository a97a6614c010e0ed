"""Response times of one engine, as seen by this router and by others.

Addresses services whose engines differ in speed. Knows the logarithms of observed to
predicted prefill times, with weights that decay, and decides how far a sample and an
estimate may move.
"""

import math
from dataclasses import dataclass

from teaselledge_fleet.process.prefill import SlowdownSamples

__all__ = [
    "MAX_FACTOR_LOG",
    "MAX_SOURCE_WEIGHT_SECONDS",
    "DecayingSamples",
    "EngineEstimate",
    "ReceivedSamples",
    "limit_samples",
]

SAMPLE_DECAY_SECONDS = 3.0
"""Time in which the weight of a sample decays to 1/e.

With 1 s, as for the mean of a service, a slow spell of 0.6 s would become the estimate;
a lasting change shows after about this time."""

MAX_SAMPLE_STEP_LOG = 0.5
"""Maximum distance of a sample's logarithm from the current estimate, a factor of 1.65.

A slow spell of 1 s at four times the prefill time moves the estimate by 15%; without
the limit it would move it by half. A lasting change is followed step by step."""

MAX_FACTOR_LOG = math.log(4.0)
"""Maximum logarithm of an estimate, a factor of 4 to both sides."""

MAX_SOURCE_WEIGHT_SECONDS = 2.0
"""Maximum weight of one router's samples of an engine, in seconds of predicted prefill.

One of many routers that share an engine has a weight of some tenths of a second; one
with a wrong clock or a full link must not outweigh the others."""

MAX_CALLER_WEIGHT_SECONDS = 1.0
"""Maximum weight of one organisation's samples of an engine at one router.

A caller that declares wrong prompt sizes would otherwise set the speed of the engine
that caches its prefix."""

PRIOR_WEIGHT_SECONDS = 3.0
"""Weight of the current estimate against samples, at each update."""

KNOWN_WEIGHT_SECONDS = 1.0
"""Weight of samples from which the speed of an engine counts as known."""

KNOWN_SECONDS = 30.0
"""Time for which it stays known after the last update with so much weight.

An engine that is believed to be slow gets few requests. After this time it is predicted
as the mean of its service again, and its speed is learnt anew."""

MIN_WEIGHT_SECONDS = 0.01
"""Weight below which samples are dropped; it is the unit of the messages."""


@dataclass(frozen=True)
class ReceivedSamples(SlowdownSamples):
    """Samples of an engine from another router, until they expire.

    Attributes
    ----------
    expires_at : float
        Loop time at which they expire unless the router has sent later ones.
    """

    expires_at: float = 0.0


def limit_samples(samples: SlowdownSamples, max_weight: float) -> SlowdownSamples:
    """Return samples with limited weight and mean."""
    mean_log = max(-MAX_FACTOR_LOG, min(samples.mean_log, MAX_FACTOR_LOG))
    return SlowdownSamples.from_mean(min(samples.weight, max_weight), mean_log)


class DecayingSamples:
    """This router's samples of one engine.

    Parameters
    ----------
    now : float
        Loop time.
    """

    def __init__(self, now: float) -> None:
        self._samples = SlowdownSamples()
        self._decayed_at = now
        self._callers: dict[str, tuple[float, float]] = {}
        """Weight of each caller's samples, and the time of that weight."""

    def add(self, weight: float, sample_log: float, caller: str, now: float) -> None:
        """Add a sample, as far as its caller has not reached its maximum weight."""
        callers_weight = self._caller_weight(caller, now)
        weight = min(weight, MAX_CALLER_WEIGHT_SECONDS - callers_weight)
        if weight <= 0:
            return
        self._callers[caller] = callers_weight + weight, now
        self._samples = self.at(now) + SlowdownSamples.from_mean(weight, sample_log)

    def at(self, now: float) -> SlowdownSamples:
        """Return the samples with their present weight."""
        decay = math.exp((self._decayed_at - now) / SAMPLE_DECAY_SECONDS)
        self._decayed_at = now
        self._samples = self._samples.scale(decay)
        if self._samples.weight < MIN_WEIGHT_SECONDS:
            self._callers.clear()
        return self._samples

    def _caller_weight(self, caller: str, now: float) -> float:
        weight, at = self._callers.get(caller, (0.0, now))
        return weight * math.exp((at - now) / SAMPLE_DECAY_SECONDS)


class EngineEstimate:
    """Estimated prefill time of one engine relative to the estimate of its service.

    Attributes
    ----------
    mean_log : float
        Natural logarithm of the ratio.
    """

    def __init__(self) -> None:
        self.mean_log = 0.0
        self._known_until = -math.inf

    def is_known(self, now: float) -> bool:
        """Whether there were enough samples lately."""
        return now < self._known_until

    def limit_sample(self, sample_log: float) -> float:
        """Return a sample's logarithm, at most a step away from the estimate."""
        return max(
            self.mean_log - MAX_SAMPLE_STEP_LOG,
            min(sample_log, self.mean_log + MAX_SAMPLE_STEP_LOG),
        )

    def follow(self, samples: SlowdownSamples, now: float) -> None:
        """Move the estimate towards the mean of the samples of all routers."""
        if samples.weight >= KNOWN_WEIGHT_SECONDS:
            self._known_until = now + KNOWN_SECONDS
        mean_log = (PRIOR_WEIGHT_SECONDS * self.mean_log + samples.weighted_log) / (
            PRIOR_WEIGHT_SECONDS + samples.weight
        )
        self.mean_log = max(-MAX_FACTOR_LOG, min(mean_log, MAX_FACTOR_LOG))
