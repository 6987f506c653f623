"""Run the entry: take callers' requests and relay their answers."""

import asyncio
import logging
import random

from tornado import httpserver, web

from cranberryrill import clock, identifiers, metrics, tasks, transport
from cranberryrill.callers import (
    chat,
    gateway,
    handlers,
    health,
    readiness,
    request_body,
    services,
    withdrawal,
)
from cranberryrill.claims import claim_client
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.programs import metrics_sampler, request_recorder, shutdown
from cranberryrill.routing import factory
from cranberryrill.settings import schema
from cranberryrill.state import submission

LOGGER = logging.getLogger(__name__)
# The server's own limit stands behind the one that answers with a reason.
SPARE_SECONDS = 5
IDLE_CONNECTION_SECONDS = 75


class Entry:
    """Wire the slices of an entry process together."""

    def __init__(self, settings: schema.EntrySettings) -> None:
        self.settings = settings
        self.incarnation = identifiers.new_identifier('entry')
        rng = random.SystemRandom()
        dialer = transport.Dialer(settings.process.tls)
        self.holder = serving_lease.Holder(
            dialer,
            settings.control,
            self.announcement,
            rng,
        )
        self.gateway = gateway.Gateway(
            self.holder,
            dialer,
            factory.make_router(
                settings.routing,
                settings.process.data_centre,
                rng,
            ),
            claim_client.ClaimClient(
                submission.Submitter(dialer, settings.control, rng),
            ),
        )
        self.standing = readiness.Readiness()
        self.open_requests: set[handlers.CallerHandler] = set()
        self.metrics = metrics.connect(settings.process.statsd)
        self.group = tasks.TaskGroup()

    def announcement(self) -> membership_pb2.Announcement:
        """Return what control learns of this process."""
        return membership_pb2.Announcement(
            process=self.settings.process.name,
            incarnation=self.incarnation,
            role=membership_pb2.Role.ENTRY,
            host=self.settings.callers.host,
            port=self.settings.callers.port,
            data_centre=self.settings.process.data_centre,
            revision=self.holder.serving.revision,
        )

    def application(self) -> web.Application:
        """Return the HTTP application for callers."""
        shared = {
            'shared_gateway': self.gateway,
            'holder': self.holder,
            'open_requests': self.open_requests,
            'entry': self.standing,
            'limits': request_body.Limits(
                self.settings.max_body_bytes,
                self.settings.body_timeout_seconds,
            ),
        }
        readiness = {'holder': self.holder, 'entry': self.standing}
        return web.Application(
            [
                ('/healthz', health.HealthHandler),
                ('/readyz', health.ReadyHandler, readiness),
                ('/v1/chat/completions', chat.ChatHandler, shared),
                ('/v1/models', chat.ModelsHandler, shared),
                ('/.*', services.ServiceHandler, shared),
            ],
            log_function=request_recorder.RequestRecorder(self.metrics).record,
        )

    def sample(self) -> metrics_sampler.Sample:
        """Measure this process."""
        now = clock.monotonic_seconds()
        held = self.holder
        return metrics_sampler.Sample(
            {
                'entry.open_requests': len(self.open_requests),
                'entry.serving': int(held.may_serve(now)),
                'entry.proof_age_ms': metrics_sampler.age_ms(
                    held.fresh_as_of, now
                ),
                'entry.revision': held.serving.revision,
                'entry.agents': sum(
                    known.role == membership_pb2.Role.AGENT
                    for known in held.processes.values()
                ),
            },
        )

    async def run(self) -> None:
        """Serve until told to stop."""
        withdrawals = withdrawal.WithdrawalMonitor(
            self.holder, self.open_requests
        )
        self.group.start(self.holder.run(), 'holder')
        self.group.start(
            metrics_sampler.run(self.metrics, self.sample), 'metrics'
        )
        self.group.start(withdrawals.run(), 'withdrawals')
        listening = httpserver.HTTPServer(
            self.application(),
            max_body_size=self.settings.max_body_bytes,
            body_timeout=self.settings.body_timeout_seconds + SPARE_SECONDS,
            idle_connection_timeout=IDLE_CONNECTION_SECONDS,
        )
        stop = shutdown.StopSignals(self.group)
        transport.listen_http(listening, self.settings.callers)
        await stop.wait_first()
        if not await stop.finish(self._drain(listening)):
            LOGGER.warning(
                'stopped before all requests were answered',
                extra={'lost_requests': len(self.standing.requests)},
            )
        await listening.close_all_connections()
        await self.group.cancel()
        self.group.check()

    async def _drain(self, listening: httpserver.HTTPServer) -> None:
        """Leave the balancer first, then answer what is open."""
        self.standing.unready = True
        await asyncio.sleep(self.settings.drain_delay_seconds)
        self.standing.stopping = True
        listening.stop()
        await self.standing.idle.wait()
        LOGGER.info('drained')
