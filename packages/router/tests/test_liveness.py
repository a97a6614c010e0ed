"""Tests of merging member reports into the view."""

from hypothesis import given
from hypothesis import strategies as st
from teaselledge.process.liveness import REFUTE_BEATS, Change, MembershipView, State
from teaselledge_wire.gen.router.ttypes import Rumour


def report(beat, state, incarnation=1, leaving=False, vm="a"):
    return Rumour(vm, incarnation, beat, int(state), leaving, "z", "r", "a:1", "a:2")


def test_late_report_does_not_revive_a_dead_router():
    """A router dies at beat 100; a paused router delays a report that it is alive
    at beat 101, which arrives afterwards. Work sent to the dead router would wait
    until it is declared dead again.
    """
    view = MembershipView()
    view.merge(report(100, State.ALIVE), 0.0)
    view.merge(report(100, State.DEAD), 1.0)
    assert view.merge(report(101, State.ALIVE), 2.0) is Change.NONE
    assert view.current("a") is None


def test_router_that_was_cut_off_is_revived_by_its_own_later_beat():
    view = MembershipView()
    view.merge(report(100, State.ALIVE), 0.0)
    view.merge(report(100, State.DEAD), 1.0)
    assert view.merge(report(100 + REFUTE_BEATS, State.ALIVE), 9.0) is Change.UPDATED
    assert view.current("a").state is State.ALIVE


def test_leaving_is_never_reset():
    """The report that a router leaves overtakes its earlier heartbeats, which don't
    mark it as leaving. If they won, callers would be sent there until it closes.
    """
    view = MembershipView()
    view.merge(report(5, State.ALIVE), 0.0)
    view.merge(report(6, State.ALIVE, leaving=True), 1.0)
    view.merge(report(7, State.ALIVE, leaving=False), 2.0)
    assert view.current("a").member.leaving


def test_report_on_a_predecessor_does_not_affect_its_successor():
    """A router restarts under its old name while the others still report its
    earlier process as dead or leaving.
    """
    view = MembershipView()
    view.merge(report(50, State.ALIVE, incarnation=1), 0.0)
    view.merge(report(1, State.ALIVE, incarnation=2), 1.0)
    view.merge(report(50, State.DEAD, incarnation=1), 2.0)
    view.merge(report(51, State.ALIVE, incarnation=1, leaving=True), 3.0)
    current = view.current("a").member
    assert (current.incarnation, current.leaving) == (2, False)


def test_retained_incarnations_are_limited():
    """A process that restarts in a loop would otherwise fill the routers' memory."""
    view = MembershipView()
    for incarnation in range(1, 100):
        view.merge(report(1, State.ALIVE, incarnation), 0.0)
    assert len(list(view.records())) <= 4
    assert view.current("a").member.incarnation == 99


REPORTS = st.lists(
    st.builds(
        report,
        st.integers(0, 30),
        st.sampled_from(State),
        st.integers(1, 3),
        st.booleans(),
    ),
    max_size=12,
)


@given(REPORTS)
def test_repeated_report_changes_nothing(reports):
    view = MembershipView()
    for each in reports:
        view.merge(each, 0.0)
        assert view.merge(each, 0.0) is not Change.UPDATED


@given(REPORTS)
def test_beats_never_fall_and_revival_needs_the_minimum_lead(reports):
    view = MembershipView()
    for each in reports:
        old = view.find("a", each.incarnation)
        view.merge(each, 0.0)
        new = view.find("a", each.incarnation)
        if old is None or new is None:
            continue
        assert new.beat >= old.beat
        assert new.member.leaving or not old.member.leaving
        if old.state is State.DEAD and new.state is not State.DEAD:
            assert new.beat >= old.beat + REFUTE_BEATS
