"""Tests that routers agree on how fast engines are."""

from teaselledge_fleet.connection.figures import pack_slowdowns, unpack_slowdowns
from teaselledge_fleet.process.prefill import SlowdownSamples
from teaselledge_standins.modelengines import OrganisationLoad
from teaselledge_standins.tworegions import (
    LOAD_SECONDS,
    PEAK_BEGIN,
    play_two_regions,
)

VIRTUAL_CLOCK = True
SEEDS = (1, 2)
SETTLED_SECOND = 3
ORGANISATIONS = (
    OrganisationLoad("quiet", 10, routers=(7,)),
    OrganisationLoad("flood", 150, begin=PEAK_BEGIN, routers=(0,)),
)
MAX_RATIO = 2.0
"""An organisation is due at least half of what another one gets, so no router may take
the same queue for more than twice as long as another one."""


async def test_routers_agree_on_the_speed_of_engines_beside_a_flood():
    """A busy router's estimate swung within a second, and a quiet one's stayed."""
    for seed in SEEDS:
        result = await play_two_regions(ORGANISATIONS, seed)
        for slowdowns in result.slowdowns[SETTLED_SECOND:LOAD_SECONDS]:
            assert max(slowdowns) <= MAX_RATIO * min(slowdowns), slowdowns


def test_samples_are_sent_with_their_weight_and_mean():
    for mean_log in (-2.0, -0.1, 0.0, 0.7, 2.0):
        samples = {7: SlowdownSamples.from_mean(12.34, mean_log)}
        received = unpack_slowdowns(pack_slowdowns(samples) + b"partial")[7]
        assert abs(received.weight - 12.34) <= 0.01
        assert abs(received.mean_log - mean_log) <= 0.001


def test_extreme_samples_fit_a_heartbeat():
    """A number beyond its field would end the sending of heartbeats."""
    samples = {
        hashed_name: SlowdownSamples.from_mean(1e9, sign * 1e9)
        for hashed_name, sign in ((1, 1), (2, -1))
    }
    received = unpack_slowdowns(pack_slowdowns(samples))
    assert received[1].mean_log > 30 > -30 > received[2].mean_log
    assert unpack_slowdowns(pack_slowdowns({1: SlowdownSamples()})) == {}
