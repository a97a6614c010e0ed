"""Random runs of orders under faults, with fixed seeds."""

import asyncio

from teaselledge.platform import ANY
from teaselledge.request.journal import Journal
from teaselledge_standins.virtual.clock import virtual_loop
from teaselledge_standins.virtual.naive import NaiveGate
from teaselledge_standins.virtual.outcomes import run_outcomes


def run_seed(*arguments):
    with asyncio.Runner(loop_factory=virtual_loop) as runner:
        return runner.run(run_outcomes(*arguments))


def check_seed(seed):
    verdict = run_seed(seed)
    assert verdict.violations == 0, verdict
    assert verdict.answered > verdict.orders / 3, verdict


def test_faults_of_seed_1_break_no_promise():
    """Two faults at a time, three times over, while callers lose patience and
    ask other routers again.
    """
    check_seed(1)


def test_faults_of_seed_4_break_no_promise():
    """As above, with other faults."""
    check_seed(4)


def test_faults_of_seed_6_break_no_promise():
    """As above, with other faults."""
    check_seed(6)


def test_naive_desk_is_caught():
    """A desk that sends again on errors and journals after the fact runs
    orders twice and says "not run" of orders that ran.
    """
    verdict = run_seed(1, NaiveGate.install)
    assert verdict.twice and verdict.false_no, verdict


def test_journal_without_conditions_is_caught():
    """A journal whose inserts have no condition lets a repeated key run again;
    the random run has to see it as the exploration does.
    """

    async def write(journal, row, record, expect, indexed=False):
        return await conditional(journal, row, record, ANY, indexed)

    conditional = Journal.write
    Journal.write = write
    try:
        verdict = run_seed(1)
    finally:
        Journal.write = conditional
    assert verdict.twice, verdict
