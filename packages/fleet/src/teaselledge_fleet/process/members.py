"""Membership: the known routers of the fleet and which of them are alive."""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from enum import IntEnum

from teaselledge_wire.gen.fleet.ttypes import RouterInfo

from teaselledge_fleet.process.work import name_hash

__all__ = [
    "Liveness",
    "Member",
    "MemberState",
    "Members",
    "MemberReport",
    "MemberStatus",
]

SILENT_SECONDS = 1.0
"""Time without a heartbeat after which a router is no longer advertised to callers.

Heartbeats are sent every 0.25 to 0.4 s, so two or three in a row must be lost. At 3 %
packet loss that happens at most once in 1,000 times, and makes some callers open a new
connection. While a VM without power is advertised, each caller that connects to it
waits for a second.
"""

FORWARDED_SILENT_SECONDS = 1.3
"""The same limit for heartbeats of aggregators. They are sent every 0.4 s and forwarded
by up to five routers; one of three must arrive."""

AGGREGATED_SILENT_SECONDS = 2.0
"""The same limit for routers of this zone whose heartbeats reach only its aggregator.
These are sent every 0.4 s, and so are the aggregator's own heartbeats, which carry the
status of the zone's routers."""

REPORTED_SILENT_SECONDS = 3.0
"""The same limit for routers known from member reports only. Callers are sent to them
only if the callers' own zone has too few routers."""

EXPIRY_SECONDS = 30.0
"""Time without a heartbeat or report after which a router is removed."""

ALIVE_CACHE_SECONDS = 0.05
"""Time for which the list of alive routers is cached, unless a router joins or changes.
It is read for each message and each request."""

PURGE_SECONDS = 1.0
"""Time between two searches for expired routers. The list of the other routers is read
for each message, too often for a search each time."""


MILLISECONDS = 1000
MILLICORES = 1000
PERCENT = 100


class MemberState(IntEnum):
    """State that a router reports in its heartbeats."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclass(frozen=True)
class Member:
    """A router of the fleet.

    Attributes
    ----------
    vm : str
        Name of its VM.
    incarnation : int
        Random number of its process, new at each start.
    zone, region : str
        Availability zone and region of its VM.
    caller_address, peer_address : str
        Addresses for callers and for other routers, ``host:port``.
    state : MemberState
        State that it reported last.
    cores : float
        CPU seconds that it may use each second.
    utilisation : float
        Fraction of `cores` in use, 0 to 1.
    relay_port : int
        Port for connections that other routers offload; 0 if it accepts none.
    """

    vm: str
    incarnation: int
    zone: str
    region: str
    caller_address: str
    peer_address: str
    state: MemberState = MemberState.STARTING
    cores: float = 1.0
    utilisation: float = field(default=0.0, compare=False)
    relay_port: int = 0

    @property
    def relay_address(self) -> str | None:
        """Address for offloaded connections, ``host:port``; None if not accepted."""
        host, _, _ = self.caller_address.rpartition(":")
        return f"{host}:{self.relay_port}" if self.relay_port else None

    @classmethod
    def from_wire(cls, info: RouterInfo) -> "Member":
        """Return the member that a message describes."""
        return cls(
            info.vm,
            info.incarnation or 0,
            info.zone or "",
            info.region or "",
            info.callers or "",
            info.peers or "",
            MemberState(info.state or 0),
            (info.cores or MILLICORES) / MILLICORES,
            (info.busy or 0) / PERCENT,
            info.relay_port or 0,
        )

    def to_wire(self) -> RouterInfo:
        """Return the message that describes this member."""
        return RouterInfo(
            self.vm,
            self.incarnation,
            self.zone,
            self.region,
            self.caller_address,
            self.peer_address,
            int(self.state),
            int(self.cores * MILLICORES),
            int(self.utilisation * PERCENT),
            relay_port=self.relay_port or None,
        )


@dataclass(frozen=True)
class MemberReport:
    """Second-hand state of a router, as sent by another router.

    Attributes
    ----------
    member : Member
        The router that the report is about.
    silent_seconds : float or None
        Seconds since any router last received a heartbeat from it; None if no
        router is known to have received one.
    """

    member: Member
    silent_seconds: float | None

    @classmethod
    def from_wire(cls, info: RouterInfo) -> "MemberReport":
        """Return the report that a message contains."""
        silent = None if info.silent_ms is None else info.silent_ms / MILLISECONDS
        return cls(Member.from_wire(info), silent)

    def to_wire(self) -> RouterInfo:
        """Return the message that contains this report."""
        info = self.member.to_wire()
        if self.silent_seconds is not None:
            info.silent_ms = int(self.silent_seconds * MILLISECONDS)
        return info


@dataclass(frozen=True)
class MemberStatus:
    """Status of a router as sent by the aggregator of its zone.

    Attributes
    ----------
    state : MemberState
        State that the router reported last.
    utilisation : float
        Fraction of its CPU time in use, 0 to 1.
    silent_seconds : float
        Seconds since its last heartbeat.
    """

    state: MemberState
    utilisation: float
    silent_seconds: float


@dataclass(frozen=True)
class Liveness:
    """Last known sign of life of a router.

    Attributes
    ----------
    direct : bool
        Whether this router received the last heartbeat directly.
    age : float
        Seconds since any router last received a heartbeat; infinite if none did.
    """

    direct: bool
    age: float


@dataclass
class _MemberRecord:
    member: Member
    updated_at: float
    """Time of its last heartbeat, or at which it became known without one."""
    direct_at: float = -math.inf
    """Time of the last heartbeat that this router received directly."""
    forwarded_at: float = -math.inf
    """Time of the last heartbeat that other routers forwarded."""
    aggregated_at: float = -math.inf
    """Time of the last heartbeat that this zone's aggregator received."""
    reported_at: float = -math.inf
    """Time of the last heartbeat according to member reports."""

    @property
    def last_heartbeat_at(self) -> float:
        """Time at which any router last received a heartbeat."""
        return max(
            self.direct_at, self.forwarded_at, self.aggregated_at, self.reported_at
        )

    def is_alive(self, now: float) -> bool:
        """Whether this router or its aggregator recently received a heartbeat."""
        return (
            now - self.direct_at <= SILENT_SECONDS
            or now - self.forwarded_at <= FORWARDED_SILENT_SECONDS
            or now - self.aggregated_at <= AGGREGATED_SILENT_SECONDS
        )

    def ignores_reports(self, now: float) -> bool:
        """Whether the heartbeats received are recent enough to ignore reports."""
        last = max(self.direct_at, self.forwarded_at, self.aggregated_at)
        return now - last < REPORTED_SILENT_SECONDS

    def is_advertised(self, now: float) -> bool:
        """Whether callers may be sent to the router."""
        if self.is_alive(now):
            return True
        last = max(self.direct_at, self.forwarded_at, self.aggregated_at)
        if self.ignores_reports(now) and self.reported_at <= last:
            return False
        return now - self.reported_at <= REPORTED_SILENT_SECONDS


class Members:
    """Table of the routers of the fleet.

    A heartbeat replaces the state of its sender. Member reports only add or update
    routers that are unknown or silent, so that an old report can't override what a
    router reported about itself.

    The age of a report counts from the last heartbeat of the router, not from the
    arrival of the report. Otherwise routers that exchange reports would keep
    advertising a router from which none of them receives heartbeats any more.

    Parameters
    ----------
    own : Member
        This router.
    clock : callable, optional
        Returns seconds of a clock that also advances while the VM is suspended, so that
        a router that resumes doesn't report ages that are too low. The event loop's
        clock by default.
    """

    def __init__(self, own: Member, clock: Callable[[], float] | None = None) -> None:
        self._own = own
        self._clock = clock
        self._records: dict[str, _MemberRecord] = {}
        self._vm_by_hash: dict[int, str] = {}
        self._purged_at = -math.inf
        self._alive_cache: list[Member] | None = None
        self._alive_cached_at = -math.inf

    @property
    def own(self) -> Member:
        """This router."""
        return self._own

    @property
    def peers(self) -> list[Member]:
        """All other known routers, including silent ones."""
        now = self._now()
        if now - self._purged_at >= PURGE_SECONDS:
            self._purge(now)
        return [record.member for record in self._records.values()]

    @property
    def alive(self) -> list[Member]:
        """The other routers with a recent heartbeat."""
        now = self._now()
        if (
            self._alive_cache is None
            or now - self._alive_cached_at > ALIVE_CACHE_SECONDS
        ):
            records = self._records.values()
            self._alive_cache = [each.member for each in records if each.is_alive(now)]
            self._alive_cached_at = now
        return list(self._alive_cache)

    @property
    def zone_peers(self) -> list[Member]:
        """The other routers of this zone with a recent heartbeat."""
        zone = self._own.zone
        return [member for member in self.alive if member.zone == zone]

    @property
    def ready(self) -> list[Member]:
        """Routers that accept requests, including this one if it does."""
        now = self._now()
        others = [
            record.member
            for record in self._records.values()
            if record.is_advertised(now)
        ]
        everyone = [*others, self._own]
        return [m for m in everyone if m.state is MemberState.READY]

    def find_by_hash(self, vm_hash: int) -> Member | None:
        """Return the other router whose VM name has a hash; None if unknown."""
        record = self._records.get(self._vm_by_hash.get(vm_hash, ""))
        return None if record is None else record.member

    def is_known(self, vm: str) -> bool:
        """Return whether a router is known, silent or not."""
        return vm in self._records or vm == self._own.vm

    @property
    def reports(self) -> list[MemberReport]:
        """Reports on all other routers, including silent ones.

        Routers from which no router is known to have received a heartbeat are left
        out: routers would send their addresses to each other for ever.
        """
        found = [self.report(member) for member in self.peers]
        return [report for report in found if report.silent_seconds is not None]

    def report(self, member: Member) -> MemberReport:
        """Return a report on another router."""
        liveness = self.liveness(member.vm)
        if liveness is None or math.isinf(liveness.age):
            return MemberReport(member, None)
        return MemberReport(member, liveness.age)

    def liveness(self, vm: str) -> Liveness | None:
        """Return the last sign of life of another router; None if unknown."""
        record = self._records.get(vm)
        if record is None:
            return None
        return Liveness(
            record.last_heartbeat_at == record.direct_at,
            self._now() - record.last_heartbeat_at,
        )

    def set_state(self, state: MemberState) -> None:
        """Set the state that this router reports about itself."""
        self._own = replace(self._own, state=state)

    def set_utilisation(self, utilisation: float) -> None:
        """Set the utilisation that this router reports about itself."""
        self._own = replace(self._own, utilisation=utilisation)

    def update_from_heartbeat(self, member: Member, forwarded: bool = False) -> bool:
        """Apply a router's heartbeat; True if the router is new or has changed.

        Parameters
        ----------
        member : Member
            State of the sender.
        forwarded : bool
            Whether another router forwarded the heartbeat.
        """
        if member.vm == self._own.vm:
            return False
        before = self._records.get(member.vm)
        now = self._now()
        if before is None or not before.is_alive(now) or before.member != member:
            self._alive_cache = None
        record = _MemberRecord(member, now)
        if before is not None:
            record.direct_at, record.forwarded_at = (
                before.direct_at,
                before.forwarded_at,
            )
            record.aggregated_at = before.aggregated_at
        if forwarded:
            record.forwarded_at = now
        else:
            record.direct_at = now
        self._insert(record)
        return before is None or before.member != member

    def update_from_aggregator(self, statuses: Mapping[int, MemberStatus]) -> None:
        """Apply the statuses that this zone's aggregator sent, by VM name hash.

        Those of other zones count as member reports.
        """
        now = self._now()
        self._alive_cache = None
        for vm_hash, status in statuses.items():
            record = self._records.get(self._vm_by_hash.get(vm_hash, ""))
            if record is None:
                continue
            heartbeat_at = now - status.silent_seconds
            if heartbeat_at > record.last_heartbeat_at:
                record.member = replace(
                    record.member, state=status.state, utilisation=status.utilisation
                )
            if record.member.zone == self._own.zone:
                record.aggregated_at = max(record.aggregated_at, heartbeat_at)
            else:
                record.reported_at = max(record.reported_at, heartbeat_at)
            record.updated_at = max(record.updated_at, heartbeat_at)

    def merge_report(self, report: MemberReport) -> bool:
        """Merge a report of another router; True if its subject was unknown."""
        member = report.member
        if member.vm == self._own.vm or member.state is MemberState.LEAVING:
            return False
        now = self._now()
        record = self._records.get(member.vm)
        if record is not None and record.ignores_reports(now):
            return False
        if report.silent_seconds is None:
            # only an address to try: it doesn't count as a heartbeat
            if record is None:
                self._insert(_MemberRecord(member, now))
            return record is None
        heartbeat_at = now - report.silent_seconds
        if record is not None and heartbeat_at <= record.last_heartbeat_at:
            return False
        self._insert(_MemberRecord(member, heartbeat_at, reported_at=heartbeat_at))
        return record is None

    def _purge(self, now: float) -> None:
        self._purged_at = now
        for vm, record in list(self._records.items()):
            if now - record.updated_at > EXPIRY_SECONDS:
                del self._records[vm]
                self._alive_cache = None
                self._vm_by_hash.pop(name_hash(vm), None)

    def _insert(self, record: _MemberRecord) -> None:
        vm = record.member.vm
        self._records[vm] = record
        self._vm_by_hash[name_hash(vm)] = vm

    def _now(self) -> float:
        if self._clock is not None:
            return self._clock()
        return asyncio.get_running_loop().time()
