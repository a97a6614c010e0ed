"""Hashes of the prefixes that requests share."""

import xxhash

from teaselledge.request.context import CallerRequest

__all__ = ["PREFIX_BYTES", "PREFIX_HEADER", "prefix_hash"]

PREFIX_HEADER = "X-Prefix"
"""Header that passes the hash to an engine for its cache events."""

PREFIX_BYTES = 1024
"""Length of the hashed prefix; caching a shorter body would save little."""

HASH_BITS = 63


def prefix_hash(request: CallerRequest) -> int | None:
    """Return a hash of the prompt's prefix, None if no cache applies.

    An engine that has recently processed the same prefix has it in its cache and
    need not compute it again. The hash is a hint: a collision only costs time.
    """
    if request.service_entry.cost != "tokens" or len(request.body) < PREFIX_BYTES:
        return None
    digest = xxhash.xxh3_64_intdigest(request.body[:PREFIX_BYTES])
    return digest >> (64 - HASH_BITS)
