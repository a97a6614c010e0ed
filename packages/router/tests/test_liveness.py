"""Tests of which news replaces which."""

from hypothesis import given
from hypothesis import strategies as st
from teaselledge.process.liveness import REFUTE_BEATS, Change, MembershipView, State
from teaselledge_wire.gen.router.ttypes import Rumour


def rumour(beat, state, incarnation=1, leaving=False, vm="a"):
    return Rumour(vm, incarnation, beat, int(state), leaving, "z", "r", "a:1", "a:2")


def test_late_news_does_not_revive_the_dead():
    """A router dies at beat 100; a message saying that it lives at beat 101 was
    under way in a paused router and arrives afterwards. Work given to the dead
    would wait until it is declared dead again.
    """
    view = MembershipView()
    view.merge(rumour(100, State.ALIVE), 0.0)
    view.merge(rumour(100, State.DEAD), 1.0)
    assert view.merge(rumour(101, State.ALIVE), 2.0) is Change.NONE
    assert view.current("a") is None


def test_a_router_that_was_cut_off_is_revived_by_its_own_later_beat():
    view = MembershipView()
    view.merge(rumour(100, State.ALIVE), 0.0)
    view.merge(rumour(100, State.DEAD), 1.0)
    assert view.merge(rumour(100 + REFUTE_BEATS, State.ALIVE), 9.0) is Change.UPDATED
    assert view.current("a").state is State.ALIVE


def test_leaving_never_goes_back():
    """The word that a router leaves overtakes its earlier beats, which still say
    that it stays. If they won, callers would be sent to it until it closes.
    """
    view = MembershipView()
    view.merge(rumour(5, State.ALIVE), 0.0)
    view.merge(rumour(6, State.ALIVE, leaving=True), 1.0)
    view.merge(rumour(7, State.ALIVE, leaving=False), 2.0)
    assert view.current("a").member.leaving


def test_news_of_a_predecessor_does_not_hit_its_successor():
    """A router restarts empty under its old name while the others still spread
    that its earlier process is dead or leaves.
    """
    view = MembershipView()
    view.merge(rumour(50, State.ALIVE, incarnation=1), 0.0)
    view.merge(rumour(1, State.ALIVE, incarnation=2), 1.0)
    view.merge(rumour(50, State.DEAD, incarnation=1), 2.0)
    view.merge(rumour(51, State.ALIVE, incarnation=1, leaving=True), 3.0)
    current = view.current("a").member
    assert (current.incarnation, current.leaving) == (2, False)


def test_incarnations_kept_are_bounded():
    """A process that restarts in a loop would otherwise fill every router."""
    view = MembershipView()
    for incarnation in range(1, 100):
        view.merge(rumour(1, State.ALIVE, incarnation), 0.0)
    assert len(list(view.records())) <= 4
    assert view.current("a").member.incarnation == 99


NEWS = st.lists(
    st.builds(
        rumour,
        st.integers(0, 30),
        st.sampled_from(State),
        st.integers(1, 3),
        st.booleans(),
    ),
    max_size=12,
)


@given(NEWS)
def test_repeating_news_changes_nothing(news):
    view = MembershipView()
    for one in news:
        view.merge(one, 0.0)
        assert view.merge(one, 0.0) is not Change.UPDATED


@given(NEWS)
def test_beats_never_fall_and_the_dead_need_a_far_higher_beat(news):
    view = MembershipView()
    for one in news:
        old = view.find("a", one.incarnation)
        view.merge(one, 0.0)
        new = view.find("a", one.incarnation)
        if old is None or new is None:
            continue
        assert new.beat >= old.beat
        assert new.member.leaving or not old.member.leaving
        if old.state is State.DEAD and new.state is not State.DEAD:
            assert new.beat >= old.beat + REFUTE_BEATS
