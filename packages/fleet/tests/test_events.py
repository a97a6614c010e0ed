"""Tests of splitting streams at the edges of their events."""

from teaselledge_fleet.request.events import EventSplitter

WHOLE = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def test_only_whole_events_are_passed_on():
    """An engine stops in the middle of an event.

    The caller must not get half of it, as the next engine sends it again.
    """
    splitter = EventSplitter()
    assert splitter.feed(WHOLE + b"id: 3\nda") == WHOLE
    assert splitter.has_partial_event
    assert splitter.last_id == "2"


def test_pieces_of_any_size_make_the_same_events():
    for size in range(1, len(WHOLE)):
        splitter = EventSplitter()
        parts = [WHOLE[at : at + size] for at in range(0, len(WHOLE), size)]
        assert b"".join(splitter.feed(part) for part in parts) == WHOLE
        assert splitter.last_id == "2"
        assert not splitter.has_partial_event


def test_a_dropped_event_does_not_join_the_next():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\n\nid: 2\nda")
    splitter.discard_partial_event()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_carriage_returns_end_lines_too():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 7\r\ndata: x\r\n\r\n")
    assert splitter.last_id == "7"
