"""Work and use as packed figures, so that those of a large fleet fit a datagram."""

import struct

from teaselledge_fleet.process.members import (
    SILENT_SECONDS,
    MemberReport,
    MemberState,
    MemberStatus,
)
from teaselledge_fleet.process.shares import TokenUsage
from teaselledge_fleet.process.work import EndpointLoad, name_hash

__all__ = [
    "pack_member_ages",
    "pack_member_statuses",
    "pack_pulse_marks",
    "pack_usage",
    "pack_loads",
    "unpack_member_statuses",
    "unpack_pulse_marks",
    "unpack_usage",
    "unpack_loads",
]

WORK = struct.Struct("!IHH")
"""Endpoint, requests, and reading in milliseconds."""

USE = struct.Struct("!III")
"""Organisation, and tokens asked for and received."""

ALIVE = struct.Struct("!IBB")
"""Router, its state, and the part of its cores in use in percent."""

AGE_UNIT_SECONDS = 0.01
MAX_AGE = 255
"""Unit of an age, and the largest that a byte holds: 2.55 s, more than counts."""

MILLISECONDS = 1000
PERCENT = 100
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF
MAX_PACKED_BYTES = 1000
"""Figures beyond this are left out, the smallest first, so that a datagram is whole."""


def pack_loads(work: dict[int, EndpointLoad]) -> bytes:
    """Return the work at endpoints as bytes."""
    rows = sorted(work.items(), key=lambda item: -item[1].in_flight)
    rows = rows[: MAX_PACKED_BYTES // WORK.size]
    return b"".join(
        WORK.pack(
            key,
            _cut(each.in_flight, MAX_UINT16),
            _cut(each.prefill_seconds * MILLISECONDS, MAX_UINT16),
        )
        for key, each in rows
    )


def unpack_loads(data: bytes) -> dict[int, EndpointLoad]:
    """Return the work that bytes tell of; what does not fit is ignored."""
    whole = data[: len(data) - len(data) % WORK.size]
    return {
        key: EndpointLoad(running, reading / MILLISECONDS)
        for key, running, reading in WORK.iter_unpack(whole)
    }


def pack_usage(uses: dict[int, TokenUsage]) -> bytes:
    """Return the use of organisations as bytes."""
    rows = sorted(uses.items(), key=lambda item: -item[1].requested)
    rows = rows[: MAX_PACKED_BYTES // USE.size]
    return b"".join(
        USE.pack(key, _cut(use.requested, MAX_UINT32), _cut(use.allocated, MAX_UINT32))
        for key, use in rows
    )


def unpack_usage(data: bytes) -> dict[int, TokenUsage]:
    """Return the use that bytes tell of; what does not fit is ignored."""
    whole = data[: len(data) - len(data) % USE.size]
    return {
        key: TokenUsage(asked, received)
        for key, asked, received in USE.iter_unpack(whole)
    }


def pack_member_statuses(reports: list[MemberReport]) -> bytes:
    """Return which routers answer, as bytes."""
    return b"".join(
        ALIVE.pack(
            name_hash(report.member.vm),
            int(report.member.state),
            _cut(report.member.utilisation * PERCENT, PERCENT),
        )
        for report in reports[: MAX_PACKED_BYTES // ALIVE.size]
    )


def pack_member_ages(reports: list[MemberReport]) -> bytes:
    """Return how long ago these routers were heard, as bytes in the same order."""
    return bytes(
        MAX_AGE
        if report.silent_seconds is None
        else _cut(report.silent_seconds / AGE_UNIT_SECONDS, MAX_AGE)
        for report in reports[: MAX_PACKED_BYTES // ALIVE.size]
    )


def pack_pulse_marks(marks: list[int]) -> bytes:
    """Return the marks of what routers told, in the order in which they are told."""
    return bytes(marks[: MAX_PACKED_BYTES // ALIVE.size])


def unpack_pulse_marks(data: bytes, marks: bytes) -> dict[int, int]:
    """Return the marks by the routers' keys."""
    whole = data[: len(data) - len(data) % ALIVE.size]
    keys = [key for key, _, _ in ALIVE.iter_unpack(whole)]
    return dict(zip(keys, marks, strict=False))


def unpack_member_statuses(data: bytes, ages: bytes) -> dict[int, MemberStatus]:
    """Return what bytes tell of routers, by key.

    A sender of an earlier release tells no ages; it names a router for as long as one
    counts as answering.
    """
    whole = data[: len(data) - len(data) % ALIVE.size]
    found = {}
    for place, (key, state, busy) in enumerate(ALIVE.iter_unpack(whole)):
        if state not in MemberState.__members__.values():
            continue
        silent = SILENT_SECONDS
        if place < len(ages):
            silent = ages[place] * AGE_UNIT_SECONDS
        found[key] = MemberStatus(MemberState(state), busy / PERCENT, silent)
    return found


def _cut(number: float, most: int) -> int:
    return max(0, min(int(number), most))
