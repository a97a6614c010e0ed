"""Tests of the fleet of processes that other tests use."""

import socket
from pathlib import Path
from tempfile import TemporaryDirectory

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
