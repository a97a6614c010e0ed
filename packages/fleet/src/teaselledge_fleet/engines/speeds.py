"""Estimate the prefill time of each engine relative to the mean of its service.

Addresses services whose engines differ in speed, by kind or by release. Knows the
response times at this router and, from heartbeats, those at the others. Decides whether
the engines of a service count as uneven, and by which factor the prefill time predicted
for the service is multiplied at each of them.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from teaselledge_fleet.engines.samples import (
    MAX_FACTOR_LOG,
    MAX_SOURCE_WEIGHT_SECONDS,
    MIN_WEIGHT_SECONDS,
    DecayingSamples,
    EngineEstimate,
    ReceivedSamples,
    limit_samples,
)
from teaselledge_fleet.engines.settings import EngineSpeedSettings
from teaselledge_fleet.log import get_log
from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.process.prefill import SlowdownSamples
from teaselledge_fleet.process.sources import EXPIRY_SECONDS, StatsBySource
from teaselledge_fleet.process.work import name_hash

__all__ = ["EngineSpeeds"]

_log = get_log("engines")

UPDATE_INTERVAL_SECONDS = 0.5
"""Interval at which the estimates follow the samples. With all 2,900 engines known, an
update takes about 1 ms."""

RECEIVED_SECONDS = 6.0
"""Time for which a row of another router counts. It is sent again within 2 s if the
router has samples of 70 engines of equal weight."""

RESTART_IGNORE_SECONDS = 2.0
"""Time after an engine's restart in which other routers' samples of it are ignored.
Some of them learn of the restart this much later."""

NOISE_FRACTION = 10
"""One in this many engines is left out at each end when the spread is determined."""

MIN_KNOWN_ENGINES = 2


@dataclass
class _Engine:
    """An engine and what is known of its speed."""

    endpoint: Endpoint
    own: DecayingSamples
    estimate: EngineEstimate = field(default_factory=EngineEstimate)
    ignored_until: float = -math.inf


class EngineSpeeds(StatsBySource[SlowdownSamples]):
    """Learns the speed of each engine from the first events of responses.

    With one estimate for all engines of a service, slow engines get more prompts than
    they can process in time, and fast ones are idle.

    Routers share their samples by hash of the endpoint, as they share those of services
    for `PrefillModel`. The backlog of an engine is the sum of what all routers predict,
    so they must agree on its speed.

    Parameters
    ----------
    settings : EngineSpeedSettings
        When the estimates take effect.
    """

    def __init__(self, settings: EngineSpeedSettings | None = None) -> None:
        super().__init__()
        self._settings = settings or EngineSpeedSettings()
        self._engines: dict[int, _Engine] = {}
        self._sampled: set[int] = set()
        """Hashes of the engines of which this router has samples."""
        self._by_service: dict[str, list[Endpoint]] = {}
        self._factors: dict[str, dict[str, float]] = {}
        """Factors of the engines of services that count as uneven."""
        self._spreads: dict[str, float] = {}
        self._updated_at = -math.inf

    @property
    def spreads(self) -> Mapping[str, float]:
        """Ratio of the fastest to the slowest engines, by service, where known."""
        return self._spreads

    def uneven(self, service: str) -> bool:
        """Whether the engines of a service differ by the minimum ratio or more."""
        self._update()
        return service in self._factors

    def factors(self, service: str) -> Mapping[str, float] | None:
        """Return the factors of a service's engines by id; None if it is not uneven.

        Engines that are missing have a factor of 1.
        """
        self._update()
        return self._factors.get(service)

    def prefill_factor(self, endpoint_id: str) -> float:
        """Return the prefill time of an engine relative to the mean of its service."""
        self._update()
        engine = self._engines.get(name_hash(endpoint_id))
        if engine is None:
            return 1.0
        factors = self._factors.get(engine.endpoint.service, {})
        return factors.get(endpoint_id, 1.0)

    def endpoint(self, endpoint_hash: int) -> Endpoint | None:
        """Return an engine by the hash of its id."""
        engine = self._engines.get(endpoint_hash)
        return engine.endpoint if engine is not None else None

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the engines of a service."""
        return self._by_service.get(service, [])

    def observe(
        self,
        endpoint_id: str,
        predicted_seconds: float,
        observed_seconds: float,
        caller: str = "",
    ) -> None:
        """Add the first event of a response.

        Parameters
        ----------
        endpoint_id : str
            The engine.
        predicted_seconds : float
            Time that the estimate of its service predicts, without a factor.
        observed_seconds : float
            Time that it took.
        caller : str
            Organisation of the request, whose weight is limited.
        """
        key = name_hash(endpoint_id)
        engine = self._engines.get(key)
        if engine is None or predicted_seconds <= 0:
            return
        self._sampled.add(key)
        ratio = max(observed_seconds / predicted_seconds, math.exp(-MAX_FACTOR_LOG))
        sample_log = engine.estimate.limit_sample(math.log(ratio))
        engine.own.add(predicted_seconds, sample_log, caller, self._now())

    def local(self) -> dict[int, SlowdownSamples]:
        """Return this router's own samples by hash of the endpoint."""
        self._update()
        return self._own_samples()

    def update_source(
        self,
        source: str,
        stats: Mapping[int, SlowdownSamples],
        seconds: float = EXPIRY_SECONDS,
        max_weight: float = math.inf,
    ) -> None:
        """Merge the samples of a source, which sends those of some engines at a time.

        `max_weight` limits the weight of each engine's samples.
        """
        now = self._now()
        update = self._updates.get(source)
        rows = {
            key: row
            for key, row in (update.stats.items() if update is not None else ())
            if isinstance(row, ReceivedSamples) and row.expires_at > now
        }
        for key, samples in stats.items():
            engine = self._engines.get(key)
            if engine is not None and now < engine.ignored_until:
                continue
            limited = limit_samples(samples, max_weight)
            rows[key] = ReceivedSamples(
                limited.weight, limited.weighted_log, now + RECEIVED_SECONDS
            )
        super().update_source(source, dict(rows), seconds)

    def retain_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Keep the state of existing engines, except of those that have restarted."""
        now = self._now()
        engines: dict[int, _Engine] = {}
        by_service: defaultdict[str, list[Endpoint]] = defaultdict(list)
        for endpoint in endpoints:
            key = name_hash(endpoint.id)
            engines[key] = self._retained(key, endpoint, now)
            by_service[endpoint.service].append(endpoint)
        self._engines, self._by_service = engines, dict(by_service)

    def _retained(self, key: int, endpoint: Endpoint, now: float) -> _Engine:
        """Return the state of an engine, a new one if it has restarted."""
        known = self._engines.get(key)
        if known is None:
            return _Engine(endpoint, DecayingSamples(now))
        if known.endpoint.started_ms == endpoint.started_ms:
            known.endpoint = endpoint
            return known
        for update in self._updates.values():
            update.stats.pop(key, None)
        for factors in self._factors.values():
            factors.pop(endpoint.id, None)
        return _Engine(
            endpoint,
            DecayingSamples(now),
            ignored_until=now + RESTART_IGNORE_SECONDS,
        )

    def _own_samples(self) -> dict[int, SlowdownSamples]:
        now = self._now()
        samples = {}
        for key in list(self._sampled):
            engine = self._engines.get(key)
            own = engine.own.at(now) if engine is not None else SlowdownSamples()
            if own.weight < MIN_WEIGHT_SECONDS:
                self._sampled.discard(key)
            else:
                samples[key] = limit_samples(own, MAX_SOURCE_WEIGHT_SECONDS)
        return samples

    def _update(self) -> None:
        """Let the estimates follow the samples of all routers."""
        now = self._now()
        if now - self._updated_at < UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        totals = self.sum_of_sources()
        for key, samples in self._own_samples().items():
            totals[key] = totals[key] + samples if key in totals else samples
        for key, samples in totals.items():
            engine = self._engines.get(key)
            if engine is not None:
                engine.estimate.follow(samples, now)
        self._update_factors(now)

    def _update_factors(self, now: float) -> None:
        """Determine which services are uneven, and the factors of their engines."""
        logs: defaultdict[str, dict[str, float]] = defaultdict(dict)
        for engine in self._engines.values():
            if engine.estimate.is_known(now):
                endpoint = engine.endpoint
                logs[endpoint.service][endpoint.id] = engine.estimate.mean_log
        self._spreads = {
            service: _spread(known.values())
            for service, known in logs.items()
            if len(known) >= MIN_KNOWN_ENGINES
        }
        before = self._factors
        self._factors = {
            service: _relative_factors(logs[service])
            for service, spread in self._spreads.items()
            if spread >= self._settings.min_spread
        }
        for service in before.keys() ^ self._factors.keys():
            self._log_change(service, len(logs[service]))

    def _log_change(self, service: str, known: int) -> None:
        _log.info(
            "engine speeds in use"
            if service in self._factors
            else "engine speeds not in use",
            service=service,
            spread=round(self._spreads.get(service, 1.0), 2),
            engines=known,
        )


def _spread(logs: Iterable[float]) -> float:
    """Return the ratio of the slowest tenth's time to that of the fastest tenth."""
    ordered = sorted(logs)
    excluded = len(ordered) // NOISE_FRACTION
    return math.exp(ordered[-1 - excluded] - ordered[excluded])


def _relative_factors(logs: Mapping[str, float]) -> dict[str, float]:
    """Return factors whose logarithms have a mean of 0 over the engines.

    Each engine counts once. The estimate of the service learns from samples divided by
    these factors, so that it converges to the mean over engines, and not over requests,
    of which fast engines get more.
    """
    mean_log = sum(logs.values()) / len(logs)
    return {name: math.exp(each - mean_log) for name, each in logs.items()}
