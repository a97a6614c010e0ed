"""A router's request path in a process of its own, for tests of its memory.

``python -m teaselledge_standins.routeprocess MEMORY_BYTES ENDPOINT`` serves one route
until its input is closed. It prints its port, and then a line of JSON for each line
that it reads.
"""

import asyncio
import json
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from teaselledge_fleet.connection import front
from teaselledge_fleet.connection.front import FrontServer
from teaselledge_fleet.connection.sendbuffers import SendBufferLimits, SendBuffers
from teaselledge_fleet.process.router import FleetRouter
from teaselledge_fleet.version.routes import RetryPolicy

from teaselledge_standins.routes import make_route, running_route

__all__ = ["RouteProcess", "limit_kernel_buffers", "running_route_process"]

KERNEL_SEND_BYTES = 8 << 10
"""Send buffer of a caller's socket. On loopback the kernel would take 2.5 MB of each
response, so that nothing were left to hold."""

WRITE_TIMEOUT_SECONDS = 60.0
"""With 5 s, a slow machine disconnects callers before they fill the buffers, so that
the limits are not reached."""

ROUTER_MODULES = FleetRouter.__module__
"""Imported so that the process has the memory of a whole router."""


@dataclass(frozen=True)
class RouteProcess:
    """A running process and the port of its callers' listener."""

    process: asyncio.subprocess.Process
    port: int

    async def query(self) -> dict[str, Any]:
        """Return the process's peak memory and what it holds for slow readers."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(b"\n")
        found: dict[str, Any] = json.loads(await self.process.stdout.readline())
        return found


@asynccontextmanager
async def running_route_process(
    memory_bytes: int, endpoint: str
) -> AsyncIterator[RouteProcess]:
    """Run the process as a context manager."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        __name__,
        str(memory_bytes),
        endpoint,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        yield RouteProcess(process, int(await process.stdout.readline()))
    finally:
        process.stdin.close()
        await process.wait()


def limit_kernel_buffers(server: FrontServer) -> None:
    """Give callers' connections, which inherit it, a small send buffer."""
    for listener in server.acceptor._listeners:
        listener.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_SEND_BYTES
        )


def _peak_memory() -> int:
    """Return the most memory that the process had, in bytes.

    The figure of `getrusage` includes that of the process that started this one.
    """
    status = Path("/proc/self/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) << 10


def _status(buffers: SendBuffers) -> dict[str, Any]:
    return {
        "memory_bytes": _peak_memory(),
        "peak": buffers.peak,
        "total": buffers.total,
        "ended": {f"{r.value}-{c.value}": n for (r, c), n in buffers.ended.items()},
    }


async def _serve(memory_bytes: int, endpoint: str) -> None:
    front.WRITE_TIMEOUT_SECONDS = WRITE_TIMEOUT_SECONDS
    buffers = SendBuffers(SendBufferLimits.from_memory(memory_bytes))
    route = make_route(RetryPolicy.NEVER, stream=True, timeout=20.0)
    async with running_route(route, endpoint, send_buffers=buffers) as served:
        limit_kernel_buffers(served.front)
        print(served.port, flush=True)
        while await asyncio.to_thread(sys.stdin.readline):
            print(json.dumps(_status(buffers)), flush=True)


if __name__ == "__main__":
    asyncio.run(_serve(int(sys.argv[1]), sys.argv[2]))
