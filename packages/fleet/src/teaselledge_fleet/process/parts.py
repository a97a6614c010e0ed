"""Where the shared parts of prompts are likely to be kept."""

import asyncio
from collections import OrderedDict
from collections.abc import Sequence
from functools import lru_cache

import xxhash

from teaselledge_fleet.process.endpoints import Endpoint
from teaselledge_fleet.request.call import Prompt

__all__ = ["PartPlaces", "ranked", "shared_part"]

KEPT_SECONDS = 6.0
"""Time for which an engine is believed to keep a part after its last use.

An engine's memory of 444,000 tokens, of which running requests hold about a third,
is written anew every 8 s at 35,000 tokens a second, the load of a busy day.
"""

REMEMBERED = 4000
"""Uses that are remembered."""


def shared_part(prompt: Prompt) -> str | None:
    """Return the id of the longest chain of parts that other prompts share.

    The last part is the request's own; the one before it stands for the chain, as
    a part is kept only together with all parts before it.
    """
    if len(prompt.parts) < 2:  # noqa: PLR2004
        return None
    return prompt.parts[-2].id


def shared_tokens(prompt: Prompt) -> int:
    """Return the length of that chain."""
    return sum(part.tokens for part in prompt.parts[:-1])


def ranked(part: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
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


class PartPlaces:
    """Remembers where this router had parts read lately."""

    def __init__(self) -> None:
        self._used: OrderedDict[tuple[str, str], float] = OrderedDict()

    def note(self, endpoint: str, part: str) -> None:
        """Note that an endpoint has read a part."""
        self._used[endpoint, part] = self._now()
        self._used.move_to_end((endpoint, part))
        while len(self._used) > REMEMBERED:
            self._used.popitem(last=False)

    def keeps(self, endpoint: str, part: str) -> bool:
        """Return whether an endpoint is likely to keep a part still."""
        at = self._used.get((endpoint, part))
        return at is not None and self._now() - at < KEPT_SECONDS

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
