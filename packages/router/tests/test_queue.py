"""Tests of the waiting queue and of the sorting of organisations."""

from hypothesis import given
from hypothesis import strategies as st
from teaselledge.process.placement import PeerDispatcher
from teaselledge.process.queue import (
    AGEING_SECONDS,
    MAX_OVERTAKES,
    QueuedRequest,
    RequestKey,
    WaitingQueue,
)
from teaselledge.process.standing import SortedByValue, UsageAccounts
from teaselledge.version.document import Organisation
from teaselledge_wire.gen.router.ttypes import Register

NAMES = ["amber", "birch", "cedar", "delta"]


def make(shares=(1.0, 1.0, 2.0, 4.0)):
    usage = UsageAccounts(max_lead_floor=1e9)
    entries = zip(NAMES, shares, strict=True)
    usage.set_organisations(
        {name: Organisation(share, (), ()) for name, share in entries}
    )
    return usage, WaitingQueue(usage)


def entry(
    number, name, interactive=False, arrived=0.0, deadline=1e6, fetched_from=None
):
    body = Register(number, name, "kind", 1.0, 0.0, deadline, 0, None, True, [])
    key = RequestKey("vm", 1, number)
    return_at = 1.0 if fetched_from else 0.0
    return QueuedRequest(
        key, body, interactive, arrived, deadline, fetched_from, return_at
    )


class NaiveQueue:
    """Reference model: a plain list that is sorted at each selection."""

    def __init__(self, usage):
        self.usage = usage
        self.entries = []
        self.overtakes = dict.fromkeys(NAMES, 0)

    def first(self, now):
        """Return the request that should start next."""
        if not self.entries:
            return None
        names = {e.organisation for e in self.entries}
        name = min(names, key=lambda n: (self.usage.normalised_usage(n), n))
        own = [e for e in self.entries if e.organisation == name]
        own.sort(key=lambda e: (e.arrived, e.key.request))
        others = [e for e in own if not e.interactive]
        aged = others and now - others[0].arrived >= AGEING_SECONDS
        if aged and self.overtakes[name] >= MAX_OVERTAKES:
            return others[0]
        return next((e for e in own if e.interactive), own[0])

    def start(self, started):
        """Remove a request that starts."""
        self.entries.remove(started)
        name = started.organisation
        if not started.interactive:
            self.overtakes[name] = 0
        elif any(e.organisation == name and not e.interactive for e in self.entries):
            self.overtakes[name] += 1


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.sampled_from(NAMES), st.booleans()),
        st.tuples(st.just("start"), st.floats(0, 50), st.just(True)),
        st.tuples(st.just("withdraw"), st.integers(0, 40), st.just(True)),
        st.tuples(st.just("pass"), st.floats(0, 5), st.just(True)),
    ),
    max_size=120,
)


@given(STEPS)
def test_queue_agrees_with_a_sorted_list(steps):
    usage, queue = make()
    naive = NaiveQueue(usage)
    now, number, started, withdrawn = 0.0, 0, [], set()
    for what, value, interactive in steps:
        if what == "add":
            number += 1
            added = entry(number, value, interactive, now)
            assert queue.add(added)
            assert not queue.add(added)
            naive.entries.append(added)
        elif what == "pass":
            now += value
        elif what == "withdraw":
            removed = queue.remove(RequestKey("vm", 1, value))
            expected = [e for e in naive.entries if e.key.request == value]
            assert [removed] == (expected or [None])
            naive.entries = [e for e in naive.entries if e not in expected]
            withdrawn |= {e.key for e in expected}
        else:
            first = next(queue.candidates(now), None)
            assert first == naive.first(now)
            if first is None:
                continue
            assert queue.remove_started(first.key) == first
            naive.start(first)
            started.append(first.key)
            usage.charge(first.organisation, value)
    waiting = {e.key for e in queue}
    # no request is lost or started twice
    assert len(started) == len(set(started))
    assert len(waiting) + len(started) + len(withdrawn) == number
    for name in NAMES:
        assert queue.count_of(name) == sum(e.organisation == name for e in queue)
        assert usage.local_waiting(name) == queue.count_of(name)


@given(st.lists(st.tuples(st.sampled_from("abcdef"), st.none() | st.floats(-9, 9))))
def test_sorted_by_value_agrees_with_sorting(steps):
    order, naive = SortedByValue(), {}
    for name, value in steps:
        if value is None:
            order.drop(name)
            naive.pop(name, None)
        else:
            order.put(name, value)
            naive[name] = value
        assert list(order) == sorted(naive, key=lambda n: (naive[n], n))
        assert order.lowest == min(naive.values(), default=None)


def test_aged_request_starts_despite_a_continuous_flow_of_lookups():
    """An organisation sends lookups faster than its share allows them to run.
    Its summary must still start: once aged, after a fixed number of lookups.
    """
    _, queue = make()
    summary = entry(1, "amber", interactive=False, arrived=0.0)
    queue.add(summary)
    now, passed = AGEING_SECONDS, 0
    for number in range(2, 100):
        queue.add(entry(number, "amber", interactive=True, arrived=now))
        first = next(queue.candidates(now))
        queue.remove_started(first.key)
        if first == summary:
            break
        passed += 1
    assert passed == MAX_OVERTAKES


def test_expired_requests_leave_the_queue():
    """The deadline of a waiting request or the time of its transfer passes. It
    must not be granted when no caller waits for it or another dispatcher
    queues it again.
    """
    usage, queue = make()
    queue.add(entry(1, "amber", deadline=5.0))
    queue.add(entry(2, "amber", fetched_from=PeerDispatcher("other", "zone")))
    queue.add(entry(3, "amber"))
    assert queue.fetched_count == 1
    assert [e.key.request for e in queue.expire(1.0)] == [2]
    assert [e.key.request for e in queue.expire(5.0)] == [1]
    assert [e.key.request for e in queue] == [3]
    assert (queue.fetched_count, usage.local_waiting("amber")) == (0, 1)


def test_removed_requests_do_not_accumulate_in_the_heap():
    """Many requests with late deadlines start or are withdrawn. The memory of the
    queue must depend on the requests that wait, not on all that ever waited.
    """
    _, queue = make()
    for number in range(1, 10_000):
        queue.add(entry(number, "amber"))
        queue.remove(RequestKey("vm", 1, number))
    assert len(queue._deadlines) < 1100
