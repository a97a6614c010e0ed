"""Tests that organisations get their shares, in the tokens that callers count."""

from collections.abc import Sequence

from teaselledge_standins.modelengines import (
    OrganisationLoad,
    PromptKind,
    run_load,
)
from teaselledge_standins.shareledger import ShareViolation

VIRTUAL_CLOCK = True
SEEDS = (1, 2, 3, 4)
LOAD_SECONDS = 16.0
PEAK_BEGIN = 5
CAPACITY_TOKENS_PER_SECOND = 320_000
ZONES = {"north": "west", "south": "west", "far": "east"}
ENGINES = {f"e{n}": zone for n, zone in enumerate([*ZONES] * 3)}
KINDS = (
    PromptKind("long", 18, 144, 13_300, 3_720, 120, 1.1, 1.4, 0.8, 8.0, 3.7, 1.1),
    PromptKind("medium", 29, 197, 6_300, 2_890, 52, 1.0, 1.4, 0.8, 5.0, 2.6, 0.77),
    PromptKind("short", 35, 273, 350, 1_110, 172, 1.0, 0.89, 0.6, 10.0, 0.32, 0.096),
)
SMALL = tuple(OrganisationLoad(f"o{n}", 2.6) for n in range(20))
LONG_ONLY, SHORT_ONLY = {"long": 1.0}, {"short": 1.0}


async def play(organisations: Sequence[OrganisationLoad]) -> list[ShareViolation]:
    """Return the windows of a peak in which one got less than its share."""
    violations = []
    for seed in SEEDS:
        result = await run_load(
            ENGINES,
            ZONES,
            KINDS,
            LOAD_SECONDS,
            seed,
            tokens_per_second=CAPACITY_TOKENS_PER_SECOND,
            organisations=[*SMALL, *organisations],
        )
        violations += result.shares.violations(PEAK_BEGIN, int(LOAD_SECONDS))
    return violations


async def test_short_prompts_get_their_share_beside_a_flood_of_long_ones():
    """Shares left out cached prefixes, three quarters of the tokens of long prompts."""
    violations = await play(
        [
            OrganisationLoad("lookups", 40, SHORT_ONLY),
            OrganisationLoad("flood", 50, LONG_ONLY, begin=PEAK_BEGIN),
        ]
    )
    assert not violations, violations


async def test_a_flood_of_short_prompts_gets_its_share_beside_long_ones():
    """Without cached prefixes in shares, only the short prompts were over theirs."""
    violations = await play(
        [
            OrganisationLoad("dossiers", 12, LONG_ONLY),
            OrganisationLoad("flood", 80, SHORT_ONLY, begin=PEAK_BEGIN),
        ]
    )
    assert not violations, violations


async def test_of_two_floods_the_larger_one_gets_no_multiple():
    """Both are over their share, and one sends three times as many requests."""
    violations = await play(
        [
            OrganisationLoad("first", 12),
            OrganisationLoad("second", 30, begin=PEAK_BEGIN),
            OrganisationLoad("third", 90, begin=PEAK_BEGIN),
        ]
    )
    assert not violations, violations


async def test_an_organisation_gets_its_share_though_a_router_refuses_most_of_it():
    """All of its callers connect to one router, which has no time to read them."""
    violations = await play(
        [
            OrganisationLoad("spread", 90, begin=PEAK_BEGIN),
            OrganisationLoad("crowded", 90, begin=PEAK_BEGIN, unread_fraction=0.85),
        ]
    )
    assert not violations, violations
