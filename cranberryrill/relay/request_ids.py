"""Request identifiers by which agents distinguish new from forgotten requests.

An identifier holds a random origin, one for each start of an entry, and a
sequence number that grows by one with each request.
"""

import dataclasses
import itertools
import re
import secrets

ORIGIN_BYTES = 12
REQUEST_ID_PATTERN = re.compile('req-([0-9a-f]{24})-([0-9]{1,18})')


@dataclasses.dataclass(frozen=True)
class RequestId:
    """The parsed parts of a request identifier.

    `origin` identifies the start of the entry that made the request;
    `sequence` counts the requests of that origin from 1.
    """

    origin: str
    sequence: int


class RequestIdGenerator:
    """Generator of the request identifiers of one start of an entry."""

    def __init__(self) -> None:
        self.origin = secrets.token_hex(ORIGIN_BYTES)
        self.sequence = itertools.count(1)

    def new_request_id(self) -> str:
        """Return an identifier with the next sequence number."""
        return f'req-{self.origin}-{next(self.sequence)}'


def parse(request_id: str) -> RequestId | None:
    """Return the parts of an identifier made by `new_request_id`.

    Return None for an identifier of any other form.
    """
    matched = REQUEST_ID_PATTERN.fullmatch(request_id)
    if matched is None:
        return None
    return RequestId(matched.group(1), int(matched.group(2)))
