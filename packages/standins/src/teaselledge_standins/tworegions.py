"""A load of two regions for tests that need several routers."""

from collections.abc import Sequence

from teaselledge_standins.modelengines import (
    EngineSpeed,
    LoadResult,
    OrganisationLoad,
    PromptKind,
    run_load,
)

__all__ = ["LOAD_SECONDS", "PEAK_BEGIN", "SMALL_ORGANISATIONS", "play_two_regions"]

LOAD_SECONDS = 13
PEAK_BEGIN = 5
"""Second from which tests let one organisation send many requests."""

CAPACITY_TOKENS_PER_SECOND = 320_000
ROUTERS = 8
ZONES = {"north": "west", "south": "west", "far": "east", "further": "east"}
ENGINES = {f"e{n}": zone for n, zone in enumerate([*ZONES] * 3)}
KINDS = (
    PromptKind("long", 28, 144, 13_300, 3_720, 120, 1.1, 1.4, 0.8, 8.0, 3.4, 1.0),
    PromptKind("medium", 26, 197, 6_300, 2_890, 52, 1.0, 1.4, 0.8, 5.0, 2.4, 0.72),
    PromptKind("short", 41, 273, 350, 1_110, 172, 1.0, 0.89, 0.6, 10.0, 0.38, 0.11),
)
SMALL_ORGANISATIONS = tuple(
    OrganisationLoad(f"o{n}", 1.5, routers=(1 + n % 6,)) for n in range(24)
)
"""Their callers connect to six of the routers; the first and the last are free."""


async def play_two_regions(
    organisations: Sequence[OrganisationLoad],
    seed: int,
    link_bytes_per_second: float = 0.0,
) -> LoadResult:
    """Play some organisations beside the small ones on twelve engines.

    Parameters
    ----------
    organisations : sequence of OrganisationLoad
        The other organisations.
    seed : int
        Seed of all random numbers.
    link_bytes_per_second : float
        Rate of the link between the regions, each way; 0 if they are near.
    """
    return await run_load(
        ENGINES,
        ZONES,
        KINDS,
        LOAD_SECONDS,
        seed,
        speed=EngineSpeed(slots=24),
        tokens_per_second=CAPACITY_TOKENS_PER_SECOND,
        organisations=[*SMALL_ORGANISATIONS, *organisations],
        router_count=ROUTERS,
        link_bytes_per_second=link_bytes_per_second,
    )
