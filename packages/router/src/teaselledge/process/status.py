"""Status page and health indicators of one router and of the fleet."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from typing import Any

from teaselledge.process.ingress import Ingress
from teaselledge.process.membership import Membership
from teaselledge.process.shares import ShareSource
from teaselledge.process.tally import RecordingMetrics
from teaselledge.version.follow import ConfigWatcher

__all__ = [
    "HEALTH_INDICATORS",
    "IndicatorInputs",
    "HealthIndicator",
    "Status",
    "fleet_health",
    "evaluate_indicators",
]

MAX_CONTROL_BYTES_PER_SECOND = 7000.0
"""Limit of the control traffic that one router sends to others."""


@dataclass(frozen=True)
class IndicatorInputs:
    """Input values of the health indicators of one router.

    Attributes
    ----------
    in_force, highest : int
        Version in force here and the highest version that any member reported.
    unreadable : int
        Version that this release can't read.
    store_age : float or None
        Seconds since the last known response of the store.
    store_behind : bool
        Whether the store has an older version than the fleet.
    silent : int
        Number of listed or recently dead routers that are not live.
    gap : float or None
        Largest service gap that a dispatcher of this router measures.
    idle : int
        Free slots while requests wait at a dispatcher of this router.
    rates : mapping of str to float
        Increase of counters per second.
    """

    in_force: int
    highest: int
    unreadable: int
    store_age: float | None
    store_behind: bool
    silent: int
    gap: float | None
    idle: int
    rates: Mapping[str, float]


@dataclass(frozen=True)
class HealthIndicator:
    """Health indicator on the status page.

    Attributes
    ----------
    unit : str
        Unit of the value.
    limit : float
        Value above which an operator should investigate.
    meaning : str
        Description of the value in one sentence.
    read : callable
        Returns the value from the inputs; None if it was not measured.
    """

    unit: str
    limit: float
    meaning: str
    read: Callable[[IndicatorInputs], float | None]


HEALTH_INDICATORS: dict[str, HealthIndicator] = {
    "version-lag": HealthIndicator(
        "versions",
        0,
        "Versions by which this router is behind the highest it heard of.",
        lambda inputs: float(max(0, inputs.highest - inputs.in_force)),
    ),
    "unreadable-version": HealthIndicator(
        "version",
        0,
        "A version that this release can't read; the older one serves.",
        lambda inputs: float(inputs.unreadable),
    ),
    "store-age": HealthIndicator(
        "s",
        15,
        "Time since the store was last known to answer.",
        lambda inputs: inputs.store_age,
    ),
    "store-behind": HealthIndicator(
        "",
        0,
        "The store shows an older version than the fleet has.",
        lambda inputs: float(inputs.store_behind),
    ),
    "store-errors": HealthIndicator(
        "calls/s",
        0.1,
        "Failed calls to the platform.",
        lambda inputs: inputs.rates.get("store.errors"),
    ),
    "control-traffic": HealthIndicator(
        "B/s",
        MAX_CONTROL_BYTES_PER_SECOND,
        "Bytes sent to other routers.",
        lambda inputs: inputs.rates.get("peer.sent_bytes"),
    ),
    "silent-routers": HealthIndicator(
        "routers",
        0,
        "Routers of the platform's list that were not heard lately.",
        lambda inputs: float(inputs.silent),
    ),
    "fairness-gap": HealthIndicator(
        "of the bound",
        1,
        "Largest service gap of backlogged organisations, over its bound.",
        lambda inputs: inputs.gap,
    ),
    "idle-slots": HealthIndicator(
        "slots",
        0,
        "Free slots for which requests wait at a dispatcher here.",
        lambda inputs: float(inputs.idle),
    ),
    "journal-unknowns": HealthIndicator(
        "orders/s",
        0,
        "Orders of which it is not known whether they ran.",
        lambda inputs: inputs.rates.get("order.unknown"),
    ),
}
"""Indicators on the status page; docs/operations/health.md has an entry for each."""

RETAIN_DEAD_SECONDS = 600.0
"""Time for which a dead router is shown after it left the platform's list."""

RATE_METRICS: tuple[str, ...] = ("store.errors", "peer.sent_bytes", "order.unknown")


def evaluate_indicators(inputs: IndicatorInputs) -> list[dict[str, Any]]:
    """Return each indicator with its value and state."""
    entries = []
    for name, indicator in HEALTH_INDICATORS.items():
        value = indicator.read(inputs)
        state = "not measured"
        if value is not None:
            state = "look" if value > indicator.limit else "well"
        entries.append(
            {
                "name": name,
                "value": value,
                "unit": indicator.unit,
                "limit": indicator.limit,
                "state": state,
                "meaning": indicator.meaning,
            }
        )
    return entries


class Status:
    """Collects the status of one router."""

    def __init__(
        self,
        config_watcher: ConfigWatcher,
        membership: Membership,
        ingress: Ingress,
        metrics: RecordingMetrics,
        shares: ShareSource,
    ) -> None:
        self._config_watcher = config_watcher
        self._membership = membership
        self._ingress = ingress
        self._metrics = metrics
        self._shares = shares
        self._started = asyncio.get_running_loop().time()

    def report(self) -> dict[str, Any]:
        """Return the status as plain values for JSON."""
        own = self._membership.own
        members = list(self._membership.live())
        state = self._config_watcher.state
        return {
            "vm": own.vm,
            "zone": own.zone,
            "region": own.region,
            "leaving": own.leaving,
            "uptime": asyncio.get_running_loop().time() - self._started,
            "configuration": asdict(state),
            "waiting": self._ingress.waiting,
            "running": self._ingress.running,
            "members": [
                {
                    "vm": m.vm,
                    "zone": m.zone,
                    "region": m.region,
                    "version": m.version,
                    "leaving": m.leaving,
                    "load": m.load,
                    "operator_address": m.operator_address,
                }
                for m in sorted(members, key=lambda m: m.vm)
            ],
            "silent": self._silent(),
            "services": self._services(),
            "shards": [asdict(figure) for figure in self._shares.shards()],
            "shares": [asdict(figure) for figure in self._shares.shares()],
            "health": evaluate_indicators(self._indicator_inputs()),
            "totals": self._metrics.totals,
            "gauges": self._metrics.gauges,
        }

    def _indicator_inputs(self) -> IndicatorInputs:
        state = self._config_watcher.state
        members = list(self._membership.live())
        shards = self._shares.shards()
        return IndicatorInputs(
            state.in_force,
            max((m.version for m in members), default=0),
            state.unreadable,
            state.store_age,
            state.store_behind,
            len(self._silent()),
            max((shard.gap for shard in shards), default=None),
            sum(shard.idle for shard in shards),
            {name: self._metrics.rate(name) for name in RATE_METRICS},
        )

    def _silent(self) -> list[str]:
        live = {member.vm for member in self._membership.live()}
        # a router that started after one read of the list and died before the
        # next is not listed; its failure would be missing from the status
        recently_dead = self._membership.recently_dead(RETAIN_DEAD_SECONDS)
        return sorted((set(self._membership.listed()) | set(recently_dead)) - live)

    def _services(self) -> list[dict[str, Any]]:
        version = self._config_watcher.current
        if version is None:
            return []
        entries = []
        for name, service in version.document.services.items():
            zones: dict[str, list[int]] = {}
            for endpoint in service.endpoints.values():
                zone = zones.setdefault(endpoint.zone, [0, 0, 0])
                zone[0] += 1
                zone[1] += endpoint.slots
                zone[2] += endpoint.leaving
            entries += [
                {
                    "service": name,
                    "zone": zone,
                    "endpoints": count,
                    "slots": slots,
                    "leaving": leaving,
                }
                for zone, (count, slots, leaving) in sorted(zones.items())
            ]
        return entries


def fleet_health(reports: Mapping[str, Mapping[str, Any] | None]) -> dict[str, Any]:
    """Return the findings that need the status of all routers.

    Parameters
    ----------
    reports : mapping of str to dict or None
        Status of each router by name; None if it did not respond.

    Returns
    -------
    dict
        Routers that did not respond, versions in force with their routers, and
        pairs of routers of which the first has no record of the second as live.
    """
    responses = {vm: report for vm, report in reports.items() if report is not None}
    missing = sorted(set(reports) - set(responses))
    views = {vm: {m["vm"] for m in r["members"]} for vm, r in responses.items()}
    unseen = [
        [vm, other]
        for vm, view in sorted(views.items())
        for other in sorted(responses)
        if other not in view
    ]
    versions: dict[str, list[str]] = {}
    for vm, report in sorted(responses.items()):
        number = str(report["configuration"]["in_force"])
        versions.setdefault(number, []).append(vm)
    return {"missing": missing, "unseen": unseen, "versions": versions}
