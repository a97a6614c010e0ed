"""Routers before engines of several versions, and callers that take streams up."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.version.routes import RetryPolicy

from teaselledge_standins.fleetrouters import RunningRouter, running_routers
from teaselledge_standins.routes import (
    HOST,
    ClientResponse,
    make_route,
    make_routing,
    send_request,
)
from teaselledge_standins.statestore import MemoryStateStore
from teaselledge_standins.versionedengine import VersionedEngine

__all__ = [
    "RESUMED_EVENT",
    "ROUTERS",
    "STREAMS",
    "VERSIONS",
    "VersionedFleet",
    "going_on",
    "mixed",
    "running_versions",
    "versions_of",
]

ROUTERS = 3
STREAMS = 12
VERSIONS = ("v1", "v2", "v1", "v2")
RESUMED_EVENT = 2


@dataclass(frozen=True)
class VersionedFleet:
    """Routers before engines of two versions."""

    routers: list[RunningRouter]
    engines: list[VersionedEngine]

    @property
    def store(self) -> MemoryStateStore:
        """The store of all routers."""
        return self.routers[0].store

    def endpoint(self, name: str, version: str, number: int) -> Endpoint:
        """Return an endpoint at the address of an engine."""
        address = self.engines[number].address
        return Endpoint(name, "books", address, "north-a", 40, version=version)

    async def resume(self, number: int, stream: str, **headers: str) -> ClientResponse:
        """Take a stream up after its second event, at some router."""
        fields = {
            "X-Request-Id": f"again-{stream}",
            "Last-Event-Id": str(RESUMED_EVENT),
            "X-Resumes": stream,
            **headers,
        }
        return await send_request(self.routers[number].port, "POST", fields, b"prompt")

    async def begin(self, number: int, stream: str) -> str:
        """Begin a stream at some router, and leave it; return its first event."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.routers[number].port
        )
        writer.write(
            f"POST /r/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {stream}\r\n"
            "Content-Length: 6\r\n\r\nprompt".encode()
        )
        event = (await reader.readuntil(b"\n\n")).decode()
        await asyncio.sleep(0.03)
        writer.close()
        return event


@asynccontextmanager
async def running_versions(
    announced: Iterable[str] = VERSIONS,
) -> AsyncIterator[VersionedFleet]:
    """Run routers before engines, of which those of some versions are announced."""
    async with AsyncExitStack() as stack:
        engines = [
            await stack.enter_async_context(VersionedEngine(version))
            for version in VERSIONS
        ]
        fleet = VersionedFleet([], engines)
        endpoints = [
            fleet.endpoint(f"e{number + 1}", engine.version, number)
            for number, engine in enumerate(engines)
            if engine.version in announced
        ]
        routing = make_routing(make_route(RetryPolicy.RESUME, stream=True, attempts=4))
        running = running_routers(ROUTERS, routing, endpoints)
        fleet.routers.extend(await stack.enter_async_context(running))
        await asyncio.sleep(0.5)
        yield fleet


def versions_of(body: bytes) -> list[str]:
    """Return the version of each event."""
    lines = body.decode().splitlines()
    return [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]


def mixed(streams: list[list[str]]) -> list[list[str]]:
    """Return the streams that hold events of two versions."""
    return [versions for versions in streams if len(set(versions)) > 1]


def going_on(streams: list[list[str]]) -> int:
    """Return how many streams hold more than the event with which they began."""
    return sum(len(versions) > 1 for versions in streams)
