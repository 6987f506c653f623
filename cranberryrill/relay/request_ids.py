"""Name requests so that an agent can tell a new one from a forgotten one."""

import dataclasses
import itertools
import re
import secrets

ORIGIN_BYTES = 12
PATTERN = re.compile('req-([0-9a-f]{24})-([0-9]{1,18})')


@dataclasses.dataclass(frozen=True)
class RequestId:
    """Say which start of an entry made a request, and in which place."""

    origin: str
    sequence: int


class RequestIdGenerator:
    """Name the requests of one start of an entry, in growing order."""

    def __init__(self) -> None:
        self.origin = secrets.token_hex(ORIGIN_BYTES)
        self.places = itertools.count(1)

    def new_request_id(self) -> str:
        """Return the identifier of the next request."""
        return f'req-{self.origin}-{next(self.places)}'


def parse(request_id: str) -> RequestId | None:
    """Return what `new_request_id` wrote into an identifier."""
    matched = PATTERN.fullmatch(request_id)
    if matched is None:
        return None
    return RequestId(matched.group(1), int(matched.group(2)))
