"""Tests of the parser of endpoints' responses.

A response that ends at the wrong place gives a caller a part of another caller's
response, or a truncated one as if it were complete.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

from teaselledge_fleet.connection.invalidresponse import InvalidResponseError
from teaselledge_fleet.connection.responselimits import MAX_HEAD_BYTES
from teaselledge_fleet.connection.responseparser import (
    ParsedHead,
    ResponseEvent,
    ResponseParser,
)

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = CHUNKED + b"4\r\nfine"
LAST = b"\r\n0\r\n\r\n"
LENGTH_4 = OK + b"Content-Length: 4\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"

COMPLETE, PARTIAL, INVALID = "complete", "partial", "invalid"


@dataclass(frozen=True)
class Parsed:
    """What a parser made of the bytes that an endpoint sent."""

    state: str
    status: int = 0
    body: bytes = b""
    reusable: bool = False


REJECTED = Parsed(INVALID)


@dataclass(frozen=True)
class Sent:
    """Bytes that an endpoint sends, and whether it closes the connection after them."""

    data: bytes
    closed: bool = False
    method: str = "GET"


def parse(sent: Sent, cuts: tuple[int, ...] = ()) -> Parsed:
    """Parse bytes that are received in parts."""
    parser = ResponseParser(sent.method)
    bounds = [0, *sorted(cuts), len(sent.data)]
    parts = [sent.data[a:b] for a, b in pairwise(bounds) if b > a]
    status, body = 0, b""
    for part in [*parts, *([b""] if sent.closed else [])]:
        parser.receive(part)
        try:
            while (event := parser.next_event()) is not ResponseEvent.NEED_DATA:
                if event is ResponseEvent.END:
                    return Parsed(COMPLETE, status, body, parser.reusable)
                if isinstance(event, ParsedHead):
                    assert not status
                    status = event.status
                else:
                    body += event
        except InvalidResponseError:
            return Parsed(INVALID, status, body)
    return Parsed(PARTIAL, status, body)


def complete(body: bytes = b"", status: int = 200, reusable: bool = True) -> Parsed:
    return Parsed(COMPLETE, status, body, reusable)


def complete_once(body: bytes = b"", status: int = 200) -> Parsed:
    return complete(body, status, reusable=False)


CUT = Parsed(INVALID, 200, b"fine")
CLOSE = True

# name, bytes, whether the connection is closed after them, and what is made of them
CASES = (
    ("length", LENGTH_4 + b"fine", False, complete(b"fine")),
    ("length 0", OK + b"Content-Length: 0\r\n\r\n", False, complete()),
    ("length, cut", LENGTH_4 + b"fin", CLOSE, Parsed(INVALID, 200, b"fin")),
    ("length, unfinished", LENGTH_4 + b"fin", False, Parsed(PARTIAL, 200, b"fin")),
    ("length, surplus", LENGTH_4 + b"fine!", False, complete_once(b"fine")),
    ("length, empty line", LENGTH_4 + b"fine\r\n", False, complete_once(b"fine")),
    ("two responses", (LENGTH_4 + b"fine") * 2, False, complete_once(b"fine")),
    ("no length", OK + b"\r\nfine", CLOSE, complete_once(b"fine")),
    ("no length, open", OK + b"\r\nfine", False, Parsed(PARTIAL, 200, b"fine")),
    ("no length, empty", OK + b"\r\n", CLOSE, Parsed(INVALID, 200)),
    ("204", b"HTTP/1.1 204 X\r\n\r\n", False, complete(b"", 204)),
    ("204, body", b"HTTP/1.1 204 X\r\n\r\nx", False, complete_once(b"", 204)),
    ("304", LENGTH_4.replace(b"200", b"304"), False, complete(b"", 304)),
    ("304, chunked", CHUNKED.replace(b"200", b"304"), False, complete(b"", 304)),
    ("chunks", CHUNKED + b"2\r\nfi\r\n2\r\nne" + LAST, False, complete(b"fine")),
    ("trailers", CHUNK + b"\r\n0\r\nX-Sum: 1\r\nY:\r\n\r\n", False, complete(b"fine")),
    ("extension", CHUNKED + b'4;a;b="x y"\r\nfine' + LAST, False, complete(b"fine")),
    ("chunks, surplus", CHUNK + LAST + b"\r\n", False, complete_once(b"fine")),
    ("no last chunk", CHUNK + b"\r\n", CLOSE, CUT),
    ("trailers, cut", CHUNK + b"\r\n0\r\n", CLOSE, CUT),
    ("chunk too long", CHUNK + b"!" + LAST, False, CUT),
    ("chunk size -1", CHUNK + b"\r\n-1\r\n", False, CUT),
    ("chunk size 0x4", CHUNK + b"\r\n0x4\r\n", False, CUT),
    ("chunk size empty", CHUNK + b"\r\n\r\n", False, CUT),
    ("chunk size, 21 digits", CHUNK + b"\r\n" + b"0" * 21 + b"\r\n", False, CUT),
    ("trailer without colon", CHUNK + b"\r\n0\r\nno\r\n\r\n", False, CUT),
    ("HTTP/1.0", b"HTTP/1.0 204 X\r\n\r\n", False, complete_once(b"", 204)),
    (
        "Connection: close",
        LENGTH_4[:-2] + b"connection: x, Close\r\n\r\nfine",
        False,
        complete_once(b"fine"),
    ),
    ("no reason", b"HTTP/1.1 204\r\n\r\n", False, complete(b"", 204)),
    ("100 and 103", INTERIM * 2 + LENGTH_4 + b"fine", False, complete(b"fine")),
    (
        "199 with a length",
        LENGTH_4.replace(b"200", b"199") + LENGTH_4 + b"fine",
        False,
        complete(b"fine"),
    ),
    (
        "200 with an upgrade",
        LENGTH_4[:-2] + b"Upgrade: x\r\nConnection: upgrade\r\n\r\nfine",
        False,
        complete(b"fine"),
    ),
    ("only 103", INTERIM, False, Parsed(PARTIAL)),
    ("only 103, closed", INTERIM, CLOSE, REJECTED),
    ("closed at once", b"", CLOSE, REJECTED),
    ("closed in the head", LENGTH_4[:-2], CLOSE, REJECTED),
    ("head too large", OK + b"A: " + b"x" * (MAX_HEAD_BYTES + 1), False, REJECTED),
)
"""`h11`, which parsed responses before, gave the same in these cases, but for an empty
body without a length."""

REJECTED_HEADS = (
    b"\x16\x03\x01\r\n\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"\r\n" + LENGTH_4,
    b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    b"HTTP/1.1 101 S\r\n\r\n",
    b"HTTP/1.1 20 OK\r\n\r\n",
    b"HTTP/1.1 2000 OK\r\n\r\n",
    b"HTTP/1.1 099 OK\r\n\r\n",
    b"HTTP 200 OK\r\n\r\n",
    b"HTTP/1.1 200 a\0b\r\n\r\n",
    *(
        OK + header + b"\r\n\r\n"
        for header in (
            b"Content-Length: 4\r\nContent-Length: 5",
            b"Content-Length: 4, 5",
            b"Content-Length: +4",
            b"Content-Length:",
            b"Content-Length: " + b"1" * 21,
            b"Content-Length : 4",
            b"Transfer-Encoding: gzip",
            b"Transfer-Encoding: gzip, chunked",
            b"Transfer-Encoding: chunked, gzip",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            b"Transfer-Encoding:",
            b"A: a\0b",
            b"A: b\rContent-Length: 4",
            b"no header",
            b": x",
            b"A b: c",
            b" a: b",
        )
    ),
)
"""Heads that `h11` rejected as well."""

STRICTER_HEADS = (
    b"HTTP/9.9 200 OK\r\n\r\n",
    b"HTTP/1.1 200 \x01\r\n\r\n",
    b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
    OK + b"Content-Length: 0\n\r\n",
    OK + b"A: b\nContent-Length: 0\r\n\r\n",
    OK + b"A: b\r\n c\r\n\r\n",
    OK + b"A: \x01\r\n\r\n",
    OK + b"Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
    OK + b"Content-Length: 0, 0\r\n\r\n",
    OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
)
"""Heads that `h11` accepted."""

STRICTER_CHUNKS = (
    CHUNKED + b"4 \r\nfine" + LAST,
    CHUNKED + b"4;\r\nfine" + LAST,
    CHUNKED + b"0" * 16 + b"4\r\nfine" + LAST,
    CHUNKED + b"0\r\n\n",
)
"""Chunks that `h11` accepted."""


def all_cases() -> Iterator[tuple[str, Sent, Parsed]]:
    """Return the name of each case, what is sent, and what is made of it."""
    for name, data, closed, expected in CASES:
        yield name, Sent(data, closed), expected
    for data in REJECTED_HEADS + STRICTER_HEADS:
        yield repr(data), Sent(data), REJECTED
    for data in STRICTER_CHUNKS:
        yield repr(data), Sent(data), Parsed(INVALID, 200)
    for data in (LENGTH_4, CHUNKED):
        yield "HEAD", Sent(data, method="HEAD"), complete()
        surplus = Sent(data + b"fine", method="HEAD")
        yield "HEAD with a body", surplus, complete_once()


def test_responses_are_delimited_and_rejected_as_listed():
    """The end of a response depends neither on reads nor on what follows it."""
    for name, sent, expected in all_cases():
        assert parse(sent) == expected, name
        for cut in range(1, min(len(sent.data), 500)):
            parsed = parse(sent, (cut,))
            # a surplus that is received later is not known yet
            assert parsed == expected or (
                expected.state == COMPLETE
                and not expected.reusable
                and parsed == complete(expected.body, expected.status, True)
            ), (name, cut)


def random_response(random_source: random.Random) -> tuple[bytes, bytes]:
    """Return the bytes of a valid response, and its body."""
    body = random_source.randbytes(random_source.choice([0, 1, 65, 3000]))
    lines = OK + b"X-Id: %d\r\n" % random_source.randrange(100)
    if random_source.random() < 0.5:
        return lines + b"Content-Length: %d\r\n\r\n" % len(body) + body, body
    lines += b"Transfer-Encoding: chunked\r\n\r\n"
    rest = body
    while rest:
        size = random_source.randint(1, len(rest))
        lines += b"%x\r\n" % size + rest[:size] + b"\r\n"
        rest = rest[size:]
    return lines + b"0\r\n\r\n", body


def mutate(data: bytes, random_source: random.Random) -> bytes:
    """Replace, remove or insert some bytes."""
    mutated = bytearray(data)
    for _ in range(random_source.randint(1, 3)):
        at = random_source.randrange(len(mutated))
        length = random_source.choice([0, 1, 1, 4])
        inserted = random_source.choice([b"", b"\r\n", b"\0", b"0", b": ", b"f"])
        mutated[at : at + length] = inserted or random_source.randbytes(length)
    return bytes(mutated)


def test_random_responses_are_complete_or_fail():
    """Two responses are never taken for one, nor a truncated one for a complete one."""
    for seed in range(300):
        source = random.Random(seed)
        data, body = random_response(source)
        following, _ = random_response(source)
        cuts = tuple(source.randrange(len(data)) for _ in range(3))
        assert parse(Sent(data), cuts) == complete(body), seed
        assert parse(Sent(data + following)) == complete(body, 200, False), seed
        cut = source.randrange(len(data))
        assert parse(Sent(data[:cut], closed=True), cuts).state == INVALID, seed


def test_garbled_responses_raise_nothing_else_and_do_not_grow():
    """The result does not depend on the reads, and no byte is taken twice."""
    for seed in range(2000):
        source = random.Random(seed)
        data = mutate(random_response(source)[0], source)
        if seed % 10 == 0:
            data = source.randbytes(300)
        sent = Sent(data, source.random() < 0.5)
        parsed = parse(sent)
        assert len(parsed.body) <= len(data), seed
        cuts = tuple(source.randrange(len(data)) for _ in range(5))
        again = parse(sent, cuts)
        assert (again.state, again.body) == (parsed.state, parsed.body), seed


def test_response_after_a_skipped_one_starts_at_its_end():
    """An engine sends the response to another request before the expected one."""
    for first in (LENGTH_4 + b"fine", CHUNKED + b"4\r\nfine\r\n0\r\n\r\n"):
        for cut in range(1, len(first)):
            parser = ResponseParser("GET")
            bodies = []
            data = first + LENGTH_4 + b"mine"
            for part in (data[:cut], data[cut:]):
                parser.receive(part)
                while (event := parser.next_event()) is not ResponseEvent.NEED_DATA:
                    if event is ResponseEvent.END and len(bodies) < 2:
                        parser.start_next_response()
                    elif isinstance(event, ParsedHead):
                        bodies.append(b"")
                    elif isinstance(event, bytes):
                        bodies[-1] += event
            assert bodies == [b"fine", b"mine"]
            assert parser.reusable
