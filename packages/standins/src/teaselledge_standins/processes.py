"""A fleet of separate processes, for tests that kill and suspend them."""

import asyncio
import hashlib
import os
import secrets
import signal
import socket
import subprocess
import sys
from collections import deque
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import yaml

from teaselledge_standins.caller import Caller

__all__ = [
    "ProcessEndedError",
    "ProcessFleet",
    "end_process",
    "free_ports",
    "running_processes",
    "start_process",
]

ROUTERS = {"r1": "north-a", "r2": "north-b"}
REGION = "north"
READY_SECONDS = 60.0
FIRST_KEY = "key-of-first"
ADMIN_KEY = "key-of-admin"


PORTS = range(10_000, 30_000)
"""Ports to choose from. They are below the range for outgoing connections, since such a
connection could take a port between its choice and its use."""


class ProcessEndedError(Exception):
    """A process of the fleet ended before it was ready."""


RANGE_COUNT = 50
"""Ranges that `PORTS` is divided into. Processes that run at the same time have
consecutive ids and so choose from different ranges."""

RECENT_PORTS_COUNT = 200
"""Recently returned ports that are not returned again; half of a range.

A port returned just before has no listener yet and looks free. If it were returned
twice, one process could not start, and its clients would reach another process.
"""

_recent_ports: deque[int] = deque(maxlen=RECENT_PORTS_COUNT)


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that are free and were not returned recently."""
    size = len(PORTS) // RANGE_COUNT
    first = os.getpid() % RANGE_COUNT * size
    chosen: list[int] = []
    while len(chosen) < count:
        port = secrets.choice(PORTS[first : first + size])
        if port not in _recent_ports and _is_free(port):
            _recent_ports.append(port)
            chosen.append(port)
    return chosen


def _is_free(port: int) -> bool:
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


def start_process(
    log: Path, *arguments: str, environment: Mapping[str, str] | None = None
) -> subprocess.Popen[bytes]:
    """Start the interpreter with arguments, and append its output to a file."""
    with log.open("ab") as output:
        return subprocess.Popen(
            [sys.executable, *arguments],
            stdout=output,
            stderr=output,
            env={**os.environ, **(environment or {})},
        )


def end_process(process: subprocess.Popen[bytes]) -> None:
    """Kill a process, which may be suspended, and wait for its end."""
    if process.poll() is None:
        # A suspended process must be resumed to end.
        process.send_signal(signal.SIGCONT)
        process.kill()
    process.wait()


def digest(key: str) -> str:
    """Return the digest of a key, as used in the configuration document."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass
class ProcessFleet:
    """Processes of a fleet by name, and the addresses they listen on."""

    folder: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    callers: dict[str, str] = field(default_factory=dict)
    operators: dict[str, str] = field(default_factory=dict)
    peers: dict[str, str] = field(default_factory=dict)
    platform: str = ""
    engine: str = ""
    plain: str = ""

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a module of the project as a process."""
        log = self.folder / f"{name}.log"
        self.processes[name] = start_process(log, "-m", module, *arguments)

    def start_router(self, name: str) -> None:
        """Start a router with its settings."""
        settings = str(self.folder / f"{name}.yaml")
        self.start(name, "teaselledge.process.main", "--settings", settings)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the processes."""
        self.processes[name].send_signal(number)

    async def exit_code(self, name: str, seconds: float = 15.0) -> int:
        """Wait until a process ends and return its exit code."""
        return await asyncio.to_thread(self.processes[name].wait, seconds)

    def document(self) -> dict[str, Any]:
        """Return the configuration document."""
        services = ["models", "ledger"]
        return {
            "zones": {zone: {"region": REGION} for zone in ROUTERS.values()},
            "organisations": {
                name: {
                    "share": share,
                    "keys": [digest(f"key-of-{name}")],
                    "services": services,
                }
                for name, share in (("amber", 1), ("birch", 2))
            },
            "operators": {"admin": {"keys": [digest(ADMIN_KEY)], "role": "admin"}},
            "services": {
                "models": {
                    "cost": "tokens",
                    "resumes": True,
                    "endpoints": {"engine-0": self._endpoint(self.engine, "north-a")},
                    "kinds": {
                        "completion": {
                            "methods": ["POST"],
                            "paths": ["v1/completions"],
                            "cost_hint": 20,
                        }
                    },
                },
                "ledger": {
                    "cost": "seconds",
                    "endpoints": {"plain-0": self._endpoint(self.plain, "north-b")},
                    "kinds": {
                        "order": {
                            "methods": ["POST"],
                            "paths": ["orders"],
                            "repeatable": False,
                            "deadline": 8,
                        }
                    },
                },
            },
        }

    async def until_ready(self, name: str) -> None:
        """Wait until a router is ready."""
        caller = Caller("")
        async with asyncio.timeout(READY_SECONDS):
            while True:
                self.check_alive()
                reply = await caller.call(self.callers[name], "GET", "/readyz")
                if reply.status == 200:  # noqa: PLR2004
                    return
                await asyncio.sleep(0.1)

    async def until_listening(self, address: str) -> None:
        """Wait until something listens at an address."""
        host, port = address.rsplit(":", 1)
        async with asyncio.timeout(READY_SECONDS):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    self.check_alive()
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    def check_alive(self) -> None:
        """Raise an error with exit code and output if a process ended with an error.

        Without it a test would wait until its timeout for a process that will never
        listen, without showing the cause.
        """
        for name, process in self.processes.items():
            code = process.poll()
            if code is not None and code > 0:
                text = (self.folder / f"{name}.log").read_text(errors="replace")
                raise ProcessEndedError(f"{name} ended with {code}:\n{text[-4000:]}")

    def stop(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes.values():
            end_process(process)

    def _endpoint(self, address: str, zone: str) -> dict[str, Any]:
        return {"address": address, "zone": zone, "slots": 4}


def _write_settings(fleet: ProcessFleet) -> None:
    vms = []
    for name, zone in ROUTERS.items():
        ports = free_ports(3)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        fleet.callers[name], fleet.peers[name], fleet.operators[name] = addresses
        settings = {
            "vm": name,
            "zone": zone,
            "region": REGION,
            "platform": dict.fromkeys(("tables", "objects", "vms"), fleet.platform),
            "callers": {"port": ports[0]},
            "peers": {"port": ports[1]},
            "operators": {"port": ports[2]},
            "address_seconds": 1,
            "first_key": digest(FIRST_KEY),
        }
        (fleet.folder / f"{name}.yaml").write_text(yaml.safe_dump(settings))
        vms.append(
            {
                "vm": name,
                "zone": zone,
                "region": REGION,
                "peer_address": addresses[1],
                "caller_address": addresses[0],
            }
        )
    (fleet.folder / "vms.yaml").write_text(yaml.safe_dump(vms))


@asynccontextmanager
async def running_processes() -> AsyncIterator[ProcessFleet]:
    """Run test doubles and two unconfigured routers as a context manager."""
    with TemporaryDirectory() as name:
        fleet = ProcessFleet(Path(name))
        ports = free_ports(3)
        fleet.platform, fleet.engine, fleet.plain = (f"127.0.0.1:{p}" for p in ports)
        _write_settings(fleet)
        vms = str(fleet.folder / "vms.yaml")
        standins = "teaselledge_standins"
        fleet.start(
            "platform",
            f"{standins}.platformserver",
            f"--port={ports[0]}",
            f"--vms={vms}",
        )
        fleet.start("engine", f"{standins}.engine", f"--engine_port={ports[1]}")
        fleet.start("plain", f"{standins}.plain", f"--plain_port={ports[2]}")
        try:
            for address in (fleet.platform, fleet.engine, fleet.plain):
                await fleet.until_listening(address)
            for router in ROUTERS:
                fleet.start_router(router)
            for address in fleet.operators.values():
                await fleet.until_listening(address)
            yield fleet
        finally:
            fleet.stop()
