"""Tests that logging is limited and does not block."""

import json
import os
from contextlib import contextmanager

import loguru
from teaselledge_fleet.log import (
    MAX_BURST_LINES,
    MAX_PENDING_LINES,
    LineWriter,
    get_log,
)


@contextmanager
def pipe():
    """Yield the read and write end of a pipe."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader: int) -> list[dict]:
    data = b""
    while True:
        try:
            chunk = os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        data += chunk
    return [json.loads(line) for line in data.splitlines()]


def test_reader_that_stops_reading_does_not_block(pipe):
    """The reader of the log hangs; the router must not block at its next line."""
    reader, descriptor = pipe
    writer = LineWriter(descriptor)
    # refilled before each line, so that the rate limit does not drop any
    writer._available_lines = 1e9
    handler = loguru.logger.add(writer)
    log = get_log("test")
    for number in range(3 * MAX_PENDING_LINES):
        writer._available_lines = 1e9
        log.warning("line", number=number, filler="x" * 500)
    assert len(writer._pending) <= MAX_PENDING_LINES
    read_lines(reader)
    for _ in range(200):
        writer.flush()
        read_lines(reader)
    writer._available_lines = 1e9
    log.warning("line after")
    (last,) = read_lines(reader)
    assert last["dropped_lines"] > 0
    loguru.logger.remove(handler)


def test_flood_keeps_warnings_and_counts_dropped_lines(pipe):
    reader, descriptor = pipe
    writer = LineWriter(descriptor)
    handler = loguru.logger.add(writer)
    log = get_log("test")
    for _ in range(2 * MAX_BURST_LINES):
        log.info("ordinary")
    for _ in range(50):
        log.warning("failure")
    lines = read_lines(reader)
    loguru.logger.remove(handler)
    assert sum(line["event"] == "failure" for line in lines) == 50
    assert sum(line["event"] == "ordinary" for line in lines) <= MAX_BURST_LINES
    assert sum(line.get("dropped_lines", 0) for line in lines) >= MAX_BURST_LINES


def test_exception_is_logged_without_values_of_variables(pipe):
    reader, descriptor = pipe
    handler = loguru.logger.add(LineWriter(descriptor))
    try:
        raise ValueError("bad")
    except ValueError:
        get_log("test").exception("failed")
    (line,) = read_lines(reader)
    loguru.logger.remove(handler)
    assert line["error"] == "ValueError('bad')"
    assert line["where"][0].startswith("test_log.py:")
