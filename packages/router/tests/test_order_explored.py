"""Tests of order attempts under every interleaving of their steps."""

from teaselledge.platform import ANY
from teaselledge.request.journal import ClaimStatus, Journal, RecordClaim
from teaselledge_standins.explore import (
    CRASH,
    LATE,
    LOST,
    REFUSED,
    WAIT,
    ExplorationError,
    explore,
)
from teaselledge_standins.exploredorders import (
    DOWN,
    DROP,
    check_order,
    order_attempts,
)

TWO = ("a", "b")


def explored(name, budget, journal_class=Journal, full=()):
    setup = order_attempts(TWO, journal_class, full)
    found = explore(setup, check_order, budget)
    print(
        f"{name}: {found.states} states, {found.runs} runs, {found.completed_runs} ends"
    )
    return found


def test_two_attempts_with_a_lost_answer_and_a_crash():
    """Two routers get the same order. Either may be paused at any step, one
    write takes effect but its response is lost, and one router is killed. The
    order must not run twice, nor be reported as not run if it ran.
    """
    assert explored("lost, crash", {LOST: 1, CRASH: 1}).states > 450


def test_two_attempts_with_a_late_write():
    """The response to a write of one router is lost; the write takes effect at
    any later time, or never, while the other router continues.
    """
    assert explored("late, crash", {LATE: 1, CRASH: 1}).states > 450


def test_two_attempts_with_a_failing_endpoint_and_store():
    """The endpoint refuses one connection and drops another after it ran the
    order, and the store refuses a call.
    """
    assert explored("endpoint", {DOWN: 1, DROP: 1, REFUSED: 1}).states > 450


def test_two_attempts_while_time_passes():
    """The store is so slow that refusals are due before it responds."""
    assert explored("wait", {WAIT: 1, DOWN: 1}).states > 500


def test_refusal_during_another_attempt():
    """One router gets no slot and refuses the order while another router has an
    attempt at it. The refusal must not state that the order did not run if it runs.
    """
    assert explored("refusal", {LOST: 1, CRASH: 1}, full=("a",)).states > 250


class UnconditionalJournal(Journal):
    """Journal whose writes do not check the version of the row."""

    async def write(self, row, record, expect, indexed=False):
        """Write without a condition."""
        return await super().write(row, record, ANY, indexed)


def test_unconditional_journal_is_detected():
    """Unconditional writes let two routers send the same order. The exploration
    must detect this.
    """
    try:
        explored("unconditional", {}, UnconditionalJournal)
    except ExplorationError as error:
        assert "ran 2 times" in str(error)
        return
    raise AssertionError("the exploration missed the unconditional writes")


def test_refusal_without_a_release_is_detected():
    """A router refuses an order without writing the released record, and reports
    it as not run while another router sends it. The exploration must detect this.
    """
    release = RecordClaim.release

    async def skip_release(attempt):
        held = await attempt.read()
        return held.map(lambda found: (ClaimStatus.RELEASED, found[1]))

    RecordClaim.release = skip_release
    try:
        explored("unmarked", {}, full=("a",))
    except ExplorationError as error:
        assert "told that it did not run" in str(error)
        return
    finally:
        RecordClaim.release = release
    raise AssertionError("the exploration missed the refusal without a release")
