"""Pack loads, token usage and member statuses, so that they fit into a datagram."""

import struct
from collections.abc import Iterable

from teaselledge_fleet.process.members import (
    SILENT_SECONDS,
    MemberReport,
    MemberState,
    MemberStatus,
)
from teaselledge_fleet.process.prefill import SlowdownSamples
from teaselledge_fleet.process.shares import TokenUsage
from teaselledge_fleet.process.work import EndpointLoad, name_hash
from teaselledge_fleet.quarantine.records import EndReport

__all__ = [
    "pack_end_reports",
    "pack_engine_slowdowns",
    "pack_member_ages",
    "pack_member_statuses",
    "pack_pulse_marks",
    "pack_slowdowns",
    "pack_usage",
    "pack_loads",
    "unpack_end_reports",
    "unpack_member_statuses",
    "unpack_pulse_marks",
    "unpack_slowdowns",
    "unpack_usage",
    "unpack_loads",
]

LOAD_FORMAT = struct.Struct("!IHH")
"""Hash of an endpoint's name, requests in flight, and prefill in milliseconds."""

USAGE_FORMAT = struct.Struct("!III")
"""Hash of an organisation's name, and tokens requested and allocated."""

SLOWDOWN_FORMAT = struct.Struct("!IHh")
"""Hash of a service's name, weight of the responses in hundredths of a second, and the
natural logarithm of their mean slowdown in thousandths."""

STATUS_FORMAT = struct.Struct("!IBB")
"""Hash of a router's name, its state, and its CPU utilisation in percent."""

END_REPORT_FORMAT = struct.Struct("!QIIBB")
"""Hash of a content, hash of an endpoint, age of the report in milliseconds, number of
requests served, and number of segments."""

SEGMENT_FORMAT = struct.Struct("!Q")
"""Hash of a segment of the prompt."""

AGE_UNIT_SECONDS = 0.01
MAX_AGE = 255
"""Maximum age that fits into a byte, 2.55 s; greater ages make no difference."""

MS_PER_SECOND = 1000
SLOWDOWN_WEIGHT_UNIT_SECONDS = 0.01
SLOWDOWN_LOG_UNIT = 0.001
PERCENT = 100
MAX_INT16 = 0x7FFF
MAX_UINT8 = 0xFF
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF
MAX_ENGINE_SLOWDOWN_BYTES = 128
MAX_PACKED_BYTES = 1000
"""Limit that keeps a message within one datagram; the smallest rows are left out."""


def pack_end_reports(reports: Iterable[EndReport], now: float) -> bytes:
    """Return reports of endpoints that ended as bytes."""
    return b"".join(_pack_end_report(report, now) for report in reports)


def unpack_end_reports(data: bytes, now: float) -> list[EndReport]:
    """Return reports of endpoints that ended; an incomplete one is ignored."""
    reports, position = [], 0
    while position + END_REPORT_FORMAT.size <= len(data):
        content, endpoint, age_ms, served, count = END_REPORT_FORMAT.unpack_from(
            data, position
        )
        position += END_REPORT_FORMAT.size
        end = position + count * SEGMENT_FORMAT.size
        if end > len(data):
            break
        rows = SEGMENT_FORMAT.iter_unpack(data[position:end])
        segments = tuple(segment for (segment,) in rows)
        at = now - age_ms / MS_PER_SECOND
        reports.append(EndReport(content, endpoint, at, segments, served))
        position = end
    return reports


def _pack_end_report(report: EndReport, now: float) -> bytes:
    fields = END_REPORT_FORMAT.pack(
        report.content,
        report.endpoint,
        _clamp((now - report.at) * MS_PER_SECOND, MAX_UINT32),
        _clamp(report.served_count, MAX_UINT8),
        len(report.segments),
    )
    return fields + b"".join(map(SEGMENT_FORMAT.pack, report.segments))


def pack_loads(loads: dict[int, EndpointLoad]) -> bytes:
    """Return loads by hash of the endpoint's name as bytes, the largest first."""
    rows = sorted(loads.items(), key=lambda item: -item[1].in_flight)
    rows = rows[: MAX_PACKED_BYTES // LOAD_FORMAT.size]
    return b"".join(
        LOAD_FORMAT.pack(
            hashed_name,
            _clamp(load.in_flight, MAX_UINT16),
            _clamp(load.prefill_seconds * MS_PER_SECOND, MAX_UINT16),
        )
        for hashed_name, load in rows
    )


def unpack_loads(data: bytes) -> dict[int, EndpointLoad]:
    """Return loads by hash of the endpoint's name; an incomplete row is ignored."""
    complete_rows = data[: len(data) - len(data) % LOAD_FORMAT.size]
    return {
        hashed_name: EndpointLoad(in_flight, prefill_ms / MS_PER_SECOND)
        for hashed_name, in_flight, prefill_ms in LOAD_FORMAT.iter_unpack(complete_rows)
    }


def pack_usage(usages: dict[int, TokenUsage]) -> bytes:
    """Return token usage by hash of the organisation's name as bytes, largest first."""
    rows = sorted(usages.items(), key=lambda item: -item[1].requested)
    rows = rows[: MAX_PACKED_BYTES // USAGE_FORMAT.size]
    return b"".join(
        USAGE_FORMAT.pack(
            hashed_name,
            _clamp(usage.requested, MAX_UINT32),
            _clamp(usage.allocated, MAX_UINT32),
        )
        for hashed_name, usage in rows
    )


def unpack_usage(data: bytes) -> dict[int, TokenUsage]:
    """Return token usage by hash of the organisation's name.

    An incomplete row is ignored.
    """
    complete_rows = data[: len(data) - len(data) % USAGE_FORMAT.size]
    return {
        hashed_name: TokenUsage(requested, allocated)
        for hashed_name, requested, allocated in USAGE_FORMAT.iter_unpack(complete_rows)
    }


def pack_engine_slowdowns(slowdowns: dict[int, SlowdownSamples]) -> bytes:
    """Return responses by hash of the engine's id as bytes, most weight first."""
    return pack_slowdowns(slowdowns, MAX_ENGINE_SLOWDOWN_BYTES)


def pack_slowdowns(
    slowdowns: dict[int, SlowdownSamples], max_bytes: int = MAX_PACKED_BYTES
) -> bytes:
    """Return responses by hash of the service's name as bytes, most weight first."""
    rows = sorted(slowdowns.items(), key=lambda item: -item[1].weight)
    rows = rows[: max_bytes // SLOWDOWN_FORMAT.size]
    return b"".join(
        SLOWDOWN_FORMAT.pack(
            hashed_name,
            _clamp(samples.weight / SLOWDOWN_WEIGHT_UNIT_SECONDS, MAX_UINT16),
            _clamp_signed(samples.mean_log / SLOWDOWN_LOG_UNIT, MAX_INT16),
        )
        for hashed_name, samples in rows
        if samples.weight > 0
    )


def unpack_slowdowns(data: bytes) -> dict[int, SlowdownSamples]:
    """Return responses by hash of the service's name.

    An incomplete row is ignored.
    """
    complete_rows = data[: len(data) - len(data) % SLOWDOWN_FORMAT.size]
    return {
        hashed_name: SlowdownSamples.from_mean(
            weight * SLOWDOWN_WEIGHT_UNIT_SECONDS, mean_log * SLOWDOWN_LOG_UNIT
        )
        for hashed_name, weight, mean_log in SLOWDOWN_FORMAT.iter_unpack(complete_rows)
    }


def pack_member_statuses(reports: list[MemberReport]) -> bytes:
    """Return the state and utilisation of routers as bytes."""
    return b"".join(
        STATUS_FORMAT.pack(
            name_hash(report.member.vm),
            int(report.member.state),
            _clamp(report.member.utilisation * PERCENT, PERCENT),
        )
        for report in reports[: MAX_PACKED_BYTES // STATUS_FORMAT.size]
    )


def pack_member_ages(reports: list[MemberReport]) -> bytes:
    """Return the time since each router's last heartbeat as bytes.

    The order is that of the member statuses.
    """
    return bytes(
        MAX_AGE
        if report.silent_seconds is None
        else _clamp(report.silent_seconds / AGE_UNIT_SECONDS, MAX_AGE)
        for report in reports[: MAX_PACKED_BYTES // STATUS_FORMAT.size]
    )


def pack_pulse_marks(marks: list[int]) -> bytes:
    """Return the marks of the heartbeats that are included in the totals, as bytes.

    The order is that of the member statuses.
    """
    return bytes(marks[: MAX_PACKED_BYTES // STATUS_FORMAT.size])


def unpack_pulse_marks(data: bytes, marks: bytes) -> dict[int, int]:
    """Return the marks by hash of the router's name."""
    complete_rows = data[: len(data) - len(data) % STATUS_FORMAT.size]
    name_hashes = [
        hashed_name for hashed_name, _, _ in STATUS_FORMAT.iter_unpack(complete_rows)
    ]
    return dict(zip(name_hashes, marks, strict=False))


def unpack_member_statuses(data: bytes, ages: bytes) -> dict[int, MemberStatus]:
    """Return member statuses by hash of the router's name.

    A sender of an earlier release sends no ages. It lists routers only while they count
    as alive, so that `SILENT_SECONDS` is assumed.
    """
    complete_rows = data[: len(data) - len(data) % STATUS_FORMAT.size]
    statuses = {}
    for position, (hashed_name, state, utilisation_percent) in enumerate(
        STATUS_FORMAT.iter_unpack(complete_rows)
    ):
        if state not in MemberState.__members__.values():
            continue
        silent_seconds = SILENT_SECONDS
        if position < len(ages):
            silent_seconds = ages[position] * AGE_UNIT_SECONDS
        statuses[hashed_name] = MemberStatus(
            MemberState(state), utilisation_percent / PERCENT, silent_seconds
        )
    return statuses


def _clamp_signed(number: float, maximum: int) -> int:
    return max(-maximum, min(round(number), maximum))


def _clamp(number: float, maximum: int) -> int:
    return max(0, min(int(number), maximum))
