"""Detection of peers that are gone without closing their connections."""

import socket

__all__ = ["detect_silent_peer"]

TCP_USER_TIMEOUT_MS = 1500
"""Time without acknowledgement of sent data after which a connection is closed.

A connection can fail without a reset, and a request on it would then wait until its
deadline. The limit leaves time for a packet to be lost and retransmitted twice.
"""

KEEPALIVE_PROBE_SECONDS = 1
MAX_KEEPALIVE_PROBES = 2
"""Keep-alive probes detect an idle connection that failed without a reset."""


def detect_silent_peer(connection: socket.socket) -> None:
    """Let the kernel close a connection whose peer no longer acknowledges anything."""
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
