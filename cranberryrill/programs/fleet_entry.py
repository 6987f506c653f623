"""Run an entry that forwards requests to upstreams itself."""

import asyncio
import logging
import random

from tornado import httpserver, web

from cranberryrill import clock, identifiers, tasks, transport
from cranberryrill.forwarding import (
    admission,
    dispatcher,
    forwarder,
    http_names,
    instruments,
    peer_loads,
    retry_budget,
    server,
    usage_counter,
)
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.programs import shutdown
from cranberryrill.settings import fleet
from cranberryrill.state import submission
from cranberryrill.traffic import document

LOGGER = logging.getLogger(__name__)
# The balancer asks every second and takes out who fails it twice; a request
# may be on its way for a moment longer.
UNREADY_SECONDS = 2.6
# Open answers end this long before the process is killed.
SPARE_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000


class FleetEntry:
    """Wire the slices of a forwarding entry together."""

    def __init__(
        self,
        settings: fleet.FleetSettings,
        names: http_names.HttpNames,
    ) -> None:
        self.settings = settings
        self.names = names
        self.incarnation = identifiers.new_identifier('entry')
        self.group = tasks.TaskGroup()
        self.unready = False
        self.rng = random.Random(random.SystemRandom().random())
        self.dialer = transport.Dialer(None)
        self.holder = self._make_holder()
        self.usage = self._make_usage()
        self.measured = instruments.Instruments()
        self.dispatcher = dispatcher.Dispatcher(
            dispatcher.DispatcherOptions(
                names, settings.data_centre, self._retry_bounds()
            ),
            self.holder,
            self.usage,
            self.rng,
        )
        self.forwarder = forwarder.Forwarder(self.dispatcher, self.measured)
        self.callers = server.CallerServer(self.forwarder)
        self.follower = peer_loads.PeerLoadWatcher(
            settings.name,
            self.dialer,
            self.dispatcher.other_loads,
        )

    def announcement(self) -> membership_pb2.Announcement:
        """Return what control learns of this process."""
        return membership_pb2.Announcement(
            process=self.settings.name,
            incarnation=self.incarnation,
            role=membership_pb2.Role.ENTRY,
            host=self.settings.host,
            port=self.settings.internal_ports[0] + 1,
            data_centre=self.settings.data_centre,
            revision=self.holder.serving.revision,
        )

    def is_ready(self, now: float) -> bool:
        """Say whether this process should get new connections."""
        return not self.unready and self.holder.may_serve(now)

    async def run(self) -> None:
        """Serve until told to stop."""
        settings = self.settings
        LOGGER.info('starting', extra={'role': 'entry'})
        sharing_loads = await transport.listen(
            [peer_loads.LoadService(self.dispatcher.pool)],
            transport.Address(
                settings.internal_host, settings.internal_ports[0] + 1
            ),
            None,
        )
        self.group.start(self.holder.run(), 'holder')
        self.group.start(self._run_followers(), 'followers')
        self.group.start(self.forwarder.run_updates(), 'updates')
        self.group.start(self._hand_over_usage(), 'usage')
        listening = server.make_server(self.callers, document.CallerLimits())
        if settings.callers:
            transport.listen_http(
                listening, fleet.parse_address(settings.callers)
            )
        readiness = httpserver.HTTPServer(self._readiness())
        if settings.readiness:
            transport.listen_http(
                readiness,
                fleet.parse_address(settings.readiness),
            )
        if settings.metrics_port:
            page = httpserver.HTTPServer(self._metrics())
            transport.listen_http(
                page,
                transport.Address(settings.host, settings.metrics_port),
            )
        stop = shutdown.StopSignals(self.group)
        await stop.wait_first()
        stopping_at = clock.monotonic_seconds()
        await stop.finish(self._drain(listening, stopping_at))
        await listening.close_all_connections()
        sharing_loads.close()
        await self.follower.group.cancel()
        await self.group.cancel()
        LOGGER.info('stopped')
        self.group.check()

    def reload(self, settings: fleet.FleetSettings) -> None:
        """Take up changed settings: seeds that were not known."""
        LOGGER.info('settings reloaded', extra={'seeds': settings.seeds})
        self.holder.add_control_hosts(settings.seed_hosts)

    def _control(self) -> list[transport.Address]:
        port = self.settings.control_port
        return [
            transport.Address(host, port) for host in self.settings.seed_hosts
        ]

    def _make_holder(self) -> serving_lease.Holder:
        made = serving_lease.Holder(
            self.dialer,
            self._control(),
            self.announcement,
            self.rng,
        )
        made.lease_seconds = serving_lease.lease_for_revocation(
            self.settings.bounds.revocation_ms / MILLISECONDS_PER_SECOND,
        )
        return made

    def _make_usage(self) -> usage_counter.UsageCounter:
        return usage_counter.UsageCounter(
            submission.Submitter(self.dialer, self._control(), self.rng),
            self.settings.name,
            usage_counter.SteadyUnixClock(
                clock.monotonic_seconds(),
                clock.unix_milliseconds(),
            ),
            self.settings.bounds.usage_window_seconds,
        )

    def _retry_bounds(self) -> retry_budget.RetryLimits:
        bounds = self.settings.bounds
        return retry_budget.RetryLimits(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_seconds,
        )

    async def _drain(
        self,
        listening: httpserver.HTTPServer,
        stopping_at: float,
    ) -> None:
        """Leave the balancer first, then answer what is open."""
        self.unready = True
        grace = self.settings.bounds.grace_seconds - SPARE_SECONDS
        stop = admission.Shutdown(
            stopping_at + UNREADY_SECONDS,
            stopping_at + grace,
        )
        self.forwarder.stop = stop
        await asyncio.sleep(UNREADY_SECONDS)
        left = stop.drain_deadline - clock.monotonic_seconds()
        try:
            async with asyncio.timeout(max(left, 0)):
                await self.callers.idle.wait()
        except TimeoutError:
            LOGGER.warning(
                'stopped before all requests were answered',
                extra={'open_requests': self.callers.active_requests},
            )
        listening.stop()
        await self.callers.close(stop.drain_deadline)
        await self.usage.hand_over()

    async def _run_followers(self) -> None:
        async with self.holder.updated:
            while True:
                self.follower.update(self.holder.processes)
                await self.holder.updated.wait()

    async def _hand_over_usage(self) -> None:
        while True:
            await asyncio.sleep(usage_counter.HANDOVER_PERIOD_SECONDS)
            self.usage.submitter.add_control_addresses(
                self.holder.control_addresses
            )
            await self.usage.hand_over()

    def _readiness(self) -> web.Application:
        shared = {'router': self}
        return web.Application(
            [(self.names.readiness_path, ReadinessHandler, shared)],
        )

    def _metrics(self) -> web.Application:
        shared = {'router': self}
        return web.Application([('/metrics', MetricsHandler, shared)])


class ReadinessHandler(web.RequestHandler):
    """Tell the balancer whether to send new connections here."""

    def initialize(self, router: FleetEntry) -> None:
        """Take what the handler reads."""
        self.router = router

    def get(self) -> None:
        """Answer with a status alone."""
        ready = self.router.is_ready(clock.monotonic_seconds())
        self.set_status(server.readiness_status(ready=ready))


class MetricsHandler(web.RequestHandler):
    """Show the metrics of this process."""

    def initialize(self, router: FleetEntry) -> None:
        """Take what the handler reads."""
        self.router = router

    def get(self) -> None:
        """Answer in the text format of the metrics library."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.write(self.router.measured.render())
