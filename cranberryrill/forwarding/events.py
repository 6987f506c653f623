"""Split a server-sent event stream at event boundaries."""

EVENT_SEPARATORS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'


class EventBuffer:
    """Buffer that releases complete events only and tracks the last event id.

    `event_count` counts the `id` fields released so far, and `last_id` is empty
    before the first one.
    """

    def __init__(self) -> None:
        self.partial = b''
        self.last_id = ''
        self.event_count = 0

    def feed(self, content: bytes) -> bytes:
        """Add received bytes and return the events that are now complete."""
        self.partial += content
        end = (
            max(
                self.partial.rfind(separator) + len(separator)
                for separator in EVENT_SEPARATORS
                if separator in self.partial
            )
            if any(separator in self.partial for separator in EVENT_SEPARATORS)
            else 0
        )
        complete = self.partial[:end]
        self.partial = self.partial[end:]
        self._track_ids(complete)
        return complete

    def drop_partial(self) -> None:
        """Discard the incomplete event at the end of the buffer."""
        self.partial = b''

    def _track_ids(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(ID_FIELD):
                self.event_count += 1
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
