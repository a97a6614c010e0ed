"""Tests of the codec."""

from hypothesis import given
from hypothesis import strategies as st
from teaselledge_wire.codec import CodecError, decode, encode
from teaselledge_wire.gen.router.ttypes import Body, Message, Withdraw


def test_round_trip():
    message = Message(Body(withdraw=Withdraw(7)), "s", "z")
    assert decode(encode([message], 3)).messages == [message]


@given(st.binary(max_size=200))
def test_malformed_bytes_raise_codec_error(data):
    try:
        decode(data)
    except CodecError:
        pass
