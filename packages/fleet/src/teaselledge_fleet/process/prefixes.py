"""The shared parts of prompts, and the order of engines that should keep them."""

from collections.abc import Sequence
from functools import lru_cache

import xxhash

from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.call import Prompt

__all__ = ["rendezvous_order", "shared_prefix_id", "shared_prefix_tokens"]


def shared_prefix_id(prompt: Prompt) -> str | None:
    """Return the id of the longest chain of parts that other prompts share.

    The last part is the request's own; the one before it stands for the chain, as
    a part is kept only together with all parts before it.
    """
    if len(prompt.segments) < 2:  # noqa: PLR2004
        return None
    return prompt.segments[-2].id


def shared_prefix_tokens(prompt: Prompt) -> int:
    """Return the length of that chain; 0 where there is none."""
    return sum(part.tokens for part in prompt.segments[:-1])


def rendezvous_order(part: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints in the order in which they should keep a part.

    Rendezvous hashing: every router finds the same order without asking, and an
    endpoint that comes or goes moves only the parts that it keeps.
    """
    places = _places(part, tuple(endpoint.id for endpoint in endpoints))
    return [endpoints[place] for place in places]


@lru_cache(maxsize=1024)
def _places(part: str, names: tuple[str, ...]) -> tuple[int, ...]:
    return tuple(
        sorted(
            range(len(names)),
            key=lambda n: xxhash.xxh3_64_intdigest(f"{part}\0{names[n]}".encode()),
        )
    )
