"""Tests that the fairness benchmark detects unfair policies."""

from teaselledge_standins.virtual.plans import get_plan_by_name

from bench.fairness import bound_of, shuffled
from bench.measure import Ground, Job, idle_waits, largest_gap, utilisation, waits
from bench.naive import get_policy_by_name, simulate
from bench.trace import get_load_by_name, with_kinds

SECONDS = 40.0


def ground(jobs, progress=(), slots=1, start=0.0, end=10.0):
    return Ground(
        jobs,
        list(progress),
        {"amber": 1.0, "birch": 2.0},
        {"e": slots},
        {"z": "r", "far": "s", "e": "r"},
        start,
        end,
    )


def job(name, organisation, issued, ended, run=None, zone="z"):
    runs = [("e", *run)] if run else []
    return Job(name, organisation, "work", zone, 1.0, issued, ended, runs)


def policy_gap(load_name, policy_name):
    load = get_load_by_name(load_name)
    plan = with_kinds(get_plan_by_name("sudski-trag"), load)
    sources = shuffled(load.sources(plan, 1), 1)
    policy = get_policy_by_name(policy_name)
    result = simulate(plan, sources, SECONDS, policy, warm=4.0)
    return largest_gap(result), bound_of(plan, result, 0.0)


def test_first_come_first_served_breaks_the_bound_of_the_gap():
    """One organisation floods the fleet, and requests are served in order of arrival.

    The other organisations wait behind its requests; the gap must show this.
    """
    gap, bound = policy_gap("flood", "first-come")
    assert gap > bound


def test_least_served_first_keeps_the_bound_of_the_gap():
    gap, bound = policy_gap("flood", "least-served")
    assert gap < bound / 10


def test_gap_counts_while_both_are_backlogged():
    jobs = [job("a", "amber", 0, 10), job("b", "birch", 2, 10)]
    progress = [(1.0, "amber", 50.0), (3.0, "amber", 3.0), (4.0, "birch", 10.0)]
    # The 50 are served before both are backlogged; birch's share is 2.
    assert largest_gap(ground(jobs, progress)) == 3.0


def test_gap_starts_again_after_a_pause():
    jobs = [
        job("a", "amber", 0, 10),
        job("b1", "birch", 0, 9, run=(4.0, 5.0)),
        job("b2", "birch", 6, 10),
    ]
    progress = [(1.0, "amber", 5.0), (7.0, "amber", 4.0)]
    assert largest_gap(ground(jobs, progress)) == 5.0


def test_idle_slot_is_detected_while_a_request_waits():
    """A request waits three seconds while the only slot is free."""
    one = ground([job("a", "amber", 1, 6, run=(4.0, 6.0))])
    assert idle_waits(one, near=True) == [3.0]
    assert waits(one, "work") == [3.0]
    assert utilisation(one) == 0.0


def test_requests_of_another_region_count_only_across_regions():
    one = ground([job("a", "amber", 1, 6, run=(4.0, 6.0), zone="far")])
    assert idle_waits(one, near=True) == []
    assert idle_waits(one, near=False) == [3.0]


def test_busy_slot_is_not_idle():
    jobs = [
        job("a", "amber", 0, 5, run=(0.0, 5.0)),
        job("b", "birch", 1, 8, run=(5.0, 8.0)),
    ]
    assert max(idle_waits(ground(jobs), near=True), default=0.0) == 0.0
    assert utilisation(ground(jobs)) == 1.0
