"""Tests that the log lines of a failed request show the cause."""

import asyncio
import os
from contextlib import contextmanager
from tempfile import TemporaryFile

import loguru
from expression import Error
from teaselctl.commands import get_command_by_name
from teaselctl.story import read_request_log
from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.log import LineWriter
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import make_route, running_route, send_request
from teaselledge_standins.scripted import ScriptedEndpoint, reset, response_bytes

OWN_ID = {"X-Request-Id": "q1"}


class Logs:
    """Log lines that were written to a file."""

    def __init__(self, file) -> None:
        self._file = file

    def texts(self) -> list[tuple[str, str]]:
        """Return pairs of source and line."""
        self._file.seek(0)
        return [("r1", line.decode()) for line in self._file.readlines()]


@contextmanager
def logs():
    """Collect log lines in a file."""
    with TemporaryFile() as file:
        writer = LineWriter(os.dup(file.fileno()))
        handler = loguru.logger.add(writer, level="INFO")
        yield Logs(file)
        loguru.logger.remove(handler)


def events(request_log) -> list[str]:
    return [line.event for line in request_log.lines]


async def test_refused_request_logs_its_fault(logs):
    async with running_route(make_route(RetryPolicy.NEVER)) as served:

        async def full(context):
            return Error(Fault(FaultKind.OVER_CAPACITY, 0.5))

        served.placer.place = full
        response = await send_request(served.port, "POST", body=b"order")
    assert response.status == 503
    request_log = read_request_log("q1", logs.texts())
    assert request_log.lines[-1].fields["fault"] == "over-capacity"
    assert request_log.lines[-1].fields["retry_after"] == 0.5


async def test_broken_stream_logs_the_address_of_its_engine(logs):
    """An engine crashes in the middle of a stream; the log must name the engine."""

    async def crash(request, writer):
        head = response_bytes(200, OWN_ID, b"", length=False)
        writer.write(head + b"id: 1\ndata: 1\n\n")
        await asyncio.sleep(0.02)
        reset(writer)

    async with ScriptedEndpoint(crash) as endpoint:
        route = make_route(RetryPolicy.NEVER, stream=True)
        async with running_route(route, endpoint.address) as served:
            await send_request(served.port, "POST", body=b"prompt")
            await asyncio.sleep(0.05)
    request_log = read_request_log("q1", logs.texts())
    assert events(request_log)[0] == "attempt sent"
    assert request_log.lines[0].fields["address"] == endpoint.address
    assert request_log.lines[-1].fields["outcome"] == "broken"
    assert request_log.lines[-1].fields["first_ms"] is not None


async def test_router_without_configuration_logs_that_fault(logs):
    async with running_route(make_route(RetryPolicy.ANY)) as served:
        served.server.routing = None
        await send_request(served.port)
    (line,) = read_request_log("q1", logs.texts()).lines
    assert (line.fields["fault"], line.fields["version"]) == ("not-configured", 0)


def test_events_at_the_same_router_are_related_to_the_request():
    texts = [
        ("r1", '{"at": 10.0, "event": "store lost", "fault": "unreachable"}'),
        ("r2", '{"at": 10.5, "event": "store lost", "fault": "unreachable"}'),
        ("r1", '{"at": 12.0, "event": "request ended", "id": "q1"}'),
        ("r1", '{"at": 30.0, "event": "store regained"}'),
        ("r1", "not a line"),
        ("r1", "{torn"),
        ("r1", ""),
    ]
    request_log = read_request_log("q1", texts)
    assert [line.event for line in request_log.related] == ["store lost"]
    assert [line.source for line in request_log.related] == ["r1"]
    assert request_log.malformed_count == 2


async def test_unknown_id_is_reported(logs):
    command = get_command_by_name("explain").load()
    output = await command(["q9", __file__])
    assert output.code == 1
    assert "No line tells of q9" in output.text
