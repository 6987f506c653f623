"""The agent, the only process that sends requests to its upstream."""

import asyncio
import logging
import random
from collections import abc

from cranberryrill import clock, identifiers, metrics, tasks, transport
from cranberryrill.authority import engine_orders, fencing_gate
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.programs import metrics_sampler, shutdown
from cranberryrill.relay import service as relay_service
from cranberryrill.relay import timing as relay_timing
from cranberryrill.relay import upstream
from cranberryrill.scheduling import (
    factory,
    load_announcement,
    observation,
    scheduler,
)
from cranberryrill.settings import schema
from cranberryrill.state import submission
from cranberryrill.usage import batch_submitter
from cranberryrill.usage import timing as usage_timing

LOGGER = logging.getLogger(__name__)
Flush = abc.Callable[[], abc.Awaitable[None]]


class Agent:
    """An agent process: it queues requests and relays them to its upstream."""

    def __init__(self, settings: schema.AgentSettings) -> None:
        self.settings = settings
        self.incarnation = identifiers.new_identifier('agent')
        self.scheduler: scheduler.Scheduler = factory.make_scheduler(
            settings.upstream,
            lambda: self.holder.configuration,
            clock.monotonic_seconds(),
        )
        rng = random.SystemRandom()
        dialer = transport.Dialer(settings.process.tls)
        self.usage_batches = batch_submitter.BatchSubmitter(
            submission.Submitter(dialer, settings.control, rng),
            settings.process.name,
            self.incarnation,
        )
        self.relay = relay_service.RelayService(
            self.incarnation,
            self.scheduler,
            upstream.Upstream(settings.upstream),
        )
        self.relay.ended_hooks.append(self.usage_batches.add)
        self.holder = serving_lease.Holder(
            dialer,
            settings.control,
            self.announcement,
            rng,
        )
        gate = fencing_gate.Gate(clock.monotonic_seconds())
        self.holder.on_fencing = gate.record_proof
        self.orders = engine_orders.OrderService(
            gate,
            settings.upstream.base_url,
            self.relay,
        )
        self.group = tasks.TaskGroup()
        # Awaited in order during a planned shutdown, after the last request.
        self.flushes: list[Flush] = [self.flush_usage]

    def announcement(self) -> membership_pb2.Announcement:
        """Return the announcement of this process, its upstream and load."""
        process = self.settings.process
        address = process.advertise or process.listen
        upstream_settings = self.settings.upstream
        return membership_pb2.Announcement(
            process=process.name,
            incarnation=self.incarnation,
            role=membership_pb2.Role.AGENT,
            host=address.host,
            port=address.port,
            data_centre=process.data_centre,
            offer=membership_pb2.Offer(
                target=upstream_settings.target,
                is_model=upstream_settings.is_model,
                slots=upstream_settings.slots,
                price_micros_per_hour=upstream_settings.price_micros_per_hour,
                checks_fencing=upstream_settings.checks_fencing,
            ),
            leaving=self.relay.is_leaving(clock.monotonic_seconds()),
            load=load_announcement.announced_load(
                self.scheduler.load_snapshot()
            ),
            revision=self.holder.configuration.revision,
        )

    def sample(self) -> metrics_sampler.Sample:
        """Return the current metrics of this process."""
        load = self.announcement().load
        now = clock.monotonic_seconds()
        return metrics_sampler.Sample(
            {
                'agent.running': load.running,
                'agent.waiting': load.waiting,
                'agent.lowest_waiting_tier': load.lowest_waiting_tier,
                'agent.proof_age_ms': metrics_sampler.age_ms(
                    self.holder.fresh_as_of,
                    now,
                ),
                'agent.revision': self.holder.configuration.revision,
            },
        )

    async def run(self) -> None:
        """Serve until a stop signal arrives or a background task fails."""
        process = self.settings.process
        grpc_server = await transport.listen(
            [self.relay, self.orders],
            process.listen,
            process.tls,
        )
        self.group.start(self.holder.run(), 'holder')
        sink = metrics.connect(process.statsd)
        self.group.start(metrics_sampler.run(sink, self.sample), 'metrics')
        self.group.start(self.relay.run_expiry(), 'expiry')
        self.group.start(
            observation.run_observation(self.scheduler), 'scheduler'
        )
        self.group.start(self.usage_batches.run(), 'usage')
        stop_signals = shutdown.StopSignals(self.group)
        await stop_signals.wait_first()
        if not await stop_signals.finish(self._drain()):
            LOGGER.warning(
                'stopped before all requests were answered',
                extra={
                    'lost_requests': len(self.relay.answer_store.unfinished)
                },
            )
        grpc_server.close()
        await grpc_server.wait_closed()
        await self.relay.group.cancel()
        await self.group.cancel()
        self.group.check()

    async def flush_usage(self) -> None:
        """Submit the usage counted so far, within the stop timeout."""
        now = clock.monotonic_seconds()
        await self.usage_batches.flush(now + usage_timing.STOP_TIMEOUT_SECONDS)

    async def _drain(self) -> None:
        """Announce that this agent leaves, then finish accepted requests."""
        self.relay.leaving = True
        self.holder.renew_now.set()
        # Entries would still send requests to an agent that exits before its
        # announcement has reached them.
        await asyncio.sleep(relay_timing.LEAVING_ANNOUNCEMENT_SECONDS)
        await self.relay.drain()
        for flush in self.flushes:
            await flush()
        LOGGER.info('drained')
