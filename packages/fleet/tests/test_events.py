"""Tests of splitting streams at event boundaries."""

from hypothesis import given
from hypothesis import strategies as st
from teaselledge_fleet.connection.responselimits import (
    MAX_EVENT_BYTES,
    MAX_SHORT_EVENTS,
)
from teaselledge_fleet.request.events import EventSplitter

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def test_partial_event_is_held_back():
    """An engine stops in the middle of an event.

    The caller must not get half of it, as the engine that resumes the stream sends the
    whole event again.
    """
    splitter = EventSplitter()
    assert splitter.feed(EVENTS + b"id: 3\nda") == EVENTS
    assert splitter.has_partial_event
    assert splitter.last_id == "2"


def test_chunks_of_any_size_give_the_same_events():
    for size in range(1, len(EVENTS)):
        splitter = EventSplitter()
        chunks = [EVENTS[at : at + size] for at in range(0, len(EVENTS), size)]
        assert b"".join(splitter.feed(chunk) for chunk in chunks) == EVENTS
        assert splitter.last_id == "2"
        assert not splitter.has_partial_event


def test_events_without_content_take_no_more_time_than_others():
    """Reading 8,192 of them took 10 ms; a thousand take part in a stream at most."""
    splitter = EventSplitter()
    assert splitter.feed(EVENTS) == EVENTS
    splitter.feed(b"\n" * 2 * MAX_SHORT_EVENTS)
    assert splitter.feed(b"\n" * 16_384) == b""
    assert splitter.flooded
    assert splitter.last_id == "2"
    splitter.discard_partial_event()
    assert splitter.feed(b"id: 3\ndata: c\n\n")
    assert not splitter.flooded


@given(st.lists(st.sampled_from((b"\n", b"\r\n", b"id: 7", b"data: x", b"\nid:"))))
def test_the_last_id_is_that_of_the_last_event_that_has_one(parts):
    data = b"".join(parts)
    splitter = EventSplitter()
    events = splitter.feed(data)
    ids = [
        line[3:].strip().decode()
        for line in events.split(b"\n")
        if line.startswith(b"id:")
    ]
    assert splitter.last_id == (ids[-1] if ids else None)
    assert data.startswith(events)


def test_discarded_event_is_not_joined_to_the_next():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\n\nid: 2\nda")
    splitter.discard_partial_event()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_lines_may_end_with_carriage_return_and_newline():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 7\r\ndata: x\r\n\r\n")
    assert splitter.last_id == "7"


def test_event_over_the_limit_is_not_returned():
    """Events before it are; their ids are those after which a stream is resumed."""
    splitter = EventSplitter()
    event = b"id: 1\n\n"
    too_long = b"x" * (MAX_EVENT_BYTES + 1) + b"\n\n"
    assert splitter.feed(event + too_long + b"id: 2\n\n") == event
    assert splitter.oversized
    assert splitter.last_id == "1"
