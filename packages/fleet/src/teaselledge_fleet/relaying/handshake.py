"""The handshake of a relayed connection, before any byte of the caller's is read.

The relaying router offers the connection, and the other one accepts it. The kernel of a
VM accepts connections and bytes also for a process that stands still, so that only this
answer shows that the request will be read.
"""

import socket
from dataclasses import dataclass

__all__ = [
    "ACCEPTANCE",
    "OFFER_BYTES",
    "Offer",
    "encode_offer",
    "read_offer",
    "receive_offer",
]

OFFER_BYTES = 32
"""Maximum length of an offer."""

ACCEPTANCE = b"accepted\n"

_OFFER = b"offered %d\n"
_EARLIER_OFFER = b"relayed"
"""Keyword of earlier releases, which send the caller's bytes at once."""

_KEYWORDS = {b"offered": True, _EARLIER_OFFER: False}
"""Whether an acceptance is due, by keyword."""


@dataclass(frozen=True)
class Offer:
    """A connection that another router relays.

    Attributes
    ----------
    version : int
        Version of the configuration in force at the relaying router. A router with an
        older one must not serve the request: to the caller it would look as if the
        relaying router had returned to an old configuration.
    awaits_acceptance : bool
        Whether the relaying router sends nothing before the acceptance.
    """

    version: int
    awaits_acceptance: bool = True


def encode_offer(version: int) -> bytes:
    """Return the line that offers a connection, with the relaying router's version."""
    return _OFFER % version


def read_offer(line: bytes) -> Offer | None:
    """Return the offer in a line, None for any other line."""
    keyword, _, number = line.strip().partition(b" ")
    if keyword not in _KEYWORDS or not number.isdigit():
        return None
    return Offer(int(number), _KEYWORDS[keyword])


def receive_offer(connection: socket.socket) -> bytes | None:
    """Take the line of an offer from a socket, None if it has not arrived as a whole.

    No byte behind it is taken. Under load it has mostly arrived before the connection
    is accepted, and reading it then saves the other router an iteration of this loop.
    """
    try:
        received = connection.recv(OFFER_BYTES, socket.MSG_PEEK)
    except OSError:
        return None
    end = received.find(b"\n") + 1
    return connection.recv(end) if end else None
