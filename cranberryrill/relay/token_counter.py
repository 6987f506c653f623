"""Count the tokens of a model's answer as it passes by."""

import json
import typing

from cranberryrill.relay import answers

EVENT_PREFIX = b'data:'
EVENT_END = b'\n'
DONE_EVENT = b'[DONE]'


class UsageCounter:
    """Count tokens as the events of a streamed answer pass by."""

    def __init__(self, usage: answers.Usage) -> None:
        self.usage = usage
        self.rest = b''
        self.done = False

    def feed(self, content: bytes) -> None:
        """Count the whole events in `content`."""
        lines = (self.rest + content).split(EVENT_END)
        self.rest = lines.pop()
        for line in lines:
            if line.startswith(EVENT_PREFIX):
                self._count(line[len(EVENT_PREFIX) :].strip())

    def take_whole(self, content: bytes) -> None:
        """Count what an answer that was not streamed reports."""
        self._take_report(_parse(content).get('usage'))

    def _count(self, event: bytes) -> None:
        if event == DONE_EVENT:
            self.done = True
            return
        parsed = _parse(event)
        if parsed.get('usage'):
            self._take_report(parsed.get('usage'))
        elif parsed.get('choices'):
            self.usage.output_tokens += 1

    def _take_report(self, reported: typing.Any) -> None:
        if not isinstance(reported, dict):
            return
        self.usage.prompt_tokens = _count_of(reported, 'prompt_tokens')
        self.usage.output_tokens = _count_of(reported, 'completion_tokens')


def _parse(content: bytes) -> dict[str, typing.Any]:
    try:
        parsed = json.loads(content)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}


def _count_of(reported: dict[str, typing.Any], name: str) -> int:
    count = reported.get(name)
    return count if isinstance(count, int) and count > 0 else 0
