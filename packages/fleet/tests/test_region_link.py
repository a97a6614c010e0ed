"""Tests of prompts that could cross a narrow link between regions."""

from teaselledge_standins.modelengines import (
    EngineSpeed,
    LoadResult,
    OrganisationLoad,
    PromptKind,
    run_load,
)

VIRTUAL_CLOCK = True
SEEDS = (1, 2)
LOAD_SECONDS = 13.0
PEAK_BEGIN, PEAK_END = 5, 13
CAPACITY_TOKENS_PER_SECOND = 320_000
LINK_BYTES_PER_SECOND = 150_000
ROUTERS = 8
ZONES = {"north": "west", "south": "west", "far": "east", "further": "east"}
ENGINES = {f"e{n}": zone for n, zone in enumerate([*ZONES] * 3)}
KINDS = (
    PromptKind("long", 28, 144, 13_300, 3_720, 120, 1.1, 1.4, 0.8, 8.0, 3.4, 1.0),
    PromptKind("medium", 26, 197, 6_300, 2_890, 52, 1.0, 1.4, 0.8, 5.0, 2.4, 0.72),
    PromptKind("short", 41, 273, 350, 1_110, 172, 1.0, 0.89, 0.6, 10.0, 0.38, 0.11),
)
ORGANISATIONS = (
    *(OrganisationLoad(f"o{n}", 1.5, routers=(1 + n % 6,)) for n in range(24)),
    OrganisationLoad("quiet", 20, routers=(7,)),
    OrganisationLoad("flood", 60, begin=PEAK_BEGIN, routers=(0,)),
)
MIN_FRACTION = 0.5
"""Part of what it would get otherwise that an organisation gets at least."""


async def play(seed: int, link_bytes_per_second: float) -> LoadResult:
    return await run_load(
        ENGINES,
        ZONES,
        KINDS,
        LOAD_SECONDS,
        seed,
        speed=EngineSpeed(slots=24),
        tokens_per_second=CAPACITY_TOKENS_PER_SECOND,
        organisations=ORGANISATIONS,
        router_count=ROUTERS,
        link_bytes_per_second=link_bytes_per_second,
    )


async def test_a_full_link_between_regions_leaves_organisations_their_engines():
    """The engines of each region have room, and prompts wait on the link instead."""
    for seed in SEEDS:
        near = await play(seed, 0.0)
        narrow = await play(seed, LINK_BYTES_PER_SECOND)
        assert narrow.credit >= MIN_FRACTION * near.credit
        for name in ("quiet", "flood"):
            got = narrow.shares.got(name, PEAK_BEGIN, PEAK_END)
            assert got >= MIN_FRACTION * near.shares.got(name, PEAK_BEGIN, PEAK_END)
