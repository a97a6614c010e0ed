"""Tests of retries and resumed streams, on a virtual fleet."""

import asyncio

from teaselledge.errors import ErrorKind, Ran
from teaselledge_standins.faults import EndpointFaults
from teaselledge_standins.virtual.endpoint import (
    CHUNKS,
    _VirtualResponse,
    response_text,
)
from teaselledge_standins.virtual.orders import order_fleet, runs_by_name
from tornado.httputil import HTTPHeaders

VIRTUAL_CLOCK = True

fleet = order_fleet

NAME = "s"
LENGTH = sum(len(response_text(NAME, part)) for part in range(CHUNKS))


async def ask(fleet, service="models", kind="stream", name=NAME, cost=8.0):
    return await fleet.call("vm-0", "amber", service, kind, name, cost)


def set_faults(fleet, **faults):
    for endpoint in fleet.endpoints.values():
        for name, value in faults.items():
            setattr(endpoint.faults, name, value)


async def test_stream_that_breaks_anywhere_is_resumed(fleet):
    """An engine drops a stream at some byte. Whichever it is, the caller gets
    the whole answer, with no byte lost and none twice.
    """
    faults = EndpointFaults()
    for endpoint in fleet.endpoints.values():
        endpoint.faults = faults
    twice = [(position, 2) for position in (0, 5, 15)]
    for position, times in [(position, 1) for position in range(LENGTH)] + twice:
        faults.break_after = position
        faults.break_times = times
        outcome = await ask(fleet, cost=0.0)
        assert outcome.is_correct, (position, times, outcome.sink.body)
        assert faults.break_times == 0
        # the retry budget fills up again
        await asyncio.sleep(2 * times)


async def test_stream_is_broken_visibly_where_the_engine_starts_again(fleet):
    """An engine that does not know how to resume sends its answer from the
    beginning. The caller must not get a part of it twice.
    """
    for endpoint in fleet.endpoints.values():
        endpoint.resumes = False
    set_faults(fleet, break_after=10)
    outcome = await ask(fleet)
    assert outcome.sink.aborted and not outcome.sink.complete
    assert response_text(NAME, 0, 8).startswith(outcome.sink.body[:5])
    assert len(outcome.sink.body) == 10


async def test_broken_answer_of_a_plain_service_is_visibly_broken(fleet):
    """A plain service drops a lookup's answer midway. What has reached the
    caller can't be taken back, so that the answer ends broken, not whole.
    """
    set_faults(fleet, break_after=5, break_times=1)
    outcome = await ask(fleet, "ledger", "read", cost=0.1)
    assert outcome.sink.aborted and not outcome.sink.complete


async def test_lookup_goes_elsewhere_before_its_first_byte(fleet):
    """An endpoint runs a lookup and drops the connection before the first
    byte of the answer. The caller notices nothing.
    """
    fleet.endpoints["ledger-0"].faults.break_after = 0
    outcome = await ask(fleet, "ledger", "read", cost=0.1)
    assert outcome.is_correct
    assert runs_by_name(fleet)[NAME] <= 2


async def test_lookup_that_fails_everywhere_may_have_run(fleet):
    """All endpoints drop a lookup. The refusal doesn't say that it did not
    run, since the endpoints got it.
    """
    set_faults(fleet, break_after=0)
    outcome = await ask(fleet, "ledger", "read", cost=0.1)
    assert outcome.fault.ran is Ran.UNKNOWN
    assert outcome.fault.kind is ErrorKind.ENDPOINT_FAILED


async def test_retries_stay_within_their_budget(fleet):
    """All endpoints fail for long. Each of many lookups would be sent three
    times and keep the service down; the budget allows far fewer.
    """
    set_faults(fleet, break_after=0)
    for index in range(60):
        await ask(fleet, "ledger", "read", f"n{index}", cost=0.1)
    runs = sum(runs_by_name(fleet).values())
    assert 60 <= runs <= 60 * 1.1 + 10 + 30


async def test_endpoint_that_hangs_is_a_timeout(fleet):
    """An endpoint takes a lookup and says nothing for hours. The caller hears
    at its deadline, and that the lookup may have run.
    """
    set_faults(fleet, slow=1e6)
    outcome = await ask(fleet, "ledger", "read", cost=0.1)
    assert (outcome.fault.kind, outcome.fault.ran) == (
        ErrorKind.ENDPOINT_TIMEOUT,
        Ran.UNKNOWN,
    )
    assert outcome.seconds <= 61


async def test_caller_that_goes_away_frees_the_slot(fleet):
    """A caller hangs up in the middle of a stream. The engine's stream is
    cancelled, so that its slot can serve others.
    """
    call = asyncio.ensure_future(ask(fleet, cost=800.0))
    await asyncio.sleep(2)
    call.cancel()
    await asyncio.sleep(1)
    assert sum(endpoint.running for endpoint in fleet.endpoints.values()) == 0
    assert fleet.nodes["vm-0"].ingress.running == 0


async def test_preempted_stream_goes_on_where_it_was(fleet):
    """The dispatcher takes a slot back in the middle of a stream, to let a
    lookup in. The stream waits, goes on, and its caller gets the whole answer.
    """
    call = asyncio.ensure_future(ask(fleet, cost=400.0))
    await asyncio.sleep(2)
    (running,) = fleet.nodes["vm-0"].ingress._running.values()
    running.granted.preempted.set()
    await asyncio.sleep(0.1)
    assert sum(runs_by_name(fleet).values()) == 1
    outcome = await call
    assert outcome.is_correct
    assert sum(runs_by_name(fleet).values()) == 2


async def test_answer_of_another_request_is_not_passed_on(fleet):
    """An endpoint mixes up its connections and answers with what belongs to
    another request. The identifier that it echoes shows it; the caller gets
    its own answer from elsewhere, or none.
    """

    def crossed(answer):
        return HTTPHeaders({"X-Request-Id": "another"})

    own = _VirtualResponse.headers
    _VirtualResponse.headers = property(crossed)
    try:
        outcome = await ask(fleet, "ledger", "read", cost=0.1)
    finally:
        _VirtualResponse.headers = own
    assert outcome.fault.kind is ErrorKind.ENDPOINT_GARBAGE
    assert not outcome.sink.started
