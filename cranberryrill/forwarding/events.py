"""Cut a stream into whole events and remember the last one's id."""

EVENT_ENDS = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'


class EventBuffer:
    """Hold back what is not yet a whole event."""

    def __init__(self) -> None:
        self.partial = b''
        self.last_id = ''
        self.event_count = 0

    def feed(self, content: bytes) -> bytes:
        """Take more bytes and return the whole events among them."""
        self.partial += content
        end = (
            max(
                self.partial.rfind(mark) + len(mark)
                for mark in EVENT_ENDS
                if mark in self.partial
            )
            if any(mark in self.partial for mark in EVENT_ENDS)
            else 0
        )
        whole = self.partial[:end]
        self.partial = self.partial[end:]
        self._note(whole)
        return whole

    def drop_partial(self) -> None:
        """Forget an event that was cut short."""
        self.partial = b''

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(ID_FIELD):
                self.event_count += 1
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
