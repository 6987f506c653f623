"""HTTP interface of the stand-in model engine."""

import dataclasses
import http
import json
import os
import signal
import time
import typing

from tornado import iostream, web

from standins import engine, prefix_cache, sequences

DEFAULT_MAX_TOKENS = 16
OUTPUT_WORDS = ('level', 'the', 'foot', 'until', 'it', 'rests', 'evenly', 'and')
RESUME_HEADER = 'X-Resume-From'


class EngineHandler(web.RequestHandler):
    """Base class of the handlers, bound to the engine."""

    def initialize(self, model: engine.Engine) -> None:
        """Bind the handler to its engine."""
        self.engine = model
        self.sequence: sequences.Sequence | None = None

    def json_body(self) -> dict[str, typing.Any]:
        """Return the JSON object in the request body."""
        return dict(json.loads(self.request.body))


class ChatHandler(EngineHandler):
    """Serve chat completions, streamed or in one response."""

    async def post(self) -> None:
        """Queue the request and send its tokens.

        Answers 409 if the engine has no state of the request to resume.
        """
        body = self.json_body()
        sequence = self._parse_request(body)
        if not self.engine.add(sequence):
            self.set_status(http.HTTPStatus.CONFLICT)
            await self.finish({'error': {'code': 'nothing_to_resume'}})
            return
        self.sequence = sequence
        try:
            await self._send_tokens(sequence, bool(body.get('stream')))
        except iostream.StreamClosedError:
            self.engine.cancel(sequence)

    def on_connection_close(self) -> None:
        """Cancel the sequence when its client disconnects."""
        if self.sequence is not None:
            self.engine.cancel(self.sequence)

    def _parse_request(self, body: dict[str, typing.Any]) -> sequences.Sequence:
        words = [
            word
            for message in body['messages']
            for word in str(message.get('content', '')).split()
        ]
        headers = self.request.headers
        return sequences.Sequence(
            ledger_line=sequences.LedgerLine(
                request_id=headers.get('X-Request-Id', ''),
                priority=int(headers.get('X-Priority', '9')),
                prompt_tokens=len(words),
                headers=dict(headers),
                body=self.request.body.decode(),
                resumed_from=int(headers.get(RESUME_HEADER, '0')),
            ),
            requested_tokens=int(body.get('max_tokens', DEFAULT_MAX_TOKENS)),
            arrival_number=0,
            block_digests=prefix_cache.digest_blocks(words),
        )

    async def _send_tokens(
        self,
        sequence: sequences.Sequence,
        streamed: bool,
    ) -> None:
        content_type = 'text/event-stream' if streamed else 'application/json'
        self.set_header('Content-Type', content_type)
        words: list[str] = []
        for _ in range(
            sequence.ledger_line.resumed_from, sequence.requested_tokens
        ):
            number = await sequence.token_numbers.get()
            words.append(OUTPUT_WORDS[number % len(OUTPUT_WORDS)])
            if streamed:
                await self._send_event({'choices': [_delta(words[-1])]})
        await self._send_end(sequence, words, streamed)
        sequence.ledger_line.finished = True
        sequence.ledger_line.ended_at = time.monotonic()

    async def _send_end(
        self,
        sequence: sequences.Sequence,
        words: list[str],
        streamed: bool,
    ) -> None:
        prompt_tokens = sequence.ledger_line.prompt_tokens
        usage = {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': sequence.requested_tokens,
            'total_tokens': prompt_tokens + sequence.requested_tokens,
        }
        if streamed:
            await self._send_event({'choices': [], 'usage': usage})
            self.write('data: [DONE]\n\n')
        else:
            message = {'role': 'assistant', 'content': ' '.join(words)}
            choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
            self.write({'choices': [choice], 'usage': usage})
        await self.finish()

    async def _send_event(self, content: dict[str, typing.Any]) -> None:
        event = {'object': 'chat.completion.chunk', **content}
        self.write(f'data: {json.dumps(event)}\n\n')
        await self.flush()


def _delta(word: str) -> dict[str, typing.Any]:
    return {'index': 0, 'delta': {'content': f'{word} '}}


class CancelHandler(EngineHandler):
    """Serve `POST /v1/cancel`."""

    def post(self) -> None:
        """Cancel a request and return whether it was unfinished."""
        request_id = str(self.json_body()['request_id'])
        self.finish({'cancelled': self.engine.cancel_request(request_id)})


class LoadHandler(EngineHandler):
    """Serve `GET /v1/load`, whose report may lag."""

    def get(self) -> None:
        """Return the newest report that the lag allows."""
        report = self.engine.delayed_report(time.monotonic())
        self.finish(dataclasses.asdict(report))


class EventsHandler(EngineHandler):
    """Serve `GET /v1/cache/events`, a delayed log with gaps."""

    def get(self) -> None:
        """Return the cache events that are older than the event lag."""
        lag = self.engine.settings.event_lag_seconds
        events = self.engine.cache.events_before(time.monotonic() - lag)
        self.finish({'events': events})


class ControlHandler(EngineHandler):
    """Serve `POST /control`, which real engines don't have."""

    def post(self) -> None:
        """Set the actual slowdown, or kill the process with `crash`."""
        command = self.json_body()
        self.engine.slowdown = float(command.get('slowdown', 1))
        if command.get('crash'):
            os.kill(os.getpid(), signal.SIGKILL)
        self.finish({'slowdown': self.engine.slowdown})


class LedgerHandler(EngineHandler):
    """Serve the ledger of requests."""

    def get(self) -> None:
        """Return the ledger, its token totals and the time spent in steps."""
        ledger = self.engine.ledger
        self.finish(
            {
                'ledger': [dataclasses.asdict(line) for line in ledger],
                'delivered': sum(
                    line.produced - line.wasted_tokens() for line in ledger
                ),
                'wasted': sum(line.wasted_tokens() for line in ledger),
                'busy_seconds': self.engine.busy_seconds,
            },
        )


class OrdersHandler(EngineHandler):
    """Receive orders to load a model, an adapter or a version."""

    def get(self) -> None:
        """Return the executed orders, oldest first."""
        lines = [dataclasses.asdict(line) for line in self.engine.orders]
        self.finish({'orders': lines})

    def post(self) -> None:
        """Execute an order.

        Engines with `checks_fencing` answer 409 to an order whose fencing
        token is lower than the highest one seen.
        """
        fencing = int(self.request.headers.get('X-Fencing', '0'))
        if self.engine.settings.checks_fencing:
            if fencing < self.engine.highest_fencing:
                self.set_status(http.HTTPStatus.CONFLICT)
                self.finish({'highest_fencing': self.engine.highest_fencing})
                return
            self.engine.highest_fencing = fencing
        order = json.loads(self.request.body)
        self.engine.orders.append(
            engine.OrderRecord(fencing, order['kind'], order['name']),
        )
        self.finish({'done': True})


def application(model: engine.Engine) -> web.Application:
    """Return the engine's HTTP application."""
    handler_arguments = {'model': model}
    return web.Application(
        [
            ('/v1/chat/completions', ChatHandler, handler_arguments),
            ('/v1/cancel', CancelHandler, handler_arguments),
            ('/v1/load', LoadHandler, handler_arguments),
            ('/v1/cache/events', EventsHandler, handler_arguments),
            ('/control', ControlHandler, handler_arguments),
            ('/v1/engine/orders', OrdersHandler, handler_arguments),
            ('/ledger', LedgerHandler, handler_arguments),
        ],
    )
