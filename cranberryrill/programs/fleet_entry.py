"""Entry that forwards requests directly to upstreams, without agents."""

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
    share_watch,
    usage_counter,
)
from cranberryrill.limits import body_budget
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.programs import shutdown
from cranberryrill.queueing import predicted_queue
from cranberryrill.settings import fleet
from cranberryrill.state import submission
from cranberryrill.traffic import document

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000


class FleetEntry:
    """An entry process that selects an upstream for each request."""

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
        self.dispatcher = dispatcher.Dispatcher(
            self._dispatcher_options(),
            self.holder,
            self.usage,
            self.rng,
        )
        self.instruments = self._make_instruments()
        self.forwarder = forwarder.Forwarder(self.dispatcher, self.instruments)
        self.caller_server = server.CallerServer(
            self.forwarder,
            body_budget.BodyBudget(settings.requests.total_bytes),
        )
        self.load_watcher = peer_loads.PeerLoadWatcher(
            settings.name,
            self.dialer,
            self.dispatcher.peer_loads,
            self.dispatcher.update_limit_shares,
        )

    def _make_instruments(self) -> instruments.Instruments:
        """Return the metrics, with figures of the upstreams and evidence."""
        made = instruments.Instruments()
        made.watch_quarantine(self.holder.evidence)
        pool = self.dispatcher.pool
        made.limited_upstreams.set_function(pool.limited_count)
        made.slow_upstreams.set_function(
            lambda: pool.slow_count(clock.monotonic_seconds())
        )
        made.cold_upstreams.set_function(
            lambda: pool.cold_count(clock.monotonic_seconds())
        )
        made.registry.register(self.dispatcher.left_requests)
        made.closed_upstreams.set_function(lambda: len(pool.closed_ids))
        return made

    def announcement(self) -> membership_pb2.Announcement:
        """Return the announcement of this process to control members."""
        return membership_pb2.Announcement(
            process=self.settings.name,
            incarnation=self.incarnation,
            role=membership_pb2.Role.ENTRY,
            host=self.settings.host,
            port=self.settings.internal_ports[0] + 1,
            data_centre=self.settings.data_centre,
            revision=self.holder.configuration.revision,
        )

    def is_ready(self, now: float) -> bool:
        """Return whether the load balancer may send connections at `now`."""
        return not self.unready and self.holder.may_serve(now)

    async def run(self) -> None:
        """Serve until a stop signal arrives or a background task fails."""
        settings = self.settings
        LOGGER.info('starting', extra={'role': 'entry'})
        load_server = await transport.listen(
            [
                peer_loads.LoadService(
                    self.dispatcher.pool, self.dispatcher.peer_loads
                )
            ],
            transport.Address(
                settings.internal_host, settings.internal_ports[0] + 1
            ),
            None,
        )
        self._start_tasks()
        http_server = server.make_server(
            self.caller_server, document.CallerLimits()
        )
        if settings.callers:
            transport.listen_http(
                http_server, fleet.parse_address(settings.callers)
            )
        readiness_server = httpserver.HTTPServer(self._readiness_application())
        if settings.readiness:
            transport.listen_http(
                readiness_server,
                fleet.parse_address(settings.readiness),
            )
        if settings.metrics_port:
            metrics_server = httpserver.HTTPServer(self._metrics_application())
            transport.listen_http(
                metrics_server,
                transport.Address(settings.host, settings.metrics_port),
            )
        stop_signals = shutdown.StopSignals(self.group)
        await stop_signals.wait_first()
        stopping_at = clock.monotonic_seconds()
        await stop_signals.finish(self._drain(http_server, stopping_at))
        await http_server.close_all_connections()
        load_server.close()
        await self.load_watcher.group.cancel()
        await self.dispatcher.crash_tracker.group.cancel()
        await self.group.cancel()
        LOGGER.info('stopped')
        self.group.check()

    def _start_tasks(self) -> None:
        self.group.start(self.holder.run(), 'holder')
        self.group.start(self._watch_loads(), 'followers')
        self.group.start(self.forwarder.run_updates(), 'updates')
        self.group.start(self.forwarder.run_withdrawals(), 'evacuations')
        self.group.start(self._hand_over_usage(), 'usage')
        self.group.start(self.dispatcher.crash_tracker.run(), 'crash evidence')
        self.group.start(self._watch_shares(), 'shares')

    def reload(self, settings: fleet.FleetSettings) -> None:
        """Add the seeds of changed settings; other changes need a restart."""
        LOGGER.info('settings reloaded', extra={'seeds': settings.seeds})
        self.holder.add_control_hosts(settings.seed_hosts)

    def _control_addresses(self) -> list[transport.Address]:
        port = self.settings.control_port
        return [
            transport.Address(host, port) for host in self.settings.seed_hosts
        ]

    def _make_holder(self) -> serving_lease.Holder:
        lease_holder = serving_lease.Holder(
            self.dialer,
            self._control_addresses(),
            self.announcement,
            self.rng,
            self.settings.quarantine,
        )
        lease_holder.lease_seconds = serving_lease.lease_for_revocation(
            self.settings.bounds.revocation_ms / MILLISECONDS_PER_SECOND,
        )
        return lease_holder

    def _make_usage(self) -> usage_counter.UsageCounter:
        return usage_counter.UsageCounter(
            submission.Submitter(
                self.dialer, self._control_addresses(), self.rng
            ),
            self.settings.name,
            clock.SteadyUnixClock(
                clock.monotonic_seconds(),
                clock.unix_milliseconds(),
            ),
            self.settings.bounds.usage_window_seconds,
        )

    def _dispatcher_options(self) -> dispatcher.DispatcherOptions:
        settings = self.settings
        return dispatcher.DispatcherOptions(
            name=settings.name,
            names=self.names,
            data_centre=settings.data_centre,
            retry_limits=self._retry_bounds(),
            response_limits=settings.responses,
            drain_seconds=settings.bounds.drain_ms / MILLISECONDS_PER_SECOND,
            regions=settings.regions,
            predicted_times=settings.predicted_times,
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
        http_server: httpserver.HTTPServer,
        stopping_at: float,
    ) -> None:
        """Leave the load balancer's rotation, then answer the open requests."""
        self.unready = True
        shutdown_times = admission.plan_shutdown(
            stopping_at, self.settings.bounds.grace_seconds
        )
        self.forwarder.shutdown = shutdown_times
        await asyncio.sleep(
            shutdown_times.out_of_rotation_at - clock.monotonic_seconds()
        )
        remaining_seconds = (
            shutdown_times.drain_deadline - clock.monotonic_seconds()
        )
        try:
            async with asyncio.timeout(max(remaining_seconds, 0)):
                await self.caller_server.idle.wait()
        except TimeoutError:
            LOGGER.warning(
                'stopped before all requests were answered',
                extra={'open_requests': self.caller_server.active_requests},
            )
        http_server.stop()
        await self.caller_server.close(shutdown_times.drain_deadline)
        await self.usage.hand_over()

    async def _watch_loads(self) -> None:
        async with self.holder.updated:
            while True:
                self.load_watcher.update(self.holder.processes)
                await self.holder.updated.wait()

    async def _watch_shares(self) -> None:
        """Report on the queues and shares if times are predicted."""
        queue = self.dispatcher.queue
        if not self.dispatcher.shares or not isinstance(
            queue, predicted_queue.PredictedQueue
        ):
            return
        self.instruments.registry.register(queue.figures)
        watch = share_watch.ShareWatch(
            self.dispatcher.shares,
            queue.waiting_organisations,
            self.instruments.registry,
        )
        await watch.run()

    async def _hand_over_usage(self) -> None:
        while True:
            await asyncio.sleep(usage_counter.HANDOVER_PERIOD_SECONDS)
            self.usage.submitter.add_control_addresses(
                self.holder.control_addresses
            )
            await self.usage.hand_over()

    def _readiness_application(self) -> web.Application:
        handler_arguments = {'router': self}
        return web.Application(
            [(self.names.readiness_path, ReadinessHandler, handler_arguments)],
        )

    def _metrics_application(self) -> web.Application:
        handler_arguments = {'router': self}
        return web.Application(
            [('/metrics', MetricsHandler, handler_arguments)]
        )


class ReadinessHandler(web.RequestHandler):
    """Readiness probe of the load balancer."""

    def initialize(self, router: FleetEntry) -> None:
        """Set the entry that the handler reads."""
        self.router = router

    def get(self) -> None:
        """Send status 200 when ready, 503 otherwise, without a body."""
        ready = self.router.is_ready(clock.monotonic_seconds())
        self.set_status(server.readiness_status(ready=ready))


class MetricsHandler(web.RequestHandler):
    """Page with the metrics of this process."""

    def initialize(self, router: FleetEntry) -> None:
        """Set the entry that the handler reads."""
        self.router = router

    def get(self) -> None:
        """Send the metrics in the Prometheus text format."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.write(self.router.instruments.render())
