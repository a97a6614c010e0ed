"""Shared prefixes of prompts, and the rendezvous order of engines to cache them."""

from collections.abc import Sequence
from functools import lru_cache

import xxhash

from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.call import Prompt

__all__ = ["rendezvous_order", "shared_prefix_id", "shared_prefix_tokens"]


def shared_prefix_id(prompt: Prompt) -> str | None:
    """Return the id of the longest prefix that other prompts share; None without one.

    The last segment is the request's own. The id of the segment before it identifies
    the prefix, as a segment is cached only together with all segments before it.
    """
    if len(prompt.segments) < 2:  # noqa: PLR2004
        return None
    return prompt.segments[-2].id


def shared_prefix_tokens(prompt: Prompt) -> int:
    """Return the length of the shared prefix in tokens; 0 without one."""
    return sum(segment.tokens for segment in prompt.segments[:-1])


def rendezvous_order(prefix: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints in the order in which they should cache a prefix.

    With rendezvous hashing every router computes the same order without communication,
    and adding or removing an endpoint moves only the prefixes of that endpoint.
    """
    indexes = _rendezvous_indexes(prefix, tuple(endpoint.id for endpoint in endpoints))
    return [endpoints[index] for index in indexes]


@lru_cache(maxsize=1024)
def _rendezvous_indexes(prefix: str, names: tuple[str, ...]) -> tuple[int, ...]:
    return tuple(
        sorted(
            range(len(names)),
            key=lambda n: xxhash.xxh3_64_intdigest(f"{prefix}\0{names[n]}".encode()),
        )
    )
