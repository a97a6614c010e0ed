"""Tests of the process fleet that other tests use."""

import os
import socket
from collections import deque
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

from teaselledge_standins import processes
from teaselledge_standins.processes import (
    PORTS,
    ProcessEndedError,
    ProcessFleet,
    free_ports,
)

EPHEMERAL = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_are_not_among_those_of_outgoing_connections():
    """An outgoing connection could take a router's port before the router starts."""
    lowest = int(EPHEMERAL.read_text().split()[0]) if EPHEMERAL.exists() else 32_768
    assert max(PORTS) < lowest
    ports = free_ports(20)
    assert len(set(ports)) == 20


async def test_process_that_fails_to_start_is_reported_with_its_output():
    """A router finds its port in use and exits at once.

    Without a check the test waits until its timeout and does not show the cause.
    """
    with TemporaryDirectory() as name:
        fleet = ProcessFleet(Path(name))
        (port,) = free_ports(1)
        with socket.create_server(("127.0.0.1", port)):
            fleet.start("plain", "teaselledge_standins.plain", f"--plain_port={port}")
            (other,) = free_ports(1)
            try:
                await fleet.until_listening(f"127.0.0.1:{other}")
            except ProcessEndedError as error:
                assert "Address already in use" in str(error)
            else:
                raise AssertionError("no error was raised")
            finally:
                fleet.stop()


def test_no_port_is_returned_twice():
    """A port chosen for one router's operators is chosen again for another's callers.

    Neither router listens yet, so the port looks free both times. One of them can't
    start, and clients of the operators' port get 404 from the other one.
    """
    with (
        patch.object(processes, "PORTS", range(10_000, 10_400)),
        patch.object(processes, "RANGE_COUNT", 1),
        patch.object(processes, "_is_free", lambda port: True),
    ):
        ports = [port for _ in range(60) for port in processes.free_ports(3)]
    assert len(set(ports)) == len(ports)


def test_concurrent_processes_choose_from_different_ports():
    """Test modules run concurrently, and each starts its own fleets."""
    chosen = []
    for pid in range(2000, 2006):
        with (
            patch.object(os, "getpid", return_value=pid),
            patch.object(processes, "PORTS", range(10_000, 10_300)),
            patch.object(processes, "RANGE_COUNT", 6),
            patch.object(processes, "_recent_ports", deque()),
            patch.object(processes, "_is_free", lambda port: True),
        ):
            chosen.append(set(processes.free_ports(40)))
    assert len(set.union(*chosen)) == 6 * 40
