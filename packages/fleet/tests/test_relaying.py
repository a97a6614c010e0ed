"""Tests of the handshake and the time limits of relays, without whole routers."""

import asyncio
import socket
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field, replace

from hypothesis import given
from hypothesis import strategies as st
from teaselledge_fleet.connection.relay import RelayEvents, RelayPool
from teaselledge_fleet.process.members import Member, Members, MemberState
from teaselledge_fleet.relaying.handshake import (
    ACCEPTANCE,
    OFFER_BYTES,
    Offer,
    encode_offer,
    read_offer,
    receive_offer,
)
from teaselledge_fleet.relaying.progress import MAX_HEAD_BYTES, RequestProgress
from teaselledge_fleet.relaying.silence import SilentRouters
from teaselledge_fleet.relaying.timelimits import RouteTimeLimits, TimeLimit
from teaselledge_fleet.request.defaultcodec import DefaultHeaderCodec
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.relays import relay_accepted
from teaselledge_standins.routes import HOST, make_route, make_routing

LIMIT_SECONDS = 0.2
REQUEST = b"POST /r/1 HTTP/1.1\r\nHost: h\r\n\r\n"
RESPONSE = b"HTTP/1.1 504 Gateway Timeout\r\n\r\n"
LIMIT = TimeLimit(LIMIT_SECONDS, RESPONSE)
EVENT = b"id: 1\ndata: x\n\n"


@dataclass
class FixedLimit:
    """Gives each request the same limit, and counts how often a head is read."""

    limit: TimeLimit | None
    shortest: float | None = LIMIT_SECONDS
    heads: list[bytes] = field(default_factory=list)

    def find(self, head: bytes) -> TimeLimit | None:
        """Return the fixed limit."""
        self.heads.append(head)
        return self.limit


class LimitedRelay:
    """A relay to a stand-in of a router, with a time limit."""

    def __init__(self, limit: FixedLimit) -> None:
        self.limit = limit
        self.pool = RelayPool(10.0)
        self.pool.time_limits = limit
        self.silent = 0
        relayed_end, self.caller = socket.socketpair()
        self.caller.setblocking(False)
        self._relayed_end = relayed_end

    async def open(self) -> "LimitedRelay":
        """Relay the connection."""
        events = RelayEvents(on_silent=self._count_silent)
        self.router = await relay_accepted(self.pool, self._relayed_end, events)
        return self

    def close(self) -> None:
        """Close all connections."""
        self.pool.close()
        self.router.close()
        self.caller.close()

    async def received(self) -> bytes:
        """Return all that the caller gets, up to the end of its connection."""
        loop, data = asyncio.get_running_loop(), bytearray()
        async with asyncio.timeout(10 * LIMIT_SECONDS):
            while chunk := await loop.sock_recv(self.caller, 1 << 16):
                data += chunk
        return bytes(data)

    def _count_silent(self) -> None:
        self.silent += 1


@asynccontextmanager
async def limited_relay():
    relay = await LimitedRelay(FixedLimit(LIMIT)).open()
    yield relay
    relay.close()


async def test_request_without_a_response_is_answered_at_its_limit(limited_relay):
    """A router that stands still never answers what it was sent."""
    limited_relay.caller.send(REQUEST)
    assert await limited_relay.received() == RESPONSE
    assert (limited_relay.pool.timed_out, limited_relay.silent) == (1, 1)
    assert limited_relay.limit.heads == [REQUEST]


async def test_stream_that_stops_is_cut_off_at_its_limit(limited_relay):
    """A router that stands still within a response neither goes on nor closes."""
    limited_relay.caller.send(REQUEST)
    limited_relay.router.send(EVENT)
    assert await limited_relay.received() == EVENT
    assert limited_relay.pool.timed_out == 1


async def test_response_that_still_arrives_is_not_cut_off_at_its_limit(limited_relay):
    """The other router ends it; what is on its way is the caller's."""
    limited_relay.caller.send(REQUEST)
    receiving = asyncio.create_task(limited_relay.received())
    for _ in range(10):
        limited_relay.router.send(EVENT)
        await asyncio.sleep(LIMIT_SECONDS / 5)
    limited_relay.router.close()
    assert await receiving == 10 * EVENT
    assert limited_relay.pool.timed_out == 0


async def test_whole_response_is_not_cut_off_as_its_caller_reads_slowly(limited_relay):
    """It is ready, and only its caller keeps it from being sent."""
    loop = asyncio.get_running_loop()
    limited_relay.caller.send(REQUEST)
    assert await loop.sock_recv(limited_relay.router, len(REQUEST)) == REQUEST
    size = 16 << 20
    sending = asyncio.create_task(loop.sock_sendall(limited_relay.router, b"x" * size))
    await asyncio.sleep(4 * LIMIT_SECONDS)
    assert not sending.done()
    receiving = asyncio.create_task(limited_relay.received())
    await sending
    limited_relay.router.close()
    assert len(await receiving) == size


def test_relay_is_not_cut_off_as_its_caller_reads_on():
    """The other router was held up until then, and had no time to send more."""
    progress = RequestProgress(FixedLimit(LIMIT))
    progress.record_request(REQUEST, 0.0)
    progress.record_response(0.0)
    late = 3 * LIMIT_SECONDS
    assert progress.late_at(late, caller_reads_slowly=True) > late
    assert progress.late_at(late, caller_reads_slowly=False) <= late
    progress.record_drained(late)
    assert progress.late_at(late, caller_reads_slowly=False) > late


def test_long_request_is_kept_no_longer_than_its_head_can_be():
    """A caller may send a body of megabytes while the other router stands still."""
    progress = RequestProgress(FixedLimit(LIMIT))
    for _ in range(100):
        progress.record_request(b"x" * MAX_HEAD_BYTES, 0.0)
    assert len(progress._head) == MAX_HEAD_BYTES
    now = 2 * LIMIT_SECONDS
    assert progress.late_at(now, caller_reads_slowly=False) > now


async def test_caller_that_sends_nothing_has_no_limit(limited_relay):
    """It keeps a connection ready, and its request has not begun."""
    await asyncio.sleep(3 * LIMIT_SECONDS)
    limited_relay.caller.send(REQUEST)
    await asyncio.sleep(LIMIT_SECONDS / 2)
    assert limited_relay.pool.running == 1
    assert await limited_relay.received() == RESPONSE


async def test_head_that_arrives_late_is_read_when_it_is_complete(limited_relay):
    """The limit can't be known before, and no head is read in part."""
    limited_relay.caller.send(REQUEST[:20])
    await asyncio.sleep(2 * LIMIT_SECONDS)
    assert limited_relay.limit.heads == []
    limited_relay.caller.send(REQUEST[20:])
    assert await limited_relay.received() == RESPONSE
    assert limited_relay.limit.heads == [REQUEST]


async def test_no_head_is_read_of_a_request_that_is_answered_in_time(limited_relay):
    """Reading all of them would cost a busy router the time that relaying saves."""
    limited_relay.caller.send(REQUEST)
    limited_relay.router.send(EVENT)
    await asyncio.sleep(LIMIT_SECONDS / 2)
    limited_relay.router.close()
    assert await limited_relay.received() == EVENT
    assert limited_relay.limit.heads == []


async def test_request_without_a_limit_is_left_alone(limited_relay):
    limited_relay.limit.limit = None
    limited_relay.caller.send(REQUEST)
    await asyncio.sleep(3 * LIMIT_SECONDS)
    assert limited_relay.pool.running == 1
    limited_relay.router.send(EVENT)
    limited_relay.router.close()
    assert await limited_relay.received() == EVENT


async def relay_to_silent(pool: RelayPool) -> tuple[bool, bytes]:
    """Relay to a router of which only the kernel runs; return what that received."""
    relayed_end, caller_end = socket.socketpair()
    caller_end.send(REQUEST)
    with socket.create_server(("127.0.0.1", 0)) as listening:
        host, port = listening.getsockname()
        relayed = await pool.relay(relayed_end, f"{host}:{port}", encode_offer(1))
        accepted, _ = listening.accept()
        received = accepted.recv(1 << 16)
        accepted.close()
    assert relayed_end.recv(1 << 16) == REQUEST
    relayed_end.close()
    caller_end.close()
    return relayed, received


async def test_no_byte_of_the_caller_is_sent_to_a_router_that_does_not_accept():
    """It would be read when that router wakes, and an order would run twice."""
    pool = RelayPool(10.0)
    assert await relay_to_silent(pool) == (False, encode_offer(1))
    assert (pool.running, pool.not_accepted) == (0, 1)


async def answered_offer(answer: bytes) -> bool:
    """Return whether an offer is taken for accepted after an answer and a close."""
    pool = RelayPool(10.0)
    relayed_end, caller_end = socket.socketpair()

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        await reader.readline()
        for byte in answer:
            writer.write(bytes([byte]))
            await asyncio.sleep(0.002)
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    accepted = await pool.relay(relayed_end, f"{host}:{port}", encode_offer(1))
    pool.close()
    server.close()
    relayed_end.close()
    caller_end.close()
    return accepted


async def test_only_a_whole_acceptance_counts():
    """Nothing has been read from the caller yet, so it can still be served here."""
    assert await answered_offer(ACCEPTANCE)
    for answer in (b"", ACCEPTANCE[:-1], b"HTTP/1.1 503 Busy\r\n\r\n"):
        assert not await answered_offer(answer), answer


def test_offers_of_this_and_the_earlier_release_are_told_apart():
    """A router of the earlier release would send an acceptance on to its caller."""
    assert read_offer(encode_offer(77)) == Offer(77, awaits_acceptance=True)
    assert read_offer(b"relayed 77\n") == Offer(77, awaits_acceptance=False)
    for other in (b"", b"GET / HTTP/1.1\n", b"offered x\n", b"offered -1\n"):
        assert read_offer(other) is None, other


@given(st.binary(max_size=2 * OFFER_BYTES))
def test_any_line_is_an_offer_or_none(line: bytes):
    """Other programs may connect to the port for relays."""
    offer = read_offer(line)
    assert offer is None or offer.version >= 0


def test_offer_is_taken_without_the_bytes_behind_it():
    """Those of an earlier release's caller follow at once."""
    near, far = socket.socketpair()
    near.setblocking(False)
    assert receive_offer(near) is None
    far.send(b"relayed ")
    assert receive_offer(near) is None
    far.send(b"7\n" + REQUEST)
    assert receive_offer(near) == b"relayed 7\n"
    assert near.recv(1 << 16) == REQUEST
    near.close()
    far.close()


LONG, SHORT = 5.0, 1.0


@contextmanager
def limits():
    route = make_route(RetryPolicy.NEVER, timeout=LONG)
    routing = make_routing(route)
    lookup = make_route(RetryPolicy.ANY, prefix="/r/short/", timeout=SHORT)
    yield RouteTimeLimits(
        DefaultHeaderCodec(), lambda: replace(routing, routes=(route, lookup))
    )


def head(path: str = "/r/1", method: str = "POST", **headers: str) -> bytes:
    fields = {"Host": HOST, "X-Request-Id": "q7", **headers}
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode()


def test_limit_is_that_of_the_route_or_the_shorter_one_of_the_caller(limits):
    assert limits.shortest == SHORT
    assert limits.find(head()).seconds == LONG
    assert limits.find(head("/r/short/1")).seconds == SHORT
    assert limits.find(head(**{"X-Deadline-Seconds": "0.5"})).seconds == 0.5
    assert limits.find(head(**{"X-Deadline-Seconds": "9"})).seconds == LONG
    assert limits.find(head("/elsewhere")) is None
    assert limits.find(head("/elsewhere", **{"X-Deadline-Seconds": "2"})).seconds == 2


def test_response_at_the_limit_promises_nothing_and_closes(limits):
    """The request may have run at the other router, or may run when that wakes."""
    response = limits.find(head()).response
    assert response.startswith(b"HTTP/1.1 504 ")
    assert b"X-Request-Id: q7\r\n" in response
    assert b"Connection: close\r\n" in response
    assert b"Retry-After" not in response
    assert limits.find(head(method="HEAD")).response.endswith(b"\r\n\r\n")


@given(st.binary(max_size=200))
def test_any_head_has_a_limit_or_none(data: bytes):
    """The bytes of a relayed caller have passed no parser."""
    routing = make_routing(make_route(RetryPolicy.ANY))
    found = RouteTimeLimits(DefaultHeaderCodec(), lambda: routing).find(
        data + b"\r\n\r\n"
    )
    assert found is None or found.seconds >= 0


def test_there_is_no_limit_without_a_configuration():
    limits = RouteTimeLimits(DefaultHeaderCodec(), lambda: None)
    assert limits.shortest is None
    assert limits.find(head()) is None


@dataclass
class Clock:
    """A clock that tests advance."""

    now: float = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


def router(vm: str) -> Member:
    member = Member(vm, 1, "z", "g", f"{vm}:80", f"{vm}:81", MemberState.READY)
    return replace(member, relay_port=82)


def test_silent_router_gets_no_connection_before_it_is_heard_of_again():
    """Its heartbeats of before the freeze do not show that it has woken."""
    clock = Clock()
    members = Members(router("r1"), clock)
    silent = SilentRouters(members, clock)
    peer = router("r2")
    members.update_from_heartbeat(peer)
    clock.now += 0.5
    silent.record(peer.relay_address)
    assert silent.contains(peer)
    clock.now += 5.0
    assert silent.contains(peer)
    members.update_from_heartbeat(peer)
    assert not silent.contains(peer)
    clock.now += 0.1
    assert not silent.contains(peer)


def test_other_routers_are_not_silent():
    clock = Clock()
    members = Members(router("r1"), clock)
    silent = SilentRouters(members, clock)
    for vm in ("r2", "r3"):
        members.update_from_heartbeat(router(vm))
    silent.record(router("r2").relay_address)
    silent.record("nowhere:82")
    assert not silent.contains(router("r3"))
