"""Callers that read a streamed answer event by event, each on a thread."""

import http
import json
import threading
import time
import typing
from http import client as http_client

from bench import examples, web

DEFAULT_TOKENS = 80
# Tokens received when `StreamReader.begun` is set.
BEGUN_TOKENS = 10
DATA = 'data: '
PATH = '/v1/chat/completions'


def chat(**fields: typing.Any) -> dict[str, typing.Any]:
    """Return the body of a chat request, with further fields."""
    return {
        'model': examples.MODEL,
        'messages': [{'role': 'user', 'content': 'it wobbles'}],
        **fields,
    }


class StreamReader(threading.Thread):
    """Thread that sends a chat request and reads its streamed answer.

    `event_times` has the monotonic time of each event, `contents` the text of
    each token. `done` means that the end marker came; `error` is the error
    body of a failure, else empty. `begun` is set after `BEGUN_TOKENS` tokens
    or at the end of the answer.
    """

    def __init__(
        self, url: str, key: str, tokens: int = DEFAULT_TOKENS
    ) -> None:
        super().__init__()
        self.port = int(url.rpartition(':')[2])
        self.key = key
        self.tokens = tokens
        self.event_times: list[float] = []
        self.contents: list[str] = []
        self.done = False
        self.request_id = ''
        self.error: dict[str, str] = {}
        self.begun = threading.Event()
        self.start()

    def run(self) -> None:
        """Send the request and read its answer to the end."""
        connection = http_client.HTTPConnection(web.HOST, self.port)
        body = json.dumps(chat(stream=True, max_tokens=self.tokens))
        headers = {'Authorization': f'Bearer {self.key}'}
        try:
            connection.request('POST', PATH, body, headers)
            self.read_answer(connection.getresponse())
        finally:
            self.begun.set()
            connection.close()

    def read_answer(self, reply: http_client.HTTPResponse) -> None:
        """Read the headers and each event."""
        self.request_id = reply.headers['X-Request-Id']
        if reply.status != http.HTTPStatus.OK:
            self.error = json.loads(reply.read())['error']
            return
        failed = False
        for raw_line in reply:
            line = raw_line.decode().strip()
            failed = failed or line == 'event: error'
            if line.startswith(DATA):
                self.record_event(line.removeprefix(DATA), failed)

    def record_event(self, event: str, failed: bool) -> None:
        """Record the data of one event; `failed` marks an error event."""
        self.event_times.append(time.monotonic())
        if event == '[DONE]':
            self.done = True
            return
        content = json.loads(event)
        if failed:
            self.error = content['error']
        elif content['choices']:
            self.contents.append(content['choices'][0]['delta']['content'])
        if len(self.contents) == BEGUN_TOKENS:
            self.begun.set()

    def wait_finished(self) -> None:
        """Wait for the end of the answer; raise `WaitTimeout` if it is late."""
        self.join(web.REQUEST_SECONDS)
        if self.is_alive():
            raise web.WaitTimeout('end of a stream')

    def longest_pause(self) -> float:
        """Return the longest time between two events in seconds."""
        pairs = zip(self.event_times, self.event_times[1:])
        return max(later - earlier for earlier, later in pairs)
