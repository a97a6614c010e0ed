"""Tests of the fleet of processes that other tests use."""

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
    """A connection takes the port of a router just before the router starts."""
    lowest = int(EPHEMERAL.read_text().split()[0]) if EPHEMERAL.exists() else 32_768
    assert max(PORTS) < lowest
    ports = free_ports(20)
    assert len(set(ports)) == 20


async def test_a_process_that_can_not_start_is_told_with_its_output():
    """A router finds its port taken and ends at once.

    The test would wait a minute for it to listen and say nothing of the cause.
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
                raise AssertionError("nothing was told")
            finally:
                fleet.stop()


def test_no_port_is_given_out_twice():
    """One router's port for operators is chosen again for another's callers.

    Neither listens yet, so both look free. One of the two can't start, and who calls
    the operators' port reaches the other one: it answers that there is nothing at
    this path.
    """
    with (
        patch.object(processes, "PORTS", range(10_000, 10_400)),
        patch.object(processes, "SLICES", 1),
        patch.object(processes, "_is_free", lambda port: True),
    ):
        given = [port for _ in range(60) for port in processes.free_ports(3)]
    assert len(set(given)) == len(given)


def test_processes_that_run_at_the_same_time_choose_among_other_ports():
    """Test modules run side by side, and each starts fleets of its own."""
    chosen = []
    for pid in range(2000, 2006):
        with (
            patch.object(os, "getpid", return_value=pid),
            patch.object(processes, "PORTS", range(10_000, 10_300)),
            patch.object(processes, "SLICES", 6),
            patch.object(processes, "_given", deque()),
            patch.object(processes, "_is_free", lambda port: True),
        ):
            chosen.append(set(processes.free_ports(40)))
    assert len(set.union(*chosen)) == 6 * 40
