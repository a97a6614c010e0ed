"""Which routers there are, and which of them answer."""

import asyncio
import math
from collections.abc import Mapping
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
"""Silence after which callers are not sent to a router.

Pulses come every 0.25 to 0.4 s, so two or three in a row must be lost; at 3 % loss
that is at most one in 1,000, and costs some callers a new connection. A VM without
power makes each caller that still connects to it wait a second.
"""

RELAYED_SECONDS = 1.3
"""The same for aggregators, whose pulses come each 0.4 s through up to five routers;
one of three must come."""

AGGREGATED_SECONDS = 2.0
"""The same for routers of the own zone that its aggregator has heard: their pulses come
each 0.4 s, and so do the aggregator's."""

REPORTED_SILENT_SECONDS = 3.0
"""The same for routers that others have heard. Callers are sent to them only where
their own zone has too few."""

FORGET_SECONDS = 30.0
"""Silence after which a router is forgotten, unless it is heard of again."""

REMEMBERED_SECONDS = 0.05
"""Time for which the routers that answer are not looked for again, unless one joins.
Each message and each request asks for them."""

PURGE_SECONDS = 1.0
"""Time between two looks for routers to forget. Each message asks for the others."""


MILLISECONDS = 1000
MILLICORES = 1000
PERCENT = 100


class MemberState(IntEnum):
    """What a router says of itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@dataclass(frozen=True)
class Member:
    """A router.

    Attributes
    ----------
    vm : str
        Its VM.
    incarnation : int
        Identifies one life of its process.
    zone, region : str
        Where it is.
    caller_address, peer_address : str
        Addresses, ``host:port``.
    state : MemberState
        What it says of itself.
    cores : float
        Processor time that it may use each second.
    utilisation : float
        Part of it that is in use.
    relay_port : int
        Where it takes over callers' connections; 0 where it takes none.
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
        """Where it takes over callers' connections, ``host:port``."""
        host, _, _ = self.caller_address.rpartition(":")
        return f"{host}:{self.relay_port}" if self.relay_port else None

    @classmethod
    def from_wire(cls, info: RouterInfo) -> "Member":
        """Return the member that a message tells of."""
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
        """Return the message that tells of it."""
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
    """What a router tells of another one.

    Attributes
    ----------
    member : Member
        The other one.
    silent_seconds : float or None
        Seconds since the other one was heard itself, by whichever router heard it;
        None where nobody has.
    """

    member: Member
    silent_seconds: float | None

    @classmethod
    def from_wire(cls, info: RouterInfo) -> "MemberReport":
        """Return the report that a message holds."""
        silent = None if info.silent_ms is None else info.silent_ms / MILLISECONDS
        return cls(Member.from_wire(info), silent)

    def to_wire(self) -> RouterInfo:
        """Return the message that holds it."""
        info = self.member.to_wire()
        if self.silent_seconds is not None:
            info.silent_ms = int(self.silent_seconds * MILLISECONDS)
        return info


@dataclass(frozen=True)
class MemberStatus:
    """What the aggregator of a zone tells of another router of it.

    Attributes
    ----------
    state : MemberState
        What that one says of itself.
    utilisation : float
        Part of its processor time that is in use.
    silent_seconds : float
        Seconds since it was heard itself.
    """

    state: MemberState
    utilisation: float
    silent_seconds: float


@dataclass(frozen=True)
class Liveness:
    """What a router is known by.

    Attributes
    ----------
    direct : bool
        Whether it was heard by this router.
    age : float
        Seconds since it was heard by any router; infinite where nobody has.
    """

    direct: bool
    age: float


@dataclass
class _Known:
    member: Member
    noted: float
    """Loop time at which it was heard or became known."""
    direct: float = -math.inf
    """Loop time at which this router last heard it."""
    relayed: float = -math.inf
    """Loop time at which a message of it last came through other routers."""
    aggregated: float = -math.inf
    """Loop time at which the aggregator of this zone last heard it."""
    reported: float = -math.inf
    """Loop time at which any other router last heard it."""

    @property
    def heard(self) -> float:
        """Loop time at which any router last heard it."""
        return max(self.direct, self.relayed, self.aggregated, self.reported)

    def answers(self, now: float) -> bool:
        """Whether it was heard lately, here or in this zone."""
        return (
            now - self.direct <= SILENT_SECONDS
            or now - self.relayed <= RELAYED_SECONDS
            or now - self.aggregated <= AGGREGATED_SECONDS
        )

    def settled(self, now: float) -> bool:
        """Whether reports of others can't tell more than is known here."""
        heard = max(self.direct, self.relayed, self.aggregated)
        return now - heard < REPORTED_SILENT_SECONDS

    def advertised(self, now: float) -> bool:
        """Whether callers may be sent to it."""
        if self.settled(now):
            return self.answers(now)
        return now - self.reported <= REPORTED_SILENT_SECONDS


class Members:
    """The routers that this one knows.

    A pulse from a router itself replaces what was known of it. Reports of others
    only add routers that are unknown or silent, so that an old one can't undo what a
    router says of itself.

    A report counts from the time at which the router was heard, not from the time at
    which the report comes. Otherwise routers that report to one another keep a router
    in the directory that none of them hears any more.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._known: dict[str, _Known] = {}
        self._by_key: dict[int, str] = {}
        self._purged_at = -math.inf
        self._answering: list[Member] | None = None
        self._answering_at = -math.inf

    @property
    def own(self) -> Member:
        """This router."""
        return self._own

    @property
    def peers(self) -> list[Member]:
        """All other routers that are not forgotten, silent ones included."""
        now = self._now()
        if now - self._purged_at >= PURGE_SECONDS:
            self._purge(now)
        return [known.member for known in self._known.values()]

    @property
    def alive(self) -> list[Member]:
        """The other routers that were heard lately."""
        now = self._now()
        if self._answering is None or now - self._answering_at > REMEMBERED_SECONDS:
            known = self._known.values()
            self._answering = [each.member for each in known if each.answers(now)]
            self._answering_at = now
        return list(self._answering)

    @property
    def zone_peers(self) -> list[Member]:
        """The other routers of this zone that were heard lately."""
        zone = self._own.zone
        return [member for member in self.alive if member.zone == zone]

    @property
    def ready(self) -> list[Member]:
        """Routers that take requests, this one included where it does."""
        now = self._now()
        others = [
            known.member for known in self._known.values() if known.advertised(now)
        ]
        everyone = [*others, self._own]
        return [m for m in everyone if m.state is MemberState.READY]

    def find_by_hash(self, key: int) -> Member | None:
        """Return the other router of a number, None where it is not known."""
        known = self._known.get(self._by_key.get(key, ""))
        return None if known is None else known.member

    def is_known(self, vm: str) -> bool:
        """Return whether a router is known, silent or not."""
        return vm in self._known or vm == self._own.vm

    @property
    def reports(self) -> list[MemberReport]:
        """What this router can tell of the others, the silent ones included.

        Routers that nobody has heard are left out: their addresses would go round
        for ever.
        """
        found = [self.report(member) for member in self.peers]
        return [report for report in found if report.silent_seconds is not None]

    def report(self, member: Member) -> MemberReport:
        """Return what this router can tell of another one."""
        evidence = self.liveness(member.vm)
        if evidence is None or math.isinf(evidence.age):
            return MemberReport(member, None)
        return MemberReport(member, evidence.age)

    def liveness(self, vm: str) -> Liveness | None:
        """Return what another router is known by; None where it isn't known."""
        known = self._known.get(vm)
        if known is None:
            return None
        return Liveness(known.heard == known.direct, self._now() - known.heard)

    def set_state(self, state: MemberState) -> None:
        """Change what this router says of itself."""
        self._own = replace(self._own, state=state)

    def set_utilisation(self, busy: float) -> None:
        """Change how busy this router says it is."""
        self._own = replace(self._own, utilisation=busy)

    def update_from_heartbeat(self, member: Member, forwarded: bool = False) -> bool:
        """Take what a router says of itself; True where it is new or has changed.

        Parameters
        ----------
        member : Member
            What it says.
        forwarded : bool
            Whether another router passed it on.
        """
        if member.vm == self._own.vm:
            return False
        before = self._known.get(member.vm)
        now = self._now()
        if before is None or not before.answers(now) or before.member != member:
            self._answering = None
        known = _Known(member, now)
        if before is not None:
            known.direct, known.relayed = before.direct, before.relayed
            known.aggregated = before.aggregated
        if forwarded:
            known.relayed = now
        else:
            known.direct = now
        self._keep(known)
        return before is None or before.member != member

    def update_from_aggregator(self, told: Mapping[int, MemberStatus]) -> None:
        """Take what the aggregator of this zone tells, by the routers' numbers."""
        now = self._now()
        self._answering = None
        for key, status in told.items():
            known = self._known.get(self._by_key.get(key, ""))
            if known is None:
                continue
            heard = now - status.silent_seconds
            if heard > known.heard:
                known.member = replace(
                    known.member, state=status.state, utilisation=status.utilisation
                )
            known.aggregated = max(known.aggregated, heard)
            known.noted = max(known.noted, heard)

    def merge_report(self, report: MemberReport) -> bool:
        """Take what another router tells of one; True where it was unknown."""
        member = report.member
        if member.vm == self._own.vm or member.state is MemberState.LEAVING:
            return False
        now = self._now()
        known = self._known.get(member.vm)
        if known is not None and known.settled(now):
            return False
        if report.silent_seconds is None:
            # an address to try, no sign of life
            if known is None:
                self._keep(_Known(member, now))
            return known is None
        heard = now - report.silent_seconds
        if known is not None and heard <= known.heard:
            return False
        self._keep(_Known(member, heard, reported=heard))
        return known is None

    def _purge(self, now: float) -> None:
        self._purged_at = now
        for vm, known in list(self._known.items()):
            if now - known.noted > FORGET_SECONDS:
                del self._known[vm]
                self._answering = None
                self._by_key.pop(name_hash(vm), None)

    def _keep(self, known: _Known) -> None:
        vm = known.member.vm
        self._known[vm] = known
        self._by_key[name_hash(vm)] = vm

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
