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


async def send_request(fleet, service="models", kind="stream", name=NAME, cost=8.0):
    return await fleet.call("vm-0", "amber", service, kind, name, cost)


def set_faults(fleet, **faults):
    for endpoint in fleet.endpoints.values():
        for name, value in faults.items():
            setattr(endpoint.faults, name, value)


async def test_stream_dropped_at_any_byte_is_resumed(fleet):
    """An engine drops a stream at any byte. The caller must get the complete
    response, with no byte lost or repeated.
    """
    faults = EndpointFaults()
    for endpoint in fleet.endpoints.values():
        endpoint.faults = faults
    twice = [(position, 2) for position in (0, 5, 15)]
    for position, times in [(position, 1) for position in range(LENGTH)] + twice:
        faults.break_after = position
        faults.break_times = times
        outcome = await send_request(fleet, cost=0.0)
        assert outcome.is_correct, (position, times, outcome.sink.body)
        assert faults.break_times == 0
        # the retry budget refills
        await asyncio.sleep(2 * times)


async def test_stream_is_aborted_if_the_engine_does_not_resume(fleet):
    """An engine without support for resuming sends its response from the
    beginning. The caller must not get a part of it twice.
    """
    for endpoint in fleet.endpoints.values():
        endpoint.resumes = False
    set_faults(fleet, break_after=10)
    outcome = await send_request(fleet)
    assert outcome.sink.aborted and not outcome.sink.complete
    assert response_text(NAME, 0, 8).startswith(outcome.sink.body[:5])
    assert len(outcome.sink.body) == 10


async def test_incomplete_response_of_a_plain_service_is_aborted(fleet):
    """A plain service drops the response to a lookup midway. The caller already
    has a part of it, so the response must be aborted, not completed.
    """
    set_faults(fleet, break_after=5, break_times=1)
    outcome = await send_request(fleet, "ledger", "read", cost=0.1)
    assert outcome.sink.aborted and not outcome.sink.complete


async def test_lookup_is_retried_before_its_first_byte(fleet):
    """An endpoint runs a lookup and drops the connection before the first byte
    of the response. The lookup is retried, and the caller gets its response.
    """
    fleet.endpoints["ledger-0"].faults.break_after = 0
    outcome = await send_request(fleet, "ledger", "read", cost=0.1)
    assert outcome.is_correct
    assert runs_by_name(fleet)[NAME] <= 2


async def test_lookup_that_fails_everywhere_may_have_run(fleet):
    """All endpoints receive a lookup and drop it. The refusal must not state that
    the lookup did not run.
    """
    set_faults(fleet, break_after=0)
    outcome = await send_request(fleet, "ledger", "read", cost=0.1)
    assert outcome.fault.ran is Ran.UNKNOWN
    assert outcome.fault.kind is ErrorKind.ENDPOINT_FAILED


async def test_retries_stay_within_their_budget(fleet):
    """All endpoints fail for a long time. Three attempts at each lookup would
    keep the service down; the retry budget must prevent most of them.
    """
    set_faults(fleet, break_after=0)
    for index in range(60):
        await send_request(fleet, "ledger", "read", f"n{index}", cost=0.1)
    runs = sum(runs_by_name(fleet).values())
    assert 60 <= runs <= 60 * 1.1 + 10 + 30


async def test_hanging_endpoint_causes_a_timeout(fleet):
    """An endpoint accepts a lookup and does not respond. The caller must get a
    time-out at its deadline, which states that the lookup may have run.
    """
    set_faults(fleet, slow=1e6)
    outcome = await send_request(fleet, "ledger", "read", cost=0.1)
    assert (outcome.fault.kind, outcome.fault.ran) == (
        ErrorKind.ENDPOINT_TIMEOUT,
        Ran.UNKNOWN,
    )
    assert outcome.seconds <= 61


async def test_disconnecting_caller_releases_the_slot(fleet):
    """A caller disconnects in the middle of a stream. The engine's stream must be
    cancelled and its slot released.
    """
    call = asyncio.ensure_future(send_request(fleet, cost=800.0))
    await asyncio.sleep(2)
    call.cancel()
    await asyncio.sleep(1)
    assert sum(endpoint.running for endpoint in fleet.endpoints.values()) == 0
    assert fleet.nodes["vm-0"].ingress.running == 0


async def test_preempted_stream_resumes_at_its_position(fleet):
    """The dispatcher reclaims a slot in the middle of a stream, in favour of a
    lookup. The stream resumes later, and its caller gets the complete response.
    """
    call = asyncio.ensure_future(send_request(fleet, cost=400.0))
    await asyncio.sleep(2)
    (running,) = fleet.nodes["vm-0"].ingress._running.values()
    running.slot.preempted.set()
    await asyncio.sleep(0.1)
    assert sum(runs_by_name(fleet).values()) == 1
    outcome = await call
    assert outcome.is_correct
    assert sum(runs_by_name(fleet).values()) == 2


async def test_response_to_another_request_is_not_relayed(fleet):
    """An endpoint confuses its connections and sends the response to another
    request. The echoed identifier reveals this, and the response is not relayed.
    """

    def headers_of_another_request(response):
        return HTTPHeaders({"X-Request-Id": "another"})

    own = _VirtualResponse.headers
    _VirtualResponse.headers = property(headers_of_another_request)
    try:
        outcome = await send_request(fleet, "ledger", "read", cost=0.1)
    finally:
        _VirtualResponse.headers = own
    assert outcome.fault.kind is ErrorKind.ENDPOINT_GARBAGE
    assert not outcome.sink.started
