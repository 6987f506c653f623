"""Count the tokens of a model's answer while it is relayed."""

import json
import typing

from cranberryrill.relay import answers

DATA_PREFIX = b'data:'
LINE_END = b'\n'
DONE_EVENT = b'[DONE]'


class TokenCounter:
    """Counter that adds the tokens of one answer to its `usage`.

    Each event of a streamed answer that has choices counts as one output
    token. Counts that the model reports replace the counted ones.
    """

    def __init__(self, usage: answers.Usage) -> None:
        self.usage = usage
        self.partial_line = b''
        self.done = False

    def feed(self, content: bytes) -> None:
        """Count the complete events of a stream; keep a partial last line."""
        lines = (self.partial_line + content).split(LINE_END)
        self.partial_line = lines.pop()
        for line in lines:
            if line.startswith(DATA_PREFIX):
                self._count_event(line[len(DATA_PREFIX) :].strip())

    def count_body(self, content: bytes) -> None:
        """Read the usage from the body of an answer that was not streamed."""
        self._set_usage(_parse(content).get('usage'))

    def _count_event(self, event: bytes) -> None:
        if event == DONE_EVENT:
            self.done = True
            return
        parsed = _parse(event)
        if parsed.get('usage'):
            self._set_usage(parsed.get('usage'))
        elif parsed.get('choices'):
            self.usage.output_tokens += 1

    def _set_usage(self, reported: typing.Any) -> None:
        if not isinstance(reported, dict):
            return
        self.usage.prompt_tokens = _count_or_zero(reported, 'prompt_tokens')
        self.usage.output_tokens = _count_or_zero(reported, 'completion_tokens')


def _parse(content: bytes) -> dict[str, typing.Any]:
    try:
        parsed = json.loads(content)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}


def _count_or_zero(reported: dict[str, typing.Any], name: str) -> int:
    count = reported.get(name)
    return count if isinstance(count, int) and count > 0 else 0
