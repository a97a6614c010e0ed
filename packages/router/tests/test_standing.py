"""Tests of the standings."""

from hypothesis import given
from hypothesis import strategies as st
from teaselledge.process.standing import MAX_LEAD_FACTOR, UsageAccounts
from teaselledge.version.document import Organisation


def make(debt=100.0, **shares):
    standings = UsageAccounts(max_lead_floor=debt)
    named = shares or {"amber": 1.0, "birch": 1.0, "cedar": 2.0}
    standings.set_organisations(
        {n: Organisation(share, (), ()) for n, share in named.items()}
    )
    return standings


def test_service_counts_by_share():
    standings = make()
    standings.charge("amber", 10)
    standings.charge("cedar", 10)
    assert (
        standings.normalised_usage("amber"),
        standings.normalised_usage("cedar"),
    ) == (10, 5)


def test_idleness_earns_no_credit():
    """An organisation stays away while others are served, and returns with a
    flood. With its old standing it would take every slot until it has caught up.
    """
    standings = make()
    standings.add_local_waiting("amber", 1)
    standings.charge("amber", 1000)
    standings.add_local_waiting("birch", 1)
    assert (
        standings.normalised_usage("birch")
        == standings.normalised_usage("amber")
        == 1000
    )


def test_use_of_idle_capacity_makes_no_debt():
    """One organisation uses the whole service while nobody else has work. When
    the others come it must not wait until they have caught up.
    """
    standings = make()
    for _ in range(100):
        standings.add_local_waiting("amber", 1)
        standings.record_start("amber")
        standings.charge("amber", 50)
        standings.add_local_waiting("amber", -1)
    standings.add_local_waiting("birch", 1)
    standings.add_local_waiting("amber", 1)
    assert (
        standings.normalised_usage("amber") - standings.normalised_usage("birch") <= 50
    )


def test_debt_after_a_healed_split_is_bounded():
    """For an hour another part of the fleet served one organisation, and all of
    it is reported at once. The organisation must not starve to pay it back.
    """
    standings = make(debt=100.0)
    standings.add_local_waiting("amber", 1)
    standings.add_local_waiting("birch", 1)
    standings.add_remote_usage("amber", 1e6)
    assert (
        standings.normalised_usage("amber") - standings.normalised_usage("birch") == 100
    )
    standings.charge("amber", 10)
    assert (
        standings.normalised_usage("amber") - standings.normalised_usage("birch") == 110
    )
    for _ in range(100):
        standings.add_remote_usage("amber", 1e6)
    assert (
        standings.normalised_usage("amber") - standings.normalised_usage("birch")
        == MAX_LEAD_FACTOR * 100
    )


def test_waiting_elsewhere_counts_as_backlogged():
    standings = make()
    standings.add_remote_backlog("amber", 1)
    standings.charge("amber", 30)
    standings.add_local_waiting("birch", 1)
    assert standings.normalised_usage("birch") == 30
    assert list(standings.backlogged) == ["amber", "birch"]


def test_organisation_that_left_the_document_has_no_account():
    standings = make()
    standings.add_local_waiting("birch", 1)
    standings.set_organisations({"amber": Organisation(2.0, (), ())})
    standings.charge("birch", 5)
    standings.add_remote_usage("birch", 5)
    standings.add_local_waiting("birch", -1)
    assert "birch" not in standings
    assert list(standings.backlogged) == []


MOVES = st.lists(
    st.tuples(
        st.sampled_from(["amber", "birch", "cedar"]),
        st.sampled_from(["charge", "grow", "wait", "leave", "move"]),
        st.floats(0, 1e4),
    )
)


@given(MOVES)
def test_no_step_leaves_anyone_far_behind(moves):
    standings = make(debt=100.0)
    charged = dict.fromkeys(["amber", "birch", "cedar"], 0.0)
    for name, what, value in moves:
        before = standings.normalised_usage(name)
        if what == "charge":
            standings.charge(name, value)
            charged[name] += value
        elif what == "grow":
            standings.add_remote_usage(name, value)
        elif what == "move":
            standings.blend_usage(name, value, 0.5)
        else:
            change = 1 if what == "wait" else -1
            standings.add_local_waiting(name, change)
        order = list(standings.backlogged)
        assert order == sorted(order, key=lambda n: (standings.normalised_usage(n), n))
        if what == "grow" and order:
            lowest = min(standings.normalised_usage(n) for n in order)
            most = lowest + MAX_LEAD_FACTOR * standings.max_lead
            assert standings.normalised_usage(name) <= max(before, most) + 1e-6
            assert (
                standings.normalised_usage(name) <= before + standings.max_lead + 1e-6
            )
    for name, total in charged.items():
        assert abs(standings.local_usage(name) - total) < 1e-6
