"""Tests of the engine double behind routers, on loopback."""

from teaselledge_standins.caller import Caller, is_complete_response
from teaselledge_standins.faults import EndpointFaults
from teaselledge_standins.fleet import key_of

TOKENS = 6


async def test_broken_stream_is_resumed_over_http(fleet):
    """An engine closes its connection before, within and at the end of the stream.
    The caller must get the complete response.
    """
    caller = Caller(key_of("amber"))
    address = fleet.routers["r1"].caller_address
    complete = await caller.request_completion(address, "n", TOKENS, "amber")
    assert is_complete_response(complete, "n", TOKENS)
    for position in (0, 1, 40, len(complete.body) - 1):
        faults = EndpointFaults(break_after=position, break_times=1)
        for engine in fleet.engines.values():
            engine.faults = faults
        response = await caller.request_completion(address, "n", TOKENS, "amber")
        assert response.body == complete.body, (position, response)
        assert faults.break_times == 0
