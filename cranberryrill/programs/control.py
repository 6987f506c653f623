"""Run a control member: replicate the state and push it to everyone."""

import ssl

from tornado import httpserver, web

from cranberryrill import clock, metrics, tasks, transport
from cranberryrill.administration import api, member_handlers, operations
from cranberryrill.authority import holder
from cranberryrill.programs import (
    metrics_sampler,
    platform_duties,
    replicated_state,
    shutdown,
)
from cranberryrill.replication import compaction
from cranberryrill.settings import schema


class Control:
    """Wire the slices of a control process together."""

    def __init__(self, settings: schema.ControlSettings) -> None:
        self.settings = settings
        name = settings.process.name
        dialer = transport.Dialer(settings.process.tls)
        held = replicated_state.ReplicatedState(
            replicated_state.MemberOptions(
                name,
                settings.data_folder,
                {
                    peer.name: peer.address
                    for peer in settings.members
                    if peer.name != name
                },
                settings.process.listen.port,
                fixed=True,
            ),
            dialer,
            compaction.Bounds(
                entries=settings.snapshot_entries,
                tail_entries=settings.snapshot_tail_entries,
            ),
        )
        self.replicated = held
        self.member = held.member
        self.directory = held.directory
        self.state = held.state
        self.outside = platform_duties.PlatformDuties(
            settings,
            dialer,
            holder.Authority(held.member, held.proposer),
            platform_duties.DutyState(
                held.state, held.directory, held.orders, held.usage
            ),
        )
        self.group = tasks.TaskGroup()

    async def run(self) -> None:
        """Serve until told to stop."""
        process = self.settings.process
        listening = await transport.listen(
            self.replicated.services(),
            process.listen,
            process.tls,
        )
        sink = metrics.connect(process.statsd)
        self.group.start(metrics_sampler.run(sink, self.sample), 'metrics')
        self.replicated.start(self.group)
        self.outside.start()
        administration = httpserver.HTTPServer(
            self._administration(),
            ssl_options=self._administration_tls(),
        )
        transport.listen_http(administration, self.settings.administration)
        await shutdown.wait_for_stop(self.group)
        administration.stop()
        await self.outside.stop()
        await self.group.cancel()
        listening.close()
        await listening.wait_closed()
        self.replicated.close()
        self.group.check()

    def _administration(self) -> web.Application:
        held = operations.Operations(
            self.member,
            self.state,
            self.directory,
            self.replicated.proposer,
            self.settings.administration_token_sha256,
            self.replicated.usage,
        )
        application = api.make_application(held)
        member_handlers.add_routes(application, held, self.replicated.admission)
        return application

    def sample(self) -> metrics_sampler.Sample:
        """Measure this process."""
        local = self.member
        log = local.store.log
        return metrics_sampler.Sample(
            {
                'control.leading': int(local.leader == local.name),
                'control.proof_age_ms': metrics_sampler.age_ms(
                    local.freshness.as_of,
                    clock.monotonic_seconds(),
                ),
                'control.revision': self.state.configuration.revision,
                'control.term': local.term,
                'control.pending': log.last_index - local.commit_index,
                'control.processes': len(self.directory.records),
            },
            {
                'control.commits': local.commit_index,
                'control.elections': local.term,
            },
        )

    def _administration_tls(self) -> ssl.SSLContext | None:
        files = self.settings.administration_tls
        if files is None:
            return None
        return transport.public_server_context(files.certificate, files.key)
