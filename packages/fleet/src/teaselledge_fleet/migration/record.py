"""What may have begun the streams of each route lately, as the store keeps it.

The record outlives all routers. It names a version before any router sends a request to
an engine of it, so that a version that is missing in it has begun no stream.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash
from expression import Error, Ok, Result

from teaselledge_fleet.migration.origins import RETENTION_SECONDS, StreamOrigin
from teaselledge_fleet.version.routes import RetryPolicy, Route, RoutingConfiguration

__all__ = [
    "COUNTED_SECONDS",
    "Observation",
    "OriginRecord",
    "changed_routes",
    "decode_record",
    "encode_record",
    "next_record",
    "route_key",
    "targets_digest",
]

COUNTED_SECONDS = RETENTION_SECONDS
"""Time for which a version counts after its last engine has left, and a change of a
route's services after it was made. Streams of before may still be taken up."""

MAX_CHANGED_ROUTES = 500
"""Maximum number of changed routes in a record, some 15 KB. Beyond it, nothing counts
as certain for `COUNTED_SECONDS`."""


@dataclass(frozen=True)
class OriginRecord:
    """The origins that count. Times are those of the store, in seconds.

    Attributes
    ----------
    era : int
        Era of the store in which the record was written.
    complete_since : float
        Time from which no origin is missing; 0 if none ever was.
    origins : dict of StreamOrigin to float or None
        When the last engine of each service and version left; None if one is there.
    targets_digest : int
        Hash of the services of all resumable routes.
    changed_routes : dict of int to float
        When the services of a route changed, by `route_key`.
    """

    era: int
    complete_since: float = 0.0
    origins: Mapping[StreamOrigin, float | None] = field(default_factory=dict)
    targets_digest: int = 0
    changed_routes: Mapping[int, float] = field(default_factory=dict)

    @property
    def present(self) -> frozenset[StreamOrigin]:
        """The origins of which an engine is there."""
        return frozenset(each for each, left in self.origins.items() if left is None)


@dataclass(frozen=True)
class Observation:
    """What the router that reads the store has seen.

    Attributes
    ----------
    era : int
        Era of the store.
    present : frozenset of StreamOrigin
        Services and versions of the engines that are there.
    routing : RoutingConfiguration or None
        Configuration in force.
    recorded_routing : RoutingConfiguration or None
        The one in force when the record was written; None if that is not known.
    """

    era: int
    present: frozenset[StreamOrigin]
    routing: RoutingConfiguration | None = None
    recorded_routing: RoutingConfiguration | None = None


def route_key(route: Route) -> int:
    """Return the hash that identifies a route in all versions of the configuration."""
    return xxhash.xxh3_64_intdigest(f"{route.host}\0{route.prefix}".encode())


def _targets(routing: RoutingConfiguration | None) -> dict[int, frozenset[str]]:
    """Return the services of all resumable routes."""
    if routing is None:
        return {}
    return {
        route_key(route): frozenset(target.service for target in route.targets)
        for route in routing.routes
        if route.retry_policy is RetryPolicy.RESUME
    }


def targets_digest(routing: RoutingConfiguration | None) -> int:
    """Return a hash of the services of all resumable routes."""
    digest = 0
    for key, services in _targets(routing).items():
        text = "\0".join([str(key), *sorted(services)])
        digest ^= xxhash.xxh3_64_intdigest(text.encode())
    return digest


def changed_routes(
    before: RoutingConfiguration | None, after: RoutingConfiguration | None
) -> frozenset[int]:
    """Return the keys of the resumable routes whose services differ."""
    old, new = _targets(before), _targets(after)
    return frozenset(key for key in new if old.get(key) != new[key])


def next_record(
    known: OriginRecord | None, seen: Observation, now: float
) -> OriginRecord:
    """Return the record after what a router has seen.

    Parameters
    ----------
    known : OriginRecord or None
        The record in the store; None if there is none yet.
    seen : Observation
        What the router that reads the store has seen.
    now : float
        Time of the store.
    """
    digest = targets_digest(seen.routing)
    if known is None:
        return OriginRecord(seen.era, 0.0, dict.fromkeys(seen.present), digest)
    # what was written after the copy that the store was restored from is lost
    complete_since = known.complete_since if known.era == seen.era else now
    changed = _recent(known.changed_routes, now)
    if digest != known.targets_digest:
        if targets_digest(seen.recorded_routing) == known.targets_digest:
            keys = changed_routes(seen.recorded_routing, seen.routing)
            changed.update(dict.fromkeys(keys, now))
        else:
            complete_since = now
    if len(changed) > MAX_CHANGED_ROUTES:
        complete_since, changed = now, {}
    left = {
        origin: now if left_at is None else left_at
        for origin, left_at in known.origins.items()
    }
    origins: dict[StreamOrigin, float | None] = {**_recent(left, now)}
    origins.update(dict.fromkeys(seen.present))
    return OriginRecord(seen.era, complete_since, origins, digest, changed)


def _recent(times: Mapping, now: float) -> dict:
    return {key: at for key, at in times.items() if now - at <= COUNTED_SECONDS}


def encode_record(record: OriginRecord) -> bytes:
    """Encode a record as JSON, readable for operators."""
    fields = {
        "era": record.era,
        "complete_since": record.complete_since,
        "origins": sorted(
            [each.service, each.version, left] for each, left in record.origins.items()
        ),
        "targets_digest": record.targets_digest,
        "changed_routes": sorted(record.changed_routes.items()),
    }
    return json.dumps(fields).encode()


def decode_record(data: bytes) -> Result[OriginRecord, str]:
    """Decode a record, or return why it can't be decoded."""
    try:
        fields = json.loads(data)
        return Ok(
            OriginRecord(
                int(fields["era"]),
                float(fields["complete_since"]),
                _decode_origins(fields["origins"]),
                int(fields["targets_digest"]),
                {int(key): float(at) for key, at in fields["changed_routes"]},
            )
        )
    except (ValueError, TypeError, KeyError, RecursionError, OverflowError) as error:
        return Error(repr(error))


def _decode_origins(
    rows: Iterable[tuple[str, str, float | None]],
) -> dict[StreamOrigin, float | None]:
    return {
        StreamOrigin(str(service), str(version)): None if left is None else float(left)
        for service, version, left in rows
    }
