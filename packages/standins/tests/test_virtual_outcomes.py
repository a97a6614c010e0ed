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
    report = run_seed(seed)
    assert report.violations == 0, report
    assert report.answered > report.orders / 3, report


def test_no_violations_with_faults_of_seed_1():
    """Three pairs of simultaneous faults, while callers time out and retry at other
    routers.
    """
    check_seed(1)


def test_no_violations_with_faults_of_seed_4():
    """As above, with other faults."""
    check_seed(4)


def test_no_violations_with_faults_of_seed_6():
    """As above, with other faults."""
    check_seed(6)


def test_naive_executor_is_detected():
    """An executor that retries on errors and writes the journal afterwards executes
    orders twice, and reports executed orders as not executed.
    """
    report = run_seed(1, NaiveGate.install)
    assert report.twice and report.false_no, report


def test_journal_without_conditions_is_detected():
    """A journal that inserts without a condition lets a repeated key execute again.
    The random run must detect it, as the exhaustive exploration does.
    """

    async def write(journal, row, record, expect, indexed=False):
        return await conditional(journal, row, record, ANY, indexed)

    conditional = Journal.write
    Journal.write = write
    try:
        report = run_seed(1)
    finally:
        Journal.write = conditional
    assert report.twice, report
