"""Tests that logging is bounded and never waits."""

import json
import os
from contextlib import contextmanager

import loguru
from teaselledge_fleet.log import (
    BURST_LINES,
    PENDING_LINES,
    LineWriter,
    get_log,
)


@contextmanager
def pipe():
    """Give the two ends of a pipe that nobody reads yet."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def lines_of(reader: int) -> list[dict]:
    data = b""
    while True:
        try:
            part = os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        data += part
    return [json.loads(line) for line in data.splitlines()]


def test_a_reader_that_stops_reading_is_not_waited_for(pipe):
    """The log's reader hangs, and the router must go on serving."""
    reader, descriptor = pipe
    writer = LineWriter(descriptor)
    writer._allowance = 1e9
    handler = loguru.logger.add(writer)
    log = get_log("test")
    for number in range(3 * PENDING_LINES):
        writer._allowance = 1e9
        log.warning("line", number=number, filler="x" * 500)
    assert len(writer._pending) <= PENDING_LINES
    lines_of(reader)
    for _ in range(200):
        writer.flush()
        lines_of(reader)
    writer._allowance = 1e9
    log.warning("line after")
    (last,) = lines_of(reader)
    assert last["dropped_lines"] > 0
    loguru.logger.remove(handler)


def test_a_flood_keeps_failures_and_counts_the_rest(pipe):
    reader, descriptor = pipe
    writer = LineWriter(descriptor)
    handler = loguru.logger.add(writer)
    log = get_log("test")
    for _ in range(2 * BURST_LINES):
        log.info("ordinary")
    for _ in range(50):
        log.warning("failure")
    lines = lines_of(reader)
    loguru.logger.remove(handler)
    assert sum(line["event"] == "failure" for line in lines) == 50
    assert sum(line["event"] == "ordinary" for line in lines) <= BURST_LINES
    assert sum(line.get("dropped_lines", 0) for line in lines) >= BURST_LINES


def test_an_exception_is_told_without_values(pipe):
    reader, descriptor = pipe
    handler = loguru.logger.add(LineWriter(descriptor))
    try:
        raise ValueError("bad")
    except ValueError:
        get_log("test").exception("failed")
    (line,) = lines_of(reader)
    loguru.logger.remove(handler)
    assert line["error"] == "ValueError('bad')"
    assert line["where"][0].startswith("test_log.py:")
