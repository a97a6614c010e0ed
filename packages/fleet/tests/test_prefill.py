"""Tests of what routers learn of the engines' reading."""

import random
from dataclasses import dataclass

from teaselledge_fleet.process.prefill import PREFILL_TIME_FRACTION, PrefillModel

PROMPTS = (
    (826, 628),
    (2_370, 1_800),
    (12_000, 6_600),
    (17_000, 3_700),
    (30_000, 24_000),
)
"""Tokens of prompts, and how many of them are not kept by the engine."""

ANSWERS = 200
WITHIN = 0.1
"""Part by which a forecast may be off after so many answers."""


@dataclass
class Engines:
    """Engines that read at some factor of what they are first taken for.

    Attributes
    ----------
    factor : float
        How much slower than at first.
    besides : float
        Seconds to the first event besides reading.
    noise : float
        Spread of the time that an answer takes, as a part of it.
    """

    factor: float
    besides: float = 0.06
    noise: float = 0.25

    def answer(self, model: PrefillModel, chance: random.Random) -> None:
        """Let the model see one answer, behind up to four other prompts."""
        prior = PrefillModel()
        ahead = [chance.choice(PROMPTS) for _ in range(chance.randint(1, 5))]
        true = sum(prior.predict("books", *each) for each in ahead) * self.factor
        taken = self.besides + true / PREFILL_TIME_FRACTION * chance.lognormvariate(
            0, self.noise
        )
        believed = sum(model.predict("books", *each) for each in ahead)
        model.observe("books", believed, taken)


def learnt(engines: Engines, answers: int = ANSWERS, odd: int = 0) -> float:
    """Return the factor learnt, as a part of the true one; each odd answer is wild."""
    chance, model = random.Random(1), PrefillModel()
    for number in range(answers):
        engines.answer(model, chance)
        if odd and number % odd == 0:
            model.observe("books", 0.3, chance.choice((0.001, 30.0)))
    return model.slowdown("books") / engines.factor


def test_engines_of_another_speed_are_learnt_within_200_answers():
    """A new customer's engines read three times slower or faster than others do.

    Taken for faster than they are, they are sent more than they can read in time, and
    all first events come late; for slower, and callers are refused without need.
    """
    for factor in (1 / 3, 0.7, 1.0, 1.4, 3.0):
        assert abs(learnt(Engines(factor)) - 1) <= WITHIN


def test_odd_answers_change_little():
    """One answer of ten comes at once or after 30 s, from an engine that lies."""
    for factor in (1 / 3, 1.0, 3.0):
        assert abs(learnt(Engines(factor), odd=10) - 1) <= 2 * WITHIN


def test_engines_that_change_are_learnt_anew():
    """The engines of a service are replaced by slower ones."""
    chance, model = random.Random(2), PrefillModel()
    for factor in (0.5, 2.0):
        for _ in range(ANSWERS):
            Engines(factor).answer(model, chance)
        assert abs(model.slowdown("books") / factor - 1) <= WITHIN


def test_short_answers_tell_nothing_of_reading():
    """An idle engine answers short prompts in the time of the way there and back."""
    model = PrefillModel()
    for _ in range(ANSWERS):
        model.observe("books", 0.01, 0.08)
    assert model.slowdown("books") == 1.0


def test_services_are_learnt_apart():
    """One service has slow engines; prompts for another one must not be refused."""
    chance, model = random.Random(3), PrefillModel()
    for _ in range(ANSWERS):
        Engines(3.0).answer(model, chance)
    assert model.slowdown("letters") == 1.0
