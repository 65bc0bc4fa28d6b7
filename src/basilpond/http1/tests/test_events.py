import hypothesis
from hypothesis import strategies as st

from basilpond.http1 import EventSplitter

STREAM = b''.join(b'id: %d\ndata: %d\n\n' % (i, i) for i in range(1, 8))


@hypothesis.given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_events_do_not_depend_on_packet_boundaries(cuts):
    """Guards against events lost or merged at packet boundaries."""
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(STREAM)]
    received = b''.join(
        splitter.feed(STREAM[start:end])
        for start, end in zip(edges, edges[1:], strict=False)
    )
    assert received == STREAM
    assert (splitter.count, splitter.last_id) == (7, b'7')
    assert splitter.partial == b''


def test_dropped_partial_event_is_not_forwarded():
    """Guards against a truncated event in a resumed stream."""
    splitter = EventSplitter()
    assert (
        splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda') == b'id: 1\ndata: a\n\n'
    )
    splitter.drop_partial()
    assert splitter.feed(b'id: 2\ndata: b\n\n') == b'id: 2\ndata: b\n\n'
    assert splitter.last_id == b'2'


@hypothesis.given(st.integers(1, 40), st.sampled_from([b'\n', b'\r\n']))
def test_shortened_event_is_counted_once(size, end):
    """Guards against not counting an event whose start was discarded."""
    splitter = EventSplitter()
    event = b'data: ' + b'a' * 40 + end + end
    assert not splitter.feed(event[:size])
    splitter.shorten_partial()
    assert len(splitter.partial) <= 4
    assert splitter.feed(event[size:])
    assert (splitter.count, splitter.partial) == (1, b'')
