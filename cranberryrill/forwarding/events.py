"""Split a server-sent event stream at event boundaries."""

from collections import abc

EVENT_SEPARATORS = (b'\n\n', b'\r\n\r\n')
MAX_SEPARATOR_BYTES = 4
ID_FIELD = b'id:'
MAX_ID_DIGITS = 20


class EventBuffer:
    """Buffer that releases complete events only and tracks the last event id.

    `event_count` counts the `id` fields released so far, and `last_id` is empty
    before the first one.
    """

    def __init__(self) -> None:
        self.partial = bytearray()
        self.last_id = ''
        self.event_count = 0

    def feed(self, content: bytes) -> bytes:
        """Add received bytes and return the events that are now complete."""
        # Bytes searched before can only hold the start of a separator.
        searched = max(len(self.partial) - MAX_SEPARATOR_BYTES, 0)
        self.partial += content
        end = max(
            _end_of_last(self.partial, separator, searched)
            for separator in EVENT_SEPARATORS
        )
        complete = bytes(self.partial[:end])
        del self.partial[:end]
        self._track_ids(complete)
        return complete

    def drop_partial(self) -> None:
        """Discard the incomplete event at the end of the buffer."""
        self.partial.clear()

    def _track_ids(self, complete: bytes) -> None:
        for event_id in _event_ids(complete):
            self.event_count += 1
            self.last_id = event_id


def may_follow(last_id: str, complete: bytes) -> bool:
    """Return whether events may follow the one with `last_id`.

    Ids that are numbers increase. Any events may follow if `last_id` is empty.
    """
    first_id = next(_event_ids(complete), None)
    if not last_id or first_id is None:
        return True
    if _is_number(first_id) and _is_number(last_id):
        return int(first_id) > int(last_id)
    return first_id != last_id


def _event_ids(complete: bytes) -> abc.Iterator[str]:
    for line in complete.splitlines():
        if line.startswith(ID_FIELD):
            yield line[len(ID_FIELD) :].strip().decode('latin-1')


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_ID_DIGITS


def _end_of_last(content: bytearray, separator: bytes, start: int) -> int:
    """Return where the last separator at or after `start` ends; 0 if none."""
    position = content.rfind(separator, start)
    return position + len(separator) if position >= 0 else 0
