"""Control member whose settings name all members of the group."""

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
    """A control member: it replicates the state and pushes it to watchers.

    It also serves the administration API, and sends orders and usage reports
    to the platform while it holds authority.
    """

    def __init__(self, settings: schema.ControlSettings) -> None:
        self.settings = settings
        name = settings.process.name
        dialer = transport.Dialer(settings.process.tls)
        replica = replicated_state.ReplicatedState(
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
        self.replicated = replica
        self.member = replica.member
        self.directory = replica.directory
        self.state = replica.state
        self.platform_duties = platform_duties.PlatformDuties(
            settings,
            dialer,
            holder.Authority(replica.member, replica.proposer),
            platform_duties.DutyState(
                replica.state, replica.directory, replica.orders, replica.usage
            ),
        )
        self.group = tasks.TaskGroup()

    async def run(self) -> None:
        """Serve until a stop signal arrives or a background task fails."""
        process = self.settings.process
        grpc_server = await transport.listen(
            self.replicated.services(),
            process.listen,
            process.tls,
        )
        sink = metrics.connect(process.statsd)
        self.group.start(metrics_sampler.run(sink, self.sample), 'metrics')
        self.replicated.start(self.group)
        self.platform_duties.start()
        admin_server = httpserver.HTTPServer(
            self._administration_application(),
            ssl_options=self._administration_tls(),
        )
        transport.listen_http(admin_server, self.settings.administration)
        await shutdown.wait_for_stop(self.group)
        admin_server.stop()
        await self.platform_duties.stop()
        await self.group.cancel()
        grpc_server.close()
        await grpc_server.wait_closed()
        self.replicated.close()
        self.group.check()

    def _administration_application(self) -> web.Application:
        admin_operations = operations.Operations(
            self.member,
            self.state,
            self.directory,
            self.replicated.proposer,
            self.settings.administration_token_sha256,
            self.replicated.usage,
        )
        application = api.make_application(admin_operations)
        member_handlers.add_routes(
            application, admin_operations, self.replicated.admission
        )
        return application

    def sample(self) -> metrics_sampler.Sample:
        """Return the current metrics of this process."""
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
        tls_files = self.settings.administration_tls
        if tls_files is None:
            return None
        return transport.public_server_context(
            tls_files.certificate, tls_files.key
        )
