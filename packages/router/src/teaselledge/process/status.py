"""What one router knows of its own and the fleet's health."""

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

CONTROL_BYTES = 7000.0
"""Control traffic that one router may send, in bytes a second."""


@dataclass(frozen=True)
class IndicatorInputs:
    """What the health checks of one router read.

    Attributes
    ----------
    in_force, highest : int
        Version here and the highest that any member told of.
    unreadable : int
        Version that this release can't read.
    store_age : float or None
        Seconds since the store was known to answer.
    store_behind : bool
        The store has an older version than the fleet.
    silent : int
        Routers of the platform's list that were not heard lately.
    gap : float or None
        Largest service gap that a dispatcher here sees.
    idle : int
        Free slots for which requests wait at a dispatcher here.
    rates : mapping of str to float
        Counters, as gained a second.
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
    """One figure of the status page.

    Attributes
    ----------
    unit : str
        Unit of the value.
    limit : float
        Above it, an operator should look.
    meaning : str
        What it tells, in one sentence.
    read : callable
        Takes the facts; None where it was not measured.
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
        lambda f: float(max(0, f.highest - f.in_force)),
    ),
    "unreadable-version": HealthIndicator(
        "version",
        0,
        "A version that this release can't read; the older one serves.",
        lambda f: float(f.unreadable),
    ),
    "store-age": HealthIndicator(
        "s",
        15,
        "Time since the store was last known to answer.",
        lambda f: f.store_age,
    ),
    "store-behind": HealthIndicator(
        "",
        0,
        "The store shows an older version than the fleet has.",
        lambda f: float(f.store_behind),
    ),
    "store-errors": HealthIndicator(
        "calls/s",
        0.1,
        "Failed calls to the platform.",
        lambda f: f.rates.get("store.errors"),
    ),
    "control-traffic": HealthIndicator(
        "B/s",
        CONTROL_BYTES,
        "Bytes sent to other routers.",
        lambda f: f.rates.get("peer.sent_bytes"),
    ),
    "silent-routers": HealthIndicator(
        "routers",
        0,
        "Routers of the platform's list that were not heard lately.",
        lambda f: float(f.silent),
    ),
    "fairness-gap": HealthIndicator(
        "of the bound",
        1,
        "Largest service gap of backlogged organisations, over its bound.",
        lambda f: f.gap,
    ),
    "idle-slots": HealthIndicator(
        "slots",
        0,
        "Free slots for which requests wait at a dispatcher here.",
        lambda f: float(f.idle),
    ),
    "journal-unknowns": HealthIndicator(
        "orders/s",
        0,
        "Orders of which it is not known whether they ran.",
        lambda f: f.rates.get("order.unknown"),
    ),
}
"""The figures of the status page; docs/operations/health.md has an entry for each."""

LOST_SECONDS = 600.0
"""Time for which a dead router is shown, though the list has it no more."""

RATES: tuple[str, ...] = ("store.errors", "peer.sent_bytes", "order.unknown")


def evaluate_indicators(facts: IndicatorInputs) -> list[dict[str, Any]]:
    """Return each check with its value and whether it is well."""
    entries = []
    for name, check in HEALTH_INDICATORS.items():
        value = check.read(facts)
        state = "not measured"
        if value is not None:
            state = "look" if value > check.limit else "well"
        entries.append(
            {
                "name": name,
                "value": value,
                "unit": check.unit,
                "limit": check.limit,
                "state": state,
                "meaning": check.meaning,
            }
        )
    return entries


class Status:
    """Collects the status of one router."""

    def __init__(
        self,
        follower: ConfigWatcher,
        membership: Membership,
        ingress: Ingress,
        tally: RecordingMetrics,
        shares: ShareSource,
    ) -> None:
        self._follower = follower
        self._membership = membership
        self._ingress = ingress
        self._tally = tally
        self._shares = shares
        self._started = asyncio.get_running_loop().time()

    def report(self) -> dict[str, Any]:
        """Return the status as plain values for JSON."""
        own = self._membership.own
        members = list(self._membership.live())
        state = self._follower.state
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
            "health": evaluate_indicators(self._facts()),
            "totals": self._tally.totals,
            "gauges": self._tally.gauges,
        }

    def _facts(self) -> IndicatorInputs:
        state = self._follower.state
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
            {name: self._tally.rate(name) for name in RATES},
        )

    def _silent(self) -> list[str]:
        live = {member.vm for member in self._membership.live()}
        # a router that started after the list was read and died before it is
        # read again stands in neither; reports would pass over its losses
        lost = self._membership.recently_dead(LOST_SECONDS)
        return sorted((set(self._membership.listed()) | set(lost)) - live)

    def _services(self) -> list[dict[str, Any]]:
        version = self._follower.current
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
    """Return what only a look at all routers shows.

    Parameters
    ----------
    reports : mapping of str to dict or None
        Status of each router by name; None where it gave none.

    Returns
    -------
    dict
        Routers that gave no answer, versions in force, and pairs of routers of
        which one does not see the other.
    """
    answered = {vm: report for vm, report in reports.items() if report is not None}
    missing = sorted(set(reports) - set(answered))
    views = {vm: {m["vm"] for m in r["members"]} for vm, r in answered.items()}
    unseen = [
        [vm, other]
        for vm, view in sorted(views.items())
        for other in sorted(answered)
        if other not in view
    ]
    versions: dict[str, list[str]] = {}
    for vm, report in sorted(answered.items()):
        number = str(report["configuration"]["in_force"])
        versions.setdefault(number, []).append(vm)
    return {"missing": missing, "unseen": unseen, "versions": versions}
