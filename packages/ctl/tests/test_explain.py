"""Tests that the cause of a failed request can be read from its lines."""

import asyncio
import os
from contextlib import contextmanager
from tempfile import TemporaryFile

import loguru
from expression import Error
from teaselctl.commands import get_command_by_name
from teaselctl.story import read_story
from teaselledge_fleet.faults import Fault, FaultKind
from teaselledge_fleet.log import LineWriter
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import make_route, running_route, send_request
from teaselledge_standins.scripted import ScriptedEndpoint, reset, response_bytes

OWN_ID = {"X-Request-Id": "q1"}


class Logs:
    """The lines that a router wrote."""

    def __init__(self, file) -> None:
        self._file = file

    def texts(self) -> list[tuple[str, str]]:
        """Return the lines with their source."""
        self._file.seek(0)
        return [("r1", line.decode()) for line in self._file.readlines()]


@contextmanager
def logs():
    """Collect what is logged."""
    with TemporaryFile() as file:
        writer = LineWriter(os.dup(file.fileno()))
        handler = loguru.logger.add(writer, level="INFO")
        yield Logs(file)
        loguru.logger.remove(handler)


def events(story) -> list[str]:
    return [line.event for line in story.lines]


async def test_a_refused_request_tells_why(logs):
    async with running_route(make_route(RetryPolicy.NEVER)) as served:

        async def full(context):
            return Error(Fault(FaultKind.OVER_CAPACITY, 0.5))

        served.placer.place = full
        answered = await send_request(served.port, "POST", body=b"order")
    assert answered.status == 503
    story = read_story("q1", logs.texts())
    assert story.lines[-1].fields["fault"] == "over-capacity"
    assert story.lines[-1].fields["retry_after"] == 0.5


async def test_a_broken_stream_tells_its_engine(logs):
    """An engine crashes in the middle of a stream."""

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
    story = read_story("q1", logs.texts())
    assert events(story)[0] == "attempt sent"
    assert story.lines[0].fields["address"] == endpoint.address
    assert story.lines[-1].fields["outcome"] == "broken"
    assert story.lines[-1].fields["first_ms"] is not None


async def test_a_router_without_configuration_tells_so(logs):
    async with running_route(make_route(RetryPolicy.ANY)) as served:
        served.server.routing = None
        await send_request(served.port)
    (line,) = read_story("q1", logs.texts()).lines
    assert (line.fields["fault"], line.fields["version"]) == ("not-configured", 0)


def test_changes_at_the_same_router_belong_to_the_story():
    texts = [
        ("r1", '{"at": 10.0, "event": "store lost", "fault": "unreachable"}'),
        ("r2", '{"at": 10.5, "event": "store lost", "fault": "unreachable"}'),
        ("r1", '{"at": 12.0, "event": "request ended", "id": "q1"}'),
        ("r1", '{"at": 30.0, "event": "store regained"}'),
        ("r1", "not a line"),
        ("r1", "{torn"),
        ("r1", ""),
    ]
    story = read_story("q1", texts)
    assert [line.event for line in story.around] == ["store lost"]
    assert [line.source for line in story.around] == ["r1"]
    assert story.malformed == 2


async def test_an_unknown_id_is_told(logs):
    command = get_command_by_name("explain").load()
    output = await command(["q9", __file__])
    assert output.code == 1
    assert "No line tells of q9" in output.text
