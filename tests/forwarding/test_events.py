"""Splitting a stream into complete server-sent events."""

import random

from cranberryrill.forwarding import events

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n'


def test_split_at_any_byte_yields_complete_events() -> None:
    for split_at, _ in enumerate(STREAM):
        buffer = events.EventBuffer()
        first = buffer.feed(STREAM[:split_at])
        assert not first or first.endswith(b'\n\n')
        assert first + buffer.feed(STREAM[split_at:]) == STREAM
        assert buffer.last_id == '3'


def test_incomplete_event_is_dropped_before_resuming() -> None:
    buffer = events.EventBuffer()
    buffer.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    buffer.drop_partial()
    assert buffer.last_id == '1'
    assert buffer.feed(b'id: 2\ndata: b\n\n') == b'id: 2\ndata: b\n\n'


def test_events_in_small_pieces_are_split_like_a_whole() -> None:
    rng = random.Random(5)
    received = b''.join(
        b'data: %s\r\n\r\n' % (b'z' * rng.randrange(200)) for _ in range(50)
    )
    buffer = events.EventBuffer()
    position, complete = 0, bytearray()
    while position < len(received):
        size = rng.randrange(1, 9)
        complete += buffer.feed(received[position : position + size])
        position += size
    assert complete == received
