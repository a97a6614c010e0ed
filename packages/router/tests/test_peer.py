"""Tests of connections between routers, over loopback."""

import asyncio
import struct
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

import loguru
from teaselledge.connection import peer
from teaselledge.connection.peer import PeerMesh
from teaselledge.metrics import NullMetrics
from teaselledge.process.mesh import Origin, make_message
from teaselledge.process.settings import Listener
from teaselledge.process.tls import client_context, server_context, warn_if_plaintext
from teaselledge_standins.certificates import Authority
from teaselledge_wire.codec import encode
from teaselledge_wire.frame import MAX_FRAME, pack
from teaselledge_wire.gen.router.ttypes import Beat, Heartbeat, Message, SectionAnswer
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer


class CountingMetrics(NullMetrics):
    """Metrics that record counters."""

    def __init__(self):
        self.counts = Counter()

    def count(self, name, value=1, label=""):
        """Add to a counter."""
        super().count(name)
        self.counts[name] += value


class Node:
    """A mesh that records received messages and refused connections."""

    def __init__(self, vm, addresses, tls=None):
        self.metrics = CountingMetrics()
        self.received = []
        self.refused = []
        origin = Origin(vm, 7)
        contexts = server_context(tls), client_context(tls)
        self.mesh = PeerMesh(origin, addresses.get, self.metrics, *contexts)
        self.mesh.on_connection_refused = self.refused.append
        self.mesh.subscribe("beat", self._record)
        self.port = self.mesh.listen("127.0.0.1", 0)
        addresses[vm] = f"127.0.0.1:{self.port}"

    def _record(self, origin, service, zone, body):
        if body.beat == 666:
            raise ValueError("this value makes the handler fail")
        self.received.append((origin.vm, body.beat))


def beat(number):
    return make_message("beat", Beat(number, 0, 1, 0.0, False, False))


async def wait_until(condition, seconds=3.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def pair():
    addresses = {}
    nodes = [Node(vm, addresses) for vm in ("a", "b")]
    nodes[0].addresses = addresses
    try:
        yield nodes
    finally:
        for node in nodes:
            await node.mesh.close()


async def connect(node, *frames):
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    for frame in frames:
        writer.write(frame)
    await writer.drain()
    return reader, writer


def hello(vm, receiver=None, incarnation=1):
    body = Heartbeat(vm=vm, receiver=receiver)
    return pack(encode([make_message("heartbeat", body)], incarnation))


async def is_closed(reader):
    async with asyncio.timeout(3.0):
        return await reader.read() == b""


async def test_malformed_frames_close_only_their_connection(pair):
    """A port scanner or a client of another service connects to the peers' port.
    Its connection is closed with one log line; the connections of other routers and
    their messages are not affected.
    """
    a, b = pair
    lines = []
    log_handler = loguru.logger.add(lambda line: lines.append(line), level="WARNING")
    a.mesh.send("b", beat(1))
    await wait_until(lambda: b.received == [("a", 1)])
    huge = struct.pack(">I", MAX_FRAME + 1)
    for junk in (
        b"GET / HTTP/1.1\r\n\r\n",
        huge,
        struct.pack(">I", 0),
        pack(b"\xff" * 40),
        hello("c") + pack(b"\x00" * 9),
        hello("c") + huge,
        pack(encode([], 1)),
        pack(encode([beat(1)], 1)),
        hello("c", receiver="someone-else"),
        hello("c") + pack(encode([beat(1)], 2)),
    ):
        reader, writer = await connect(b, junk)
        assert await is_closed(reader), junk
        writer.close()
    a.mesh.send("b", beat(2))
    await wait_until(lambda: b.received == [("a", 1), ("a", 2)])
    assert b.metrics.counts["peer.bad_frames"] == 10
    assert len(lines) == 1
    loguru.logger.remove(log_handler)


async def test_failing_handler_does_not_affect_other_messages(pair):
    """A newer release sends a value that a handler of this release fails on."""
    a, b = pair
    for number in (1, 666, 2):
        a.mesh.send("b", beat(number))
    await wait_until(lambda: b.received == [("a", 1), ("a", 2)])
    assert b.metrics.counts["peer.bad_messages"] == 1


def newer_envelope():
    """Return an envelope of a later release, with a higher protocol version, an
    unknown field, and a message of an unknown kind before a known one.
    """
    transport = TMemoryBuffer()
    out = TCompactProtocol(transport)

    def field(name, kind, number, write):
        out.writeFieldBegin(name, kind, number)
        write()
        out.writeFieldEnd()

    def unknown_message():
        out.writeStructBegin("Message")
        field("body", TType.STRUCT, 1, unknown_body)
        out.writeFieldStop()
        out.writeStructEnd()

    def unknown_body():
        out.writeStructBegin("Body")
        field("later", TType.STRING, 999, lambda: out.writeString("x"))
        out.writeFieldStop()
        out.writeStructEnd()

    def messages():
        out.writeListBegin(TType.STRUCT, 2)
        unknown_message()
        beat(5).write(out)
        out.writeListEnd()

    out.writeStructBegin("Envelope")
    field("protocol", TType.I32, 1, lambda: out.writeI32(2))
    field("incarnation", TType.I64, 2, lambda: out.writeI64(1))
    field("messages", TType.LIST, 3, messages)
    field("later", TType.STRING, 77, lambda: out.writeString("y"))
    out.writeFieldStop()
    out.writeStructEnd()
    return pack(transport.getvalue())


async def test_unknown_parts_of_messages_of_newer_release_are_ignored(pair):
    """Half of the fleet runs the next release during an upgrade."""
    _, b = pair
    _, writer = await connect(b, hello("c"), newer_envelope())
    await wait_until(lambda: b.received == [("c", 5)])
    writer.close()


async def test_connection_without_hello_is_closed():
    """A client connects and sends nothing; many of them would reach the limit."""
    original, peer.HELLO_TIMEOUT_SECONDS = peer.HELLO_TIMEOUT_SECONDS, 0.1
    try:
        async with pair() as (_, b):
            reader, writer = await connect(b)
            assert await is_closed(reader)
            assert b.mesh.connections == 0
            writer.close()
    finally:
        peer.HELLO_TIMEOUT_SECONDS = original


async def test_stopped_peer_is_reported_and_reconnected(pair):
    """A router's process ends while others are connected to it. They detect it by
    the refused connection, much earlier than by missing heartbeats; once it has
    restarted at the same address, messages arrive again.
    """
    a, b = pair
    a.mesh.send("b", beat(1))
    await wait_until(lambda: b.received)
    await b.mesh.close()
    await wait_until(lambda: a.refused == ["b"])
    restarted = Node("b", {})
    a.addresses["b"] = f"127.0.0.1:{restarted.port}"

    def arrived():
        a.mesh.send("b", beat(2))
        return restarted.received

    await wait_until(arrived, 10.0)
    await restarted.mesh.close()


async def test_queue_for_unreachable_router_is_limited(pair):
    a, _ = pair
    a.addresses["gone"] = "127.0.0.1:1"
    for number in range(peer.MAX_QUEUED_MESSAGES * 2):
        a.mesh.send("gone", beat(number))
    assert a.mesh._links["gone"].queued <= peer.MAX_QUEUED_MESSAGES
    await wait_until(lambda: a.mesh._links["gone"].queued == 0)
    assert a.metrics.counts["peer.dropped_messages"] >= peer.MAX_QUEUED_MESSAGES


async def test_idle_connection_is_closed_and_reopened_on_demand():
    """With hundreds of routers, permanent connections to all of them would exhaust
    memory and file descriptors.
    """
    original, peer.IDLE_TIMEOUT_SECONDS = peer.IDLE_TIMEOUT_SECONDS, 0.1
    try:
        async with pair() as (a, b):
            a.mesh.send("b", beat(1))
            await wait_until(lambda: b.received)
            await wait_until(lambda: b.mesh.connections == 0)
            a.mesh.send("b", beat(2))
            await wait_until(lambda: b.received == [("a", 1), ("a", 2)])
    finally:
        peer.IDLE_TIMEOUT_SECONDS = original


async def test_batch_over_the_frame_limit_is_split_and_one_message_dropped(pair):
    """A full snapshot of a large fleet and configuration sections can be in the same
    batch. A frame over the limit would be rejected and block the link.
    """
    a, b = pair
    half = SectionAnswer({"x": b"0" * (MAX_FRAME // 2)})
    over = SectionAnswer({"x": b"0" * (MAX_FRAME + 1)})
    for body in (half, half, over, half):
        a.mesh.send("b", make_message("section_answer", body))
    a.mesh.send("b", beat(1))
    await wait_until(lambda: b.received == [("a", 1)], 10.0)
    assert a.metrics.counts["peer.dropped_messages"] == 1
    assert b.metrics.counts["peer.bad_frames"] == 0


async def test_unknown_message_kind_is_skipped(pair):
    _, b = pair
    empty = pack(encode([Message(None), beat(3)], 1))
    _, writer = await connect(b, hello("c"), empty)
    await wait_until(lambda: b.received == [("c", 3)])
    writer.close()


@asynccontextmanager
async def folder():
    with TemporaryDirectory() as name:
        yield Path(name)


async def test_mutual_tls_between_routers(folder):
    authority = Authority(folder)
    addresses = {}
    a = Node("a", addresses, authority.issue(["a"]))
    b = Node("b", addresses, authority.issue(["b"]))
    a.mesh.send("b", beat(1))
    b.mesh.send("a", beat(2))
    await wait_until(lambda: b.received == [("a", 1)] and a.received == [("b", 2)])
    for node in (a, b):
        await node.mesh.close()


async def test_wrong_certificates_get_no_connection(folder):
    """A client impersonates a router: with a certificate of an unknown authority,
    with that of another VM, or without TLS. Also, a router that connects to the
    address of another VM must reject its certificate.
    """
    authority, foreign = Authority(folder), Authority(folder, "foreign")
    addresses = {}
    b = Node("b", addresses, authority.issue(["b"]))
    wrong_vm = Node("a", dict(addresses), authority.issue(["c"]))
    unknown_authority = Node("a", dict(addresses), foreign.issue(["a"], authority.path))
    plain = Node("a", dict(addresses))
    wrong_address = Node("d", {"x": addresses["b"]}, authority.issue(["d"]))
    for node in (wrong_vm, unknown_authority, plain):
        node.mesh.send("b", beat(1))
    wrong_address.mesh.send("x", beat(1))
    await asyncio.sleep(1.0)
    assert b.received == []
    good = Node("a", addresses, authority.issue(["a"]))
    good.mesh.send("b", beat(9))
    await wait_until(lambda: b.received == [("a", 9)])
    for node in (b, wrong_vm, unknown_authority, plain, wrong_address, good):
        await node.mesh.close()


async def test_reconnection_to_peer_that_closes_at_once_is_delayed(pair):
    """A router that does not trust this one, or has too many connections, accepts
    and closes. Reconnecting without delay would use a core on both sides.
    """
    a, _ = pair
    accepted = []

    def close(reader, writer):
        accepted.append(1)
        writer.close()

    server = await asyncio.start_server(close, "127.0.0.1", 0)
    a.addresses["x"] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    for number in range(100):
        a.mesh.send("x", beat(number))
        await asyncio.sleep(0.01)
    assert 1 <= len(accepted) <= 5
    server.close()


def test_plaintext_listener_beyond_loopback_is_logged():
    lines = []
    log_handler = loguru.logger.add(
        lambda line: lines.append(str(line)), level="WARNING"
    )
    assert not warn_if_plaintext("peers'", Listener("127.0.0.1", 1))
    assert not lines
    assert warn_if_plaintext("peers'", Listener("0.0.0.0", 1))
    assert "has no TLS" in lines[0]
    loguru.logger.remove(log_handler)
