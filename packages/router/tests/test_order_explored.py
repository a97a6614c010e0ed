"""Every interleaving of small numbers of order attempts, on the real code."""

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
    """Two routers hold the same order. Any of them is paused anywhere, one of
    their writes takes effect and its answer is lost, and one of them is
    killed. The order must not run twice, and nobody may be told that it did
    not run when it did.
    """
    assert explored("lost, crash", {LOST: 1, CRASH: 1}).states > 450


def test_two_attempts_with_a_late_write():
    """A write of one router lands at any time after its answer was lost, or
    never, while the other router goes on.
    """
    assert explored("late, crash", {LATE: 1, CRASH: 1}).states > 450


def test_two_attempts_with_a_failing_endpoint_and_store():
    """The endpoint refuses one connection, runs an order and drops another,
    and the store refuses a call.
    """
    assert explored("endpoint", {DOWN: 1, DROP: 1, REFUSED: 1}).states > 450


def test_two_attempts_while_time_passes():
    """The store takes so long that refusals are due before it answers."""
    assert explored("wait", {WAIT: 1, DOWN: 1}).states > 500


def test_refusal_beside_another_attempt():
    """One router finds no slot and refuses the order, while its twin waits on
    another router. Either nothing runs, or the caller is not told so.
    """
    assert explored("refusal", {LOST: 1, CRASH: 1}, full=("a",)).states > 250


class UnconditionalJournal(Journal):
    """Writes whatever the row holds."""

    async def write(self, row, record, expect, indexed=False):
        """Write without a condition."""
        return await super().write(row, record, ANY, indexed)


def test_unconditional_journal_is_caught():
    """A journal that writes without its condition lets two routers send the
    same order; the exploration has to see it.
    """
    try:
        explored("unconditional", {}, UnconditionalJournal)
    except ExplorationError as error:
        assert "ran 2 times" in str(error)
        return
    raise AssertionError("the broken journal passed")


def test_unmarked_refusal_is_caught():
    """A router that refuses an order without marking its row says that it did
    not run, while the other router goes on to send it.
    """
    release = RecordClaim.release

    async def pretend(attempt):
        held = await attempt.read()
        return held.map(lambda found: (ClaimStatus.RELEASED, found[1]))

    RecordClaim.release = pretend
    try:
        explored("unmarked", {}, full=("a",))
    except ExplorationError as error:
        assert "told that it did not run" in str(error)
        return
    finally:
        RecordClaim.release = release
    raise AssertionError("the broken refusal passed")
