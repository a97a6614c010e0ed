"""Tests of the engine stand-in behind routers, over loopback."""

from teaselledge_standins.caller import Caller, is_complete_response
from teaselledge_standins.faults import EndpointFaults
from teaselledge_standins.fleet import key_of

TOKENS = 6


async def test_broken_stream_is_resumed_over_http(fleet):
    """An engine drops its connection at some bytes of the stream, before the
    first one and after the last. The caller gets the whole completion.
    """
    caller = Caller(key_of("amber"))
    address = fleet.routers["r1"].caller_address
    whole = await caller.request_completion(address, "n", TOKENS, "amber")
    assert is_complete_response(whole, "n", TOKENS)
    for position in (0, 1, 40, len(whole.body) - 1):
        faults = EndpointFaults(break_after=position, break_times=1)
        for engine in fleet.engines.values():
            engine.faults = faults
        reply = await caller.request_completion(address, "n", TOKENS, "amber")
        assert reply.body == whole.body, (position, reply)
        assert faults.break_times == 0
