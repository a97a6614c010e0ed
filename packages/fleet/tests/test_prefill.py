"""Tests of the estimate of engines' prefill times."""

import asyncio
import random
from dataclasses import dataclass

from teaselledge_fleet.process.prefill import PREFILL_TIME_FRACTION, PrefillModel

VIRTUAL_CLOCK = True

PROMPTS = (
    (826, 628),
    (2_370, 1_800),
    (12_000, 6_600),
    (17_000, 3_700),
    (30_000, 24_000),
)
"""Tokens of prompts, and how many of them the engine has not cached."""

RESPONSE_COUNT = 200
RESPONSE_INTERVAL_SECONDS = 0.02
TOLERANCE_FRACTION = 0.1
"""Fraction by which an estimate may be off after so many responses."""


@dataclass
class Engines:
    """Engines whose prefill time differs from the initial estimate by a factor.

    Attributes
    ----------
    slowdown : float
        Prefill time relative to the initial estimate.
    overhead_seconds : float
        Time to the first event without prefill.
    noise : float
        Sigma of the log-normal noise of response times.
    """

    slowdown: float
    overhead_seconds: float = 0.06
    noise: float = 0.25

    def respond(self, model: PrefillModel, rng: random.Random) -> None:
        """Let the model observe a response that queued behind up to four prompts."""
        initial_model = PrefillModel()
        prompts = [rng.choice(PROMPTS) for _ in range(rng.randint(1, 5))]
        actual = (
            sum(initial_model.predict("books", *each) for each in prompts)
            * self.slowdown
        )
        elapsed = (
            self.overhead_seconds
            + actual / PREFILL_TIME_FRACTION * rng.lognormvariate(0, self.noise)
        )
        predicted = sum(model.predict("books", *each) for each in prompts)
        model.observe("books", predicted, elapsed)


async def estimate_ratio(
    engines: Engines, responses: int = RESPONSE_COUNT, outlier_interval: int = 0
) -> float:
    """Return the estimated slowdown divided by the actual one.

    Every so many responses there is an outlier.
    """
    rng, model = random.Random(1), PrefillModel()
    for index in range(responses):
        await asyncio.sleep(RESPONSE_INTERVAL_SECONDS)
        engines.respond(model, rng)
        if outlier_interval and index % outlier_interval == 0:
            model.observe("books", 0.3, rng.choice((0.001, 30.0)))
    return model.slowdown("books") / engines.slowdown


async def test_a_different_speed_is_estimated_within_200_responses():
    """A new customer's engines are up to four times slower or three times faster.

    If the estimate is too fast, they get more prompts than they can process in time and
    all first events are late; if it is too slow, callers are refused without need.
    """
    for slowdown in (1 / 3, 0.7, 1.0, 1.4, 3.0, 4.0):
        assert abs(await estimate_ratio(Engines(slowdown)) - 1) <= TOLERANCE_FRACTION


async def test_outliers_change_the_estimate_little():
    """One response of ten begins at once or after 30 s, from a faulty engine."""
    for slowdown in (1 / 3, 1.0, 3.0):
        assert (
            abs(await estimate_ratio(Engines(slowdown), outlier_interval=10) - 1)
            <= 2 * TOLERANCE_FRACTION
        )


async def test_the_estimate_follows_a_change_of_speed():
    """The engines of a service are replaced by slower ones."""
    rng, model = random.Random(2), PrefillModel()
    for slowdown in (0.5, 2.0):
        for _ in range(RESPONSE_COUNT):
            await asyncio.sleep(RESPONSE_INTERVAL_SECONDS)
            Engines(slowdown).respond(model, rng)
        assert abs(model.slowdown("books") / slowdown - 1) <= TOLERANCE_FRACTION


async def test_short_responses_do_not_change_the_slowdown():
    """An idle engine responds to short prompts within the round-trip time."""
    model = PrefillModel()
    for _ in range(RESPONSE_COUNT):
        await asyncio.sleep(RESPONSE_INTERVAL_SECONDS)
        model.observe("books", 0.01, 0.08)
    assert model.slowdown("books") == 1.0


async def test_services_are_estimated_independently():
    """One service has slow engines; prompts for another must not be refused."""
    rng, model = random.Random(3), PrefillModel()
    for _ in range(RESPONSE_COUNT):
        await asyncio.sleep(RESPONSE_INTERVAL_SECONDS)
        Engines(3.0).respond(model, rng)
    assert model.slowdown("letters") == 1.0


async def test_a_router_without_responses_has_the_estimate_of_the_others():
    """A quiet router refused what busy ones would have sent to the same engines."""
    rng, busy, quiet = random.Random(4), PrefillModel(), PrefillModel()
    for _ in range(RESPONSE_COUNT):
        await asyncio.sleep(RESPONSE_INTERVAL_SECONDS)
        Engines(3.0).respond(busy, rng)
        quiet.update_source("busy", busy.local())
        quiet.slowdown("books")
    assert abs(quiet.slowdown("books") / 3.0 - 1) <= TOLERANCE_FRACTION


async def test_a_busy_router_does_not_move_the_estimate_faster():
    """With a step for each response it moved sevenfold within a second."""
    few, many = PrefillModel(), PrefillModel()
    for number in range(100):
        await asyncio.sleep(0.01)
        many.observe("books", 0.3, 0.45 if number % 100 < 50 else 0.43)
        if number % 10 == 0:
            few.observe("books", 0.3, 0.45 if number % 100 < 50 else 0.43)
    assert abs(many.slowdown("books") - few.slowdown("books")) <= TOLERANCE_FRACTION


async def test_a_slower_speed_is_not_overestimated_while_it_is_learnt():
    """Responses that were predicted before the estimate changed arrive after it."""
    model, highest = PrefillModel(), 0.0
    pending: list[tuple[float, float]] = []
    for _ in range(RESPONSE_COUNT):
        await asyncio.sleep(RESPONSE_INTERVAL_SECONDS)
        slowdown = model.slowdown("books")
        pending.append((slowdown, model.predict("books", 17_000, 17_000)))
        highest = max(highest, slowdown)
        if len(pending) > 20:
            predicted_with, seconds = pending.pop(0)
            actual = 4.0 * seconds / predicted_with / PREFILL_TIME_FRACTION
            model.observe("books", seconds, actual + 0.05, predicted_with)
    assert abs(model.slowdown("books") / 4.0 - 1) <= TOLERANCE_FRACTION
    assert highest <= 4.0 * (1 + TOLERANCE_FRACTION)


async def test_responses_from_a_queue_do_not_make_engines_look_faster():
    """The overhead of those before a request passes while it waits.

    Taken off again, it made busy engines look up to twice as fast as they are, so that
    they got longer queues than could be served in time.
    """
    model, overhead = PrefillModel(), 0.05
    for _ in range(RESPONSE_COUNT):
        await asyncio.sleep(RESPONSE_INTERVAL_SECONDS)
        prefill = model.predict("books", 17_000, 3_700)
        wait = 0.15 * model.slowdown("books")
        seconds = 0.15 + prefill / model.slowdown("books") / PREFILL_TIME_FRACTION
        model.observe("books", prefill, seconds, wait=wait)
        model.observe("books", 0.0, overhead)
    assert abs(model.slowdown("books") - 1) <= TOLERANCE_FRACTION
