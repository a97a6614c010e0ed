"""Tests of the usage accounts."""

from hypothesis import given
from hypothesis import strategies as st
from teaselledge.process.standing import MAX_LEAD_FACTOR, UsageAccounts
from teaselledge.version.document import Organisation


def make(max_lead=100.0, **shares):
    usage = UsageAccounts(max_lead_floor=max_lead)
    named = shares or {"amber": 1.0, "birch": 1.0, "cedar": 2.0}
    usage.set_organisations(
        {n: Organisation(share, (), ()) for n, share in named.items()}
    )
    return usage


def test_usage_is_normalised_by_share():
    usage = make()
    usage.charge("amber", 10)
    usage.charge("cedar", 10)
    assert (
        usage.normalised_usage("amber"),
        usage.normalised_usage("cedar"),
    ) == (10, 5)


def test_idle_organisation_accumulates_no_credit():
    """An organisation is idle while others are served, then sends many requests.
    With its old usage it would get every slot until it has caught up.
    """
    usage = make()
    usage.add_local_waiting("amber", 1)
    usage.charge("amber", 1000)
    usage.add_local_waiting("birch", 1)
    assert usage.normalised_usage("birch") == usage.normalised_usage("amber") == 1000


def test_use_of_idle_capacity_does_not_count_as_a_lead():
    """One organisation uses the whole service while no other has requests. When
    the others send requests, it must not wait until they have caught up.
    """
    usage = make()
    for _ in range(100):
        usage.add_local_waiting("amber", 1)
        usage.record_start("amber")
        usage.charge("amber", 50)
        usage.add_local_waiting("amber", -1)
    usage.add_local_waiting("birch", 1)
    usage.add_local_waiting("amber", 1)
    assert usage.normalised_usage("amber") - usage.normalised_usage("birch") <= 50


def test_lead_after_a_healed_partition_is_limited():
    """During a network partition of an hour other dispatchers served an
    organisation, and report all of it at once. The organisation must not starve
    until the others have caught up.
    """
    usage = make(max_lead=100.0)
    usage.add_local_waiting("amber", 1)
    usage.add_local_waiting("birch", 1)
    usage.add_remote_usage("amber", 1e6)
    assert usage.normalised_usage("amber") - usage.normalised_usage("birch") == 100
    usage.charge("amber", 10)
    assert usage.normalised_usage("amber") - usage.normalised_usage("birch") == 110
    for _ in range(100):
        usage.add_remote_usage("amber", 1e6)
    assert (
        usage.normalised_usage("amber") - usage.normalised_usage("birch")
        == MAX_LEAD_FACTOR * 100
    )


def test_waiting_at_another_dispatcher_counts_as_backlogged():
    usage = make()
    usage.add_remote_backlog("amber", 1)
    usage.charge("amber", 30)
    usage.add_local_waiting("birch", 1)
    assert usage.normalised_usage("birch") == 30
    assert list(usage.backlogged) == ["amber", "birch"]


def test_organisation_that_left_the_document_has_no_account():
    usage = make()
    usage.add_local_waiting("birch", 1)
    usage.set_organisations({"amber": Organisation(2.0, (), ())})
    usage.charge("birch", 5)
    usage.add_remote_usage("birch", 5)
    usage.add_local_waiting("birch", -1)
    assert "birch" not in usage
    assert list(usage.backlogged) == []


MOVES = st.lists(
    st.tuples(
        st.sampled_from(["amber", "birch", "cedar"]),
        st.sampled_from(["charge", "grow", "wait", "leave", "move"]),
        st.floats(0, 1e4),
    )
)


@given(MOVES)
def test_remote_usage_never_exceeds_the_maximum_lead(moves):
    usage = make(max_lead=100.0)
    charged = dict.fromkeys(["amber", "birch", "cedar"], 0.0)
    for name, what, value in moves:
        before = usage.normalised_usage(name)
        if what == "charge":
            usage.charge(name, value)
            charged[name] += value
        elif what == "grow":
            usage.add_remote_usage(name, value)
        elif what == "move":
            usage.blend_usage(name, value, 0.5)
        else:
            change = 1 if what == "wait" else -1
            usage.add_local_waiting(name, change)
        order = list(usage.backlogged)
        assert order == sorted(order, key=lambda n: (usage.normalised_usage(n), n))
        if what == "grow" and order:
            lowest = min(usage.normalised_usage(n) for n in order)
            highest = lowest + MAX_LEAD_FACTOR * usage.max_lead
            assert usage.normalised_usage(name) <= max(before, highest) + 1e-6
            assert usage.normalised_usage(name) <= before + usage.max_lead + 1e-6
    for name, total in charged.items():
        assert abs(usage.local_usage(name) - total) < 1e-6
