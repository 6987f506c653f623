"""JSON in which no object has two members of one name."""

import collections
import json
import typing

# Of a name in an error message.
MAX_SHOWN_CHARACTERS = 100


class Malformed(Exception):
    """The content is not JSON, or an object has two members of one name."""


def parse(content: bytes) -> typing.Any:
    """Return the decoded content.

    Raise `Malformed`, where `json` would keep the later of two members.
    """
    try:
        return json.loads(content.decode(), object_pairs_hook=_as_object)
    except (ValueError, RecursionError) as error:
        raise Malformed(str(error)) from error


def _as_object(
    members: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    decoded = dict(members)
    if len(decoded) < len(members):
        counts = collections.Counter(name for name, _ in members)
        repeated = max(counts, key=counts.__getitem__)
        shown = repeated[:MAX_SHOWN_CHARACTERS]
        raise Malformed(f'given more than once: {shown}')
    return decoded
