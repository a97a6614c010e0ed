"""What is known of each router's life, and which news replaces which."""

from collections.abc import Iterator, Set
from dataclasses import dataclass, replace
from enum import IntEnum

import xxhash
from teaselledge_wire.gen.router.ttypes import Rumour

from teaselledge.process.member import Member

__all__ = ["Change", "MemberRecord", "State", "MembershipView"]

REFUTE_BEATS = 5
"""Beats by which a router must be ahead of its death notice to be alive.

A death is declared four beat periods or more after the last beat that anyone
heard, and a later beat that someone heard would have refuted it; news that was
under way when it died cannot carry so high a beat.
"""

MAX_LIVES = 4
"""Incarnations kept for one VM."""

DIGEST_BITS = 63


class State(IntEnum):
    """Whether a router is thought to live; the higher wins at one beat."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True)
class MemberRecord:
    """What is known of one incarnation of a router.

    Attributes
    ----------
    member : Member
        The router; its `leaving` never goes back to false.
    beat : int
        Highest beat that anyone is known to have heard.
    state : State
        Whether it lives.
    since : float
        Loop time at which the state was taken.
    """

    member: Member
    beat: int
    state: State
    since: float

    def to_rumour(self) -> Rumour:
        """Return the record as it is told to others."""
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
    """What a rumour did to the view."""

    NONE = 0
    """Nothing; it was known already."""

    UPDATED = 1
    """It changed the view and is worth passing on."""

    STALE = 2
    """The view knows better, which the sender should be told."""


class MembershipView:
    """Records by VM and incarnation.

    Each incarnation has a record of its own, so what is told of a predecessor
    can't hit its successor, nor the other way round.
    """

    def __init__(self) -> None:
        self._lives: dict[str, dict[int, MemberRecord]] = {}
        self._epoch = 0
        self._current: tuple[int, dict[str, int]] = (-1, {})
        self._digest: tuple[tuple[int, Member], int] | None = None

    def merge(self, rumour: Rumour, now: float) -> Change:
        """Take a rumour in."""
        lives = self._lives.setdefault(rumour.vm, {})
        known = lives.get(rumour.incarnation)
        if known is None:
            if rumour.state != State.DEAD and not rumour.peer_address:
                # without addresses it names nobody; the full record follows
                return Change.NONE
            self._put(_record(rumour, now))
            self._trim(rumour.vm)
            return Change.UPDATED
        if _is_stale(known, rumour):
            return Change.STALE if known.state is State.ALIVE else Change.NONE
        merged = _merge(known, rumour, now)
        self._put(merged)
        return Change.UPDATED if _told(merged) != _told(known) else Change.NONE

    def find(self, vm: str, incarnation: int) -> MemberRecord | None:
        """Return the record of one incarnation."""
        return self._lives.get(vm, {}).get(incarnation)

    def current(self, vm: str) -> MemberRecord | None:
        """Return the highest incarnation that is not dead."""
        living = [r for r in self._lives.get(vm, {}).values() if r.state < State.DEAD]
        return max(living, key=lambda r: r.member.incarnation, default=None)

    def live_records(self) -> Iterator[MemberRecord]:
        """Iterate over the current record of every router that has one."""
        for vm, incarnation in list(self._current_lives().items()):
            yield self._lives[vm][incarnation]

    def live_vms(self) -> Set[str]:
        """Return the VMs with a record that is not dead."""
        return self._current_lives().keys()

    def _current_lives(self) -> dict[str, int]:
        # asked many times a second, changes with the epoch only
        if self._current[0] != self._epoch:
            lives = {}
            for vm in self._lives:
                found = self.current(vm)
                if found is not None:
                    lives[vm] = found.member.incarnation
            self._current = (self._epoch, lives)
        return self._current[1]

    def records(self) -> Iterator[MemberRecord]:
        """Iterate over all records."""
        for lives in self._lives.values():
            yield from lives.values()

    def set_state(self, record: MemberRecord, state: State, now: float) -> MemberRecord:
        """Change the state of a record."""
        changed = replace(record, state=state, since=now)
        self._put(changed)
        return changed

    def mark_leaving(self, record: MemberRecord) -> MemberRecord:
        """Note that an incarnation leaves, which never goes back."""
        changed = replace(record, member=replace(record.member, leaving=True))
        self._put(changed)
        return changed

    def prune_dead(self, before: float) -> None:
        """Drop the dead of long ago."""
        for vm, lives in list(self._lives.items()):
            for incarnation, record in list(lives.items()):
                if record.state is State.DEAD and record.since < before:
                    del lives[incarnation]
            if not lives:
                del self._lives[vm]

    @property
    def epoch(self) -> int:
        """Grows when a router comes, goes or changes what others act on."""
        return self._epoch

    def digest(self, own: Member) -> int:
        """Return a hash of who lives and who leaves, one more router included.

        It is equal in views that agree.
        """
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
        lives = self._lives.setdefault(member.vm, {})
        old = lives.get(member.incarnation)
        lives[member.incarnation] = record
        if old is None or _told(old) != _told(record):
            self._epoch += 1

    def _trim(self, vm: str) -> None:
        lives = self._lives[vm]
        while len(lives) > MAX_LIVES:
            # a process that restarts in a loop must not fill the memory
            worst = min(
                lives.values(),
                key=lambda r: (r.state < State.DEAD, r.member.incarnation),
            )
            del lives[worst.member.incarnation]
            self._epoch += 1


def _told(record: MemberRecord) -> tuple[State, bool, bool, str]:
    """Return what others act on, so that a change of it is passed on."""
    member = record.member
    configured = member.version > 0
    return record.state, member.leaving, configured, member.peer_address


def _record(rumour: Rumour, now: float) -> MemberRecord:
    member = Member(
        rumour.vm,
        rumour.zone or "",
        rumour.region or "",
        rumour.peer_address or "",
        rumour.caller_address or "",
        rumour.incarnation,
        rumour.leaving,
        rumour.version or 0,
        rumour.load or 0.0,
        rumour.operator_address or "",
    )
    return MemberRecord(member, rumour.beat, State(rumour.state), now)


def _is_stale(known: MemberRecord, rumour: Rumour) -> bool:
    """Return whether a rumour tells less than what is known.

    News of a router's leaving is never stale.
    """
    if rumour.leaving and not known.member.leaving:
        return False
    if known.state is State.DEAD and rumour.state != State.DEAD:
        return rumour.beat < known.beat + REFUTE_BEATS
    if rumour.beat != known.beat:
        return rumour.beat < known.beat
    return rumour.state < known.state


def _merge(known: MemberRecord, rumour: Rumour, now: float) -> MemberRecord:
    told = _record(rumour, now)
    leaving = known.member.leaving or rumour.leaving
    if rumour.beat < known.beat or (
        known.state is State.DEAD
        and rumour.state != State.DEAD
        and rumour.beat < known.beat + REFUTE_BEATS
    ):
        return replace(known, member=replace(known.member, leaving=leaving))
    member = known.member
    if told.member.peer_address:
        member = told.member
    state = told.state
    if rumour.beat == known.beat:
        state = max(state, known.state)
    since = known.since if state is known.state else now
    return MemberRecord(replace(member, leaving=leaving), rumour.beat, state, since)
