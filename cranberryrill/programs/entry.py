"""Entry that receives callers' requests and relays the agents' answers."""

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
# The HTTP server's body timeout is longer by this, so that the entry's own
# timeout comes first and sends an error body with the reason.
BODY_TIMEOUT_MARGIN_SECONDS = 5
IDLE_CONNECTION_TIMEOUT_SECONDS = 75


class Entry:
    """An entry process: its HTTP server, gateway and serving lease."""

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
        self.readiness = readiness.Readiness()
        self.open_requests: set[handlers.CallerHandler] = set()
        self.metrics = metrics.connect(settings.process.statsd)
        self.group = tasks.TaskGroup()

    def announcement(self) -> membership_pb2.Announcement:
        """Return the announcement of this process to control members."""
        return membership_pb2.Announcement(
            process=self.settings.process.name,
            incarnation=self.incarnation,
            role=membership_pb2.Role.ENTRY,
            host=self.settings.callers.host,
            port=self.settings.callers.port,
            data_centre=self.settings.process.data_centre,
            revision=self.holder.configuration.revision,
        )

    def application(self) -> web.Application:
        """Return the HTTP application for callers."""
        request_arguments = {
            'shared_gateway': self.gateway,
            'holder': self.holder,
            'open_requests': self.open_requests,
            'entry': self.readiness,
            'limits': request_body.Limits(
                self.settings.max_body_bytes,
                self.settings.body_timeout_seconds,
            ),
        }
        probe_arguments = {'holder': self.holder, 'entry': self.readiness}
        return web.Application(
            [
                ('/healthz', health.HealthHandler),
                ('/readyz', health.ReadyHandler, probe_arguments),
                ('/v1/chat/completions', chat.ChatHandler, request_arguments),
                ('/v1/models', chat.ModelsHandler, request_arguments),
                ('/.*', services.ServiceHandler, request_arguments),
            ],
            log_function=request_recorder.RequestRecorder(self.metrics).record,
        )

    def sample(self) -> metrics_sampler.Sample:
        """Return the current metrics of this process."""
        now = clock.monotonic_seconds()
        local_state = self.holder
        return metrics_sampler.Sample(
            {
                'entry.open_requests': len(self.open_requests),
                'entry.serving': int(local_state.may_serve(now)),
                'entry.proof_age_ms': metrics_sampler.age_ms(
                    local_state.fresh_as_of, now
                ),
                'entry.revision': local_state.configuration.revision,
                'entry.agents': sum(
                    process.role == membership_pb2.Role.AGENT
                    for process in local_state.processes.values()
                ),
            },
        )

    async def run(self) -> None:
        """Serve until a stop signal arrives or a background task fails."""
        withdrawal_monitor = withdrawal.WithdrawalMonitor(
            self.holder, self.open_requests
        )
        self.group.start(self.holder.run(), 'holder')
        self.group.start(
            metrics_sampler.run(self.metrics, self.sample), 'metrics'
        )
        self.group.start(withdrawal_monitor.run(), 'withdrawals')
        http_server = httpserver.HTTPServer(
            self.application(),
            max_body_size=self.settings.max_body_bytes,
            body_timeout=self.settings.body_timeout_seconds
            + BODY_TIMEOUT_MARGIN_SECONDS,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_SECONDS,
        )
        stop_signals = shutdown.StopSignals(self.group)
        transport.listen_http(http_server, self.settings.callers)
        await stop_signals.wait_first()
        if not await stop_signals.finish(self._drain(http_server)):
            LOGGER.warning(
                'stopped before all requests were answered',
                extra={'lost_requests': len(self.readiness.requests)},
            )
        await http_server.close_all_connections()
        await self.group.cancel()
        self.group.check()

    async def _drain(self, http_server: httpserver.HTTPServer) -> None:
        """Leave the load balancer's rotation, then answer the open requests."""
        self.readiness.unready = True
        await asyncio.sleep(self.settings.drain_delay_seconds)
        self.readiness.stopping = True
        http_server.stop()
        await self.readiness.idle.wait()
        LOGGER.info('drained')
