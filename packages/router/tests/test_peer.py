"""Tests of the links between routers, over loopback."""

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
    """Metrics that count."""

    def __init__(self):
        self.counts = Counter()

    def count(self, name, value=1, label=""):
        """Add to a counter."""
        super().count(name)
        self.counts[name] += value


class Node:
    """A mesh that keeps what it receives."""

    def __init__(self, vm, addresses, tls=None):
        self.metrics = CountingMetrics()
        self.got = []
        self.refused = []
        origin = Origin(vm, 7)
        contexts = server_context(tls), client_context(tls)
        self.mesh = PeerMesh(origin, addresses.get, self.metrics, *contexts)
        self.mesh.on_connection_refused = self.refused.append
        self.mesh.subscribe("beat", self._take)
        self.port = self.mesh.listen("127.0.0.1", 0)
        addresses[vm] = f"127.0.0.1:{self.port}"

    def _take(self, origin, service, zone, body):
        if body.beat == 666:
            raise ValueError("a part that can't take this")
        self.got.append((origin.vm, body.beat))


def beat(number):
    return make_message("beat", Beat(number, 0, 1, 0.0, False, False))


async def until(condition, seconds=3.0):
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


async def closes(reader):
    async with asyncio.timeout(3.0):
        return await reader.read() == b""


async def test_foreign_and_malformed_frames_close_their_connection_alone(pair):
    """Something else connects to the peers' port, a scanner or a client of another
    service. Its connection is closed with one line in the log; the connections of
    other routers and their messages are not touched.
    """
    a, b = pair
    lines = []
    sink = loguru.logger.add(lambda line: lines.append(line), level="WARNING")
    a.mesh.send("b", beat(1))
    await until(lambda: b.got == [("a", 1)])
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
        assert await closes(reader), junk
        writer.close()
    a.mesh.send("b", beat(2))
    await until(lambda: b.got == [("a", 1), ("a", 2)])
    assert b.metrics.counts["peer.bad_frames"] == 10
    assert len(lines) == 1
    loguru.logger.remove(sink)


async def test_message_that_a_part_cannot_take_harms_no_other(pair):
    """A newer release sends a value that this one's code raises on."""
    a, b = pair
    for number in (1, 666, 2):
        a.mesh.send("b", beat(number))
    await until(lambda: b.got == [("a", 1), ("a", 2)])
    assert b.metrics.counts["peer.bad_messages"] == 1


def newer_envelope():
    """Return an envelope as a later release may send it: a higher protocol
    version, an unknown field and a message of an unknown kind before a known one.
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


async def test_newer_release_is_understood_as_far_as_known(pair):
    """Half of the fleet runs the next release during an upgrade."""
    _, b = pair
    _, writer = await connect(b, hello("c"), newer_envelope())
    await until(lambda: b.got == [("c", 5)])
    writer.close()


async def test_silent_connection_is_closed():
    """Something connects and says nothing; many of these would use up the limit."""
    usual, peer.HELLO_SECONDS = peer.HELLO_SECONDS, 0.1
    try:
        async with pair() as (_, b):
            reader, writer = await connect(b)
            assert await closes(reader)
            assert b.mesh.connections == 0
            writer.close()
    finally:
        peer.HELLO_SECONDS = usual


async def test_peer_that_went_away_is_told_as_refused_and_found_again(pair):
    """A router's process ends while others are connected to it. They learn it from
    the refused connection, long before its silence would tell; when it is back at
    the same address, messages arrive again.
    """
    a, b = pair
    a.mesh.send("b", beat(1))
    await until(lambda: b.got)
    await b.mesh.close()
    await until(lambda: a.refused == ["b"])
    again = Node("b", {})
    a.addresses["b"] = f"127.0.0.1:{again.port}"

    def arrived():
        a.mesh.send("b", beat(2))
        return again.got

    await until(arrived, 10.0)
    await again.mesh.close()


async def test_queue_for_an_unreachable_router_is_bounded(pair):
    a, _ = pair
    a.addresses["gone"] = "127.0.0.1:1"
    for number in range(peer.MAX_QUEUED * 2):
        a.mesh.send("gone", beat(number))
    assert a.mesh._links["gone"].queued <= peer.MAX_QUEUED
    await until(lambda: a.mesh._links["gone"].queued == 0)
    assert a.metrics.counts["peer.dropped_messages"] >= peer.MAX_QUEUED


async def test_idle_connection_closes_and_opens_again_on_demand():
    """With hundreds of routers a connection to each one that was ever needed would
    use up memory and files.
    """
    usual, peer.IDLE_SECONDS = peer.IDLE_SECONDS, 0.1
    try:
        async with pair() as (a, b):
            a.mesh.send("b", beat(1))
            await until(lambda: b.got)
            await until(lambda: b.mesh.connections == 0)
            a.mesh.send("b", beat(2))
            await until(lambda: b.got == [("a", 1), ("a", 2)])
    finally:
        peer.IDLE_SECONDS = usual


async def test_batch_over_the_frame_limit_is_split_and_one_message_dropped(pair):
    """A full view of a large fleet and sections of the configuration can meet in
    one batch. A frame over the limit would be refused and block the link.
    """
    a, b = pair
    half = SectionAnswer({"x": b"0" * (MAX_FRAME // 2)})
    over = SectionAnswer({"x": b"0" * (MAX_FRAME + 1)})
    for body in (half, half, over, half):
        a.mesh.send("b", make_message("section_answer", body))
    a.mesh.send("b", beat(1))
    await until(lambda: b.got == [("a", 1)], 10.0)
    assert a.metrics.counts["peer.dropped_messages"] == 1
    assert b.metrics.counts["peer.bad_frames"] == 0


async def test_unknown_message_kind_is_skipped(pair):
    _, b = pair
    empty = pack(encode([Message(None), beat(3)], 1))
    _, writer = await connect(b, hello("c"), empty)
    await until(lambda: b.got == [("c", 3)])
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
    await until(lambda: b.got == [("a", 1)] and a.got == [("b", 2)])
    for node in (a, b):
        await node.mesh.close()


async def test_wrong_certificates_get_no_connection(folder):
    """A stolen or foreign certificate is used to speak as another router: one of
    an unknown authority, one of another VM, one of a VM that answers at the
    address of another, and no TLS at all.
    """
    authority, foreign = Authority(folder), Authority(folder, "foreign")
    addresses = {}
    b = Node("b", addresses, authority.issue(["b"]))
    liar = Node("a", dict(addresses), authority.issue(["c"]))
    stranger = Node("a", dict(addresses), foreign.issue(["a"], authority.path))
    plain = Node("a", dict(addresses))
    misled = Node("d", {"x": addresses["b"]}, authority.issue(["d"]))
    for node in (liar, stranger, plain):
        node.mesh.send("b", beat(1))
    misled.mesh.send("x", beat(1))
    await asyncio.sleep(1.0)
    assert b.got == []
    good = Node("a", addresses, authority.issue(["a"]))
    good.mesh.send("b", beat(9))
    await until(lambda: b.got == [("a", 9)])
    for node in (b, liar, stranger, plain, misled, good):
        await node.mesh.close()


async def test_peer_that_closes_at_once_is_not_called_without_pause(pair):
    """A router does not trust this one, or its limit of connections is reached: it
    accepts and closes. Calling again at once costs both sides a core.
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


def test_listener_without_tls_beyond_loopback_is_told_loudly():
    lines = []
    sink = loguru.logger.add(lambda line: lines.append(str(line)), level="WARNING")
    assert not warn_if_plaintext("peers'", Listener("127.0.0.1", 1))
    assert not lines
    assert warn_if_plaintext("peers'", Listener("0.0.0.0", 1))
    assert "has no TLS" in lines[0]
    loguru.logger.remove(sink)
