"""Offer a model engine over HTTP."""

import dataclasses
import http
import json
import os
import signal
import time
import typing

from tornado import iostream, web

from standins import engine, prefix_cache, sequences

DEFAULT_TOKENS = 16
OUTPUT_WORDS = ('level', 'the', 'foot', 'until', 'it', 'rests', 'evenly', 'and')
RESUME_HEADER = 'X-Resume-From'


class EngineHandler(web.RequestHandler):
    """Hold the engine for the handlers of this module."""

    def initialize(self, model: engine.Engine) -> None:
        """Take the engine."""
        self.engine = model
        self.sequence: sequences.Sequence | None = None

    def told(self) -> dict[str, typing.Any]:
        """Return the body's JSON."""
        return dict(json.loads(self.request.body))


class ChatHandler(EngineHandler):
    """Answer chat requests, streamed or whole."""

    async def post(self) -> None:
        """Produce the tokens asked for."""
        body = self.told()
        sequence = self._read(body)
        if not self.engine.add(sequence):
            self.set_status(http.HTTPStatus.CONFLICT)
            await self.finish({'error': {'code': 'nothing_to_resume'}})
            return
        self.sequence = sequence
        try:
            await self._answer(sequence, bool(body.get('stream')))
        except iostream.StreamClosedError:
            self.engine.cancel(sequence)

    def on_connection_close(self) -> None:
        """Stop work for a client that left."""
        if self.sequence is not None:
            self.engine.cancel(self.sequence)

    def _read(self, body: dict[str, typing.Any]) -> sequences.Sequence:
        words = [
            word
            for turn in body['messages']
            for word in str(turn.get('content', '')).split()
        ]
        headers = self.request.headers
        return sequences.Sequence(
            line=sequences.LedgerLine(
                request_id=headers.get('X-Request-Id', ''),
                priority=int(headers.get('X-Priority', '9')),
                prompt_tokens=len(words),
                headers=dict(headers),
                body=self.request.body.decode(),
                resumed_from=int(headers.get(RESUME_HEADER, '0')),
            ),
            wanted_tokens=int(body.get('max_tokens', DEFAULT_TOKENS)),
            order=0,
            blocks=prefix_cache.block_digests(words),
        )

    async def _answer(
        self,
        sequence: sequences.Sequence,
        streamed: bool,
    ) -> None:
        kind = 'text/event-stream' if streamed else 'application/json'
        self.set_header('Content-Type', kind)
        words: list[str] = []
        for _ in range(sequence.line.resumed_from, sequence.wanted_tokens):
            number = await sequence.tokens.get()
            words.append(OUTPUT_WORDS[number % len(OUTPUT_WORDS)])
            if streamed:
                await self._event({'choices': [_delta(words[-1])]})
        await self._end(sequence, words, streamed)
        sequence.line.finished = True
        sequence.line.ended_at = time.monotonic()

    async def _end(
        self,
        sequence: sequences.Sequence,
        words: list[str],
        streamed: bool,
    ) -> None:
        prompt_tokens = sequence.line.prompt_tokens
        usage = {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': sequence.wanted_tokens,
            'total_tokens': prompt_tokens + sequence.wanted_tokens,
        }
        if streamed:
            await self._event({'choices': [], 'usage': usage})
            self.write('data: [DONE]\n\n')
        else:
            message = {'role': 'assistant', 'content': ' '.join(words)}
            choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
            self.write({'choices': [choice], 'usage': usage})
        await self.finish()

    async def _event(self, content: dict[str, typing.Any]) -> None:
        event = {'object': 'chat.completion.chunk', **content}
        self.write(f'data: {json.dumps(event)}\n\n')
        await self.flush()


def _delta(word: str) -> dict[str, typing.Any]:
    return {'index': 0, 'delta': {'content': f'{word} '}}


class CancelHandler(EngineHandler):
    """Answer `POST /v1/cancel`."""

    def post(self) -> None:
        """Stop work on a request."""
        request_id = str(self.told()['request_id'])
        self.finish({'cancelled': self.engine.cancel_request(request_id)})


class LoadHandler(EngineHandler):
    """Answer `GET /v1/load` with a report that may lag."""

    def get(self) -> None:
        """Return the report."""
        report = self.engine.delayed_report(time.monotonic())
        self.finish(dataclasses.asdict(report))


class EventsHandler(EngineHandler):
    """Answer `GET /v1/cache/events`: late, and with gaps."""

    def get(self) -> None:
        """Return the events that are old enough to be told."""
        lag = self.engine.settings.event_lag_seconds
        told = self.engine.cache.events_before(time.monotonic() - lag)
        self.finish({'events': told})


class ControlHandler(EngineHandler):
    """Answer `POST /control`, which only the stand-in has."""

    def post(self) -> None:
        """Change the true speed, or crash."""
        told = self.told()
        self.engine.slowdown = float(told.get('slowdown', 1))
        if told.get('crash'):
            os.kill(os.getpid(), signal.SIGKILL)
        self.finish({'slowdown': self.engine.slowdown})


class LedgerHandler(EngineHandler):
    """Show what every request had of the engine."""

    def get(self) -> None:
        """Return the ledger and its sums."""
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
    """Take orders to load a model, an adapter or a version."""

    def get(self) -> None:
        """Return the orders that were acted on."""
        lines = [dataclasses.asdict(line) for line in self.engine.orders]
        self.finish({'orders': lines})

    def post(self) -> None:
        """Act on an order; only some engines look at its number."""
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
    shared = {'model': model}
    return web.Application(
        [
            ('/v1/chat/completions', ChatHandler, shared),
            ('/v1/cancel', CancelHandler, shared),
            ('/v1/load', LoadHandler, shared),
            ('/v1/cache/events', EventsHandler, shared),
            ('/control', ControlHandler, shared),
            ('/v1/engine/orders', OrdersHandler, shared),
            ('/ledger', LedgerHandler, shared),
        ],
    )
