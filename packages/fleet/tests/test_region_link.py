"""Tests of prompts that could cross a narrow link between regions."""

from teaselledge_standins.modelengines import OrganisationLoad
from teaselledge_standins.tworegions import (
    LOAD_SECONDS,
    PEAK_BEGIN,
    play_two_regions,
)

VIRTUAL_CLOCK = True
SEEDS = (1, 2)
LINK_BYTES_PER_SECOND = 150_000
ORGANISATIONS = (
    OrganisationLoad("quiet", 20, routers=(7,)),
    OrganisationLoad("flood", 60, begin=PEAK_BEGIN, routers=(0,)),
)
MIN_FRACTION = 0.5
"""Part of what it would get otherwise that an organisation gets at least."""


async def test_a_full_link_between_regions_leaves_organisations_their_engines():
    """The engines of each region have room, and prompts wait on the link instead."""
    for seed in SEEDS:
        near = await play_two_regions(ORGANISATIONS, seed)
        narrow = await play_two_regions(ORGANISATIONS, seed, LINK_BYTES_PER_SECOND)
        assert narrow.credit >= MIN_FRACTION * near.credit
        for each in ORGANISATIONS:
            got = narrow.shares.got(each.name, PEAK_BEGIN, LOAD_SECONDS)
            near_got = near.shares.got(each.name, PEAK_BEGIN, LOAD_SECONDS)
            assert got >= MIN_FRACTION * near_got
