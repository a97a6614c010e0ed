"""Tests of datagrams between routers."""

import asyncio
import socket
import time

from teaselledge_fleet.connection.codec import (
    PROTOCOL,
    encode_datagram,
    encode_state,
)
from teaselledge_fleet.connection.peers import PeerSocket, StateClient
from teaselledge_fleet.connection.replies import PendingReplies
from teaselledge_standins.processes import free_ports
from teaselledge_wire.gen.fleet.ttypes import AdmissionReply, RouterInfo, WholeState

MESSAGES = 100
ITERATIONS = 5
FULL_LINK_SECONDS = 1.5
"""Time in which packets that wait for half a second each complete a request."""


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


async def test_a_snapshot_that_a_full_link_delays_is_read():
    """A router with a full link gave up each fetch, and applied no configuration."""
    sender = RouterInfo(vm="r1", incarnation=1)
    state = encode_state(WholeState(protocol=PROTOCOL, sender=sender))

    async def respond_late(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(FULL_LINK_SECONDS)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(state)}\r\n\r\n"
        writer.write(head.encode() + state)
        writer.close()

    server = await asyncio.start_server(respond_late, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = StateClient()
    fetched = await client.fetch(f"{host}:{port}")
    client.close()
    server.close()
    assert fetched.is_ok(), fetched.error


async def test_a_reply_that_has_arrived_counts_though_the_event_loop_was_late():
    """An overloaded router took coordinators for silent that had replied."""
    replies: PendingReplies[str] = PendingReplies()
    loop = asyncio.get_running_loop()
    local, remote = socket.socketpair()
    loop.add_reader(local, lambda: replies.resolve(1, local.recv(5).decode()))
    waiting = asyncio.create_task(replies.wait(1, 0.02))
    await asyncio.sleep(0)
    # in one iteration, so that the next one finds both the reply and the timeout
    loop.call_soon(time.sleep, 0.05)
    loop.call_soon(remote.send, b"reply")
    assert await waiting == "reply"
    loop.remove_reader(local)
    local.close()
    remote.close()
