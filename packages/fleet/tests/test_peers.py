"""Tests of datagrams between routers."""

import asyncio
import socket

from teaselledge_fleet.connection.codec import encode_datagram
from teaselledge_fleet.connection.peers import PeerSocket
from teaselledge_standins.processes import free_ports
from teaselledge_wire.gen.fleet.ttypes import AdmissionReply

MESSAGES = 100
ITERATIONS = 5


async def test_a_busy_event_loop_reads_all_messages_that_have_arrived():
    """With one message an iteration, peers look dead to a router that is overloaded."""
    received = []
    peer = PeerSocket()
    peer.on(AdmissionReply, lambda message, sender: received.append(message.sequence))
    (port,) = free_ports(1)
    await peer.listen("127.0.0.1", port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for sequence in range(MESSAGES):
            message = AdmissionReply(sequence, True, 0, 0)
            sender.sendto(encode_datagram(message), ("127.0.0.1", port))
    for _ in range(ITERATIONS):
        await asyncio.sleep(0)
    peer.close()
    assert received == list(range(MESSAGES))
