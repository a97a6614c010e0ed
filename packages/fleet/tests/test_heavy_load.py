"""Tests of what callers get from engines under heavy load."""

from teaselledge_fleet.process.shares import ShareStatus
from teaselledge_fleet.process.waiting import QueueWaitLimits
from teaselledge_fleet.version.routes import Route
from teaselledge_standins.modelengines import LoadResult, PromptKind, run_load

VIRTUAL_CLOCK = True
SEEDS = (1, 2, 3)
LOAD_SECONDS = 20.0
CAPACITY_TOKENS_PER_SECOND = 320_000
ZONES = {"north": "west", "south": "west", "far": "east"}
ENGINES = {f"e{n}": zone for n, zone in enumerate([*ZONES] * 3)}
KINDS = (
    PromptKind("long", 18, 144, 13_300, 3_720, 120, 1.1, 1.4, 0.8, 8.0, 3.7, 1.1),
    PromptKind("medium", 29, 197, 6_300, 2_890, 52, 1.0, 1.4, 0.8, 5.0, 2.6, 0.77),
    PromptKind("short", 35, 273, 350, 1_110, 172, 1.0, 0.89, 0.6, 10.0, 0.32, 0.096),
)


class SameLimitEverywhere(QueueWaitLimits):
    """Limits a prompt by the shortest objective also where its prefix is cached."""

    def max_wait(
        self,
        route: Route,
        service: str,
        share_status: ShareStatus,
        has_prefix: bool = False,
        elapsed: float = 0.0,
    ) -> float:
        """Return the limit of engines without the prefix."""
        return super().max_wait(route, service, share_status, elapsed=elapsed)


async def play(wait_limits: QueueWaitLimits, seed: int) -> LoadResult:
    return await run_load(
        ENGINES,
        ZONES,
        KINDS,
        LOAD_SECONDS,
        seed,
        tokens_per_second=CAPACITY_TOKENS_PER_SECOND,
        wait_limits=wait_limits,
    )


async def test_longer_waits_where_prefixes_are_cached_save_copies_and_serve_more():
    """Prompts were sent elsewhere while they could still be served in time.

    Each copy evicted other prefixes, which were then copied or computed again.
    """
    copied = served = 0.0
    for seed in SEEDS:
        before = await play(SameLimitEverywhere(), seed)
        after = await play(QueueWaitLimits(), seed)
        copied += after.counters["moved"] / before.counters["moved"]
        served += after.credit - before.credit
    assert copied < len(SEEDS)
    assert served > 0
