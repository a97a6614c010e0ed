"""Records of the routers' states, and the rules for merging member reports."""

from collections.abc import Iterator, Set
from dataclasses import dataclass, replace
from enum import IntEnum

import xxhash
from teaselledge_wire.gen.router.ttypes import Rumour

from teaselledge.process.member import Member

__all__ = ["Change", "MemberRecord", "State", "MembershipView"]

REFUTE_BEATS = 5
"""Minimum lead of a router's beat number over the report of its death to revive it.

A death is declared four heartbeat periods or more after the last heartbeat that any
router received, and a later one would have refuted it. Reports in transit when the
router died can't carry so high a beat number.
"""

MAX_INCARNATIONS = 4
"""Maximum number of incarnations retained for one VM."""

DIGEST_BITS = 63


class State(IntEnum):
    """State of a router; at equal beat numbers the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True)
class MemberRecord:
    """State of one incarnation of a router.

    Attributes
    ----------
    member : Member
        The router; its `leaving` never returns to false.
    beat : int
        Highest beat number that any router has reported.
    state : State
        Whether the router is alive.
    since : float
        Loop time of the last change of state.
    """

    member: Member
    beat: int
    state: State
    since: float

    def to_report(self) -> Rumour:
        """Return the record as a member report for other routers."""
        member = self.member
        short = Rumour(
            member.vm, member.incarnation, self.beat, int(self.state), member.leaving
        )
        if self.state is not State.ALIVE:
            return short
        short.zone, short.region = member.zone, member.region
        short.peer_address = member.peer_address
        short.caller_address = member.caller_address
        short.operator_address = member.operator_address
        short.version, short.load = member.version, member.load
        return short


class Change(IntEnum):
    """Effect of a member report on the view."""

    NONE = 0
    """No effect."""

    UPDATED = 1
    """The report changed the view and should be forwarded."""

    STALE = 2
    """The view has a newer record, which the sender should receive."""


class MembershipView:
    """Records by VM and incarnation.

    Each incarnation has its own record, so that reports about a predecessor don't
    affect its successor, nor the other way round.
    """

    def __init__(self) -> None:
        self._incarnations: dict[str, dict[int, MemberRecord]] = {}
        self._epoch = 0
        self._current: tuple[int, dict[str, int]] = (-1, {})
        self._digest: tuple[tuple[int, Member], int] | None = None

    def merge(self, report: Rumour, now: float) -> Change:
        """Merge a member report."""
        incarnations = self._incarnations.setdefault(report.vm, {})
        known = incarnations.get(report.incarnation)
        if known is None:
            if report.state != State.DEAD and not report.peer_address:
                # without an address the record is of no use; the full one follows
                return Change.NONE
            self._put(_record(report, now))
            self._trim(report.vm)
            return Change.UPDATED
        if _is_stale(known, report):
            return Change.STALE if known.state is State.ALIVE else Change.NONE
        merged = _merge(known, report, now)
        self._put(merged)
        return (
            Change.UPDATED
            if _forwarded_fields(merged) != _forwarded_fields(known)
            else Change.NONE
        )

    def find(self, vm: str, incarnation: int) -> MemberRecord | None:
        """Return the record of one incarnation."""
        return self._incarnations.get(vm, {}).get(incarnation)

    def current(self, vm: str) -> MemberRecord | None:
        """Return the highest incarnation that is not dead."""
        not_dead = [
            r for r in self._incarnations.get(vm, {}).values() if r.state < State.DEAD
        ]
        return max(not_dead, key=lambda r: r.member.incarnation, default=None)

    def live_records(self) -> Iterator[MemberRecord]:
        """Iterate over the current record of every router that has one."""
        for vm, incarnation in list(self._current_incarnations().items()):
            yield self._incarnations[vm][incarnation]

    def live_vms(self) -> Set[str]:
        """Return the VMs with a record that is not dead."""
        return self._current_incarnations().keys()

    def _current_incarnations(self) -> dict[str, int]:
        # called many times a second, changes with the epoch only
        if self._current[0] != self._epoch:
            incarnations = {}
            for vm in self._incarnations:
                found = self.current(vm)
                if found is not None:
                    incarnations[vm] = found.member.incarnation
            self._current = (self._epoch, incarnations)
        return self._current[1]

    def records(self) -> Iterator[MemberRecord]:
        """Iterate over all records."""
        for incarnations in self._incarnations.values():
            yield from incarnations.values()

    def set_state(self, record: MemberRecord, state: State, now: float) -> MemberRecord:
        """Change the state of a record."""
        changed = replace(record, state=state, since=now)
        self._put(changed)
        return changed

    def mark_leaving(self, record: MemberRecord) -> MemberRecord:
        """Mark an incarnation as leaving, permanently."""
        changed = replace(record, member=replace(record.member, leaving=True))
        self._put(changed)
        return changed

    def prune_dead(self, before: float) -> None:
        """Remove the records of routers that died before a loop time."""
        for vm, incarnations in list(self._incarnations.items()):
            for incarnation, record in list(incarnations.items()):
                if record.state is State.DEAD and record.since < before:
                    del incarnations[incarnation]
            if not incarnations:
                del self._incarnations[vm]

    @property
    def epoch(self) -> int:
        """Counter of added and removed records and of changes that others act on."""
        return self._epoch

    def digest(self, own: Member) -> int:
        """Return a hash of the live routers, `own` included; equal in equal views."""
        key = (self._epoch, own)
        if self._digest is None or self._digest[0] != key:
            members = [r.member for r in self.live_records() if r.member.vm != own.vm]
            members.append(own)
            text = "\n".join(
                f"{m.vm} {m.incarnation} {m.leaving} {m.version > 0} {m.peer_address}"
                for m in sorted(members, key=lambda member: member.vm)
            )
            bits = xxhash.xxh3_64_intdigest(text.encode())
            self._digest = (key, bits & ((1 << DIGEST_BITS) - 1))
        return self._digest[1]

    def _put(self, record: MemberRecord) -> None:
        member = record.member
        incarnations = self._incarnations.setdefault(member.vm, {})
        old = incarnations.get(member.incarnation)
        incarnations[member.incarnation] = record
        if old is None or _forwarded_fields(old) != _forwarded_fields(record):
            self._epoch += 1

    def _trim(self, vm: str) -> None:
        incarnations = self._incarnations[vm]
        while len(incarnations) > MAX_INCARNATIONS:
            # a process that restarts in a loop must not fill the memory
            oldest = min(
                incarnations.values(),
                key=lambda r: (r.state < State.DEAD, r.member.incarnation),
            )
            del incarnations[oldest.member.incarnation]
            self._epoch += 1


def _forwarded_fields(record: MemberRecord) -> tuple[State, bool, bool, str]:
    """Return the fields that others act on; a change of them is forwarded."""
    member = record.member
    configured = member.version > 0
    return record.state, member.leaving, configured, member.peer_address


def _record(report: Rumour, now: float) -> MemberRecord:
    member = Member(
        report.vm,
        report.zone or "",
        report.region or "",
        report.peer_address or "",
        report.caller_address or "",
        report.incarnation,
        report.leaving,
        report.version or 0,
        report.load or 0.0,
        report.operator_address or "",
    )
    return MemberRecord(member, report.beat, State(report.state), now)


def _is_stale(known: MemberRecord, report: Rumour) -> bool:
    """Return whether a report is older than the known record.

    A report that a router leaves is never stale.
    """
    if report.leaving and not known.member.leaving:
        return False
    if known.state is State.DEAD and report.state != State.DEAD:
        return report.beat < known.beat + REFUTE_BEATS
    if report.beat != known.beat:
        return report.beat < known.beat
    return report.state < known.state


def _merge(known: MemberRecord, report: Rumour, now: float) -> MemberRecord:
    reported = _record(report, now)
    leaving = known.member.leaving or report.leaving
    if report.beat < known.beat or (
        known.state is State.DEAD
        and report.state != State.DEAD
        and report.beat < known.beat + REFUTE_BEATS
    ):
        return replace(known, member=replace(known.member, leaving=leaving))
    member = known.member
    if reported.member.peer_address:
        member = reported.member
    state = reported.state
    if report.beat == known.beat:
        state = max(state, known.state)
    since = known.since if state is known.state else now
    return MemberRecord(replace(member, leaving=leaving), report.beat, state, since)
