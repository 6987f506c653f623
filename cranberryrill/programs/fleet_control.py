"""Control member that discovers the other members from seeds."""

import asyncio
import dataclasses
import logging
import pathlib
from collections import abc

import result
from tornado import httpserver, web

from cranberryrill import clock, open_requests, tasks, transport
from cranberryrill.authority import holder, platform_client
from cranberryrill.evacuation import evacuation_pb2
from cranberryrill.evacuation import recorder as evacuation_recorder
from cranberryrill.programs import disk_recovery, replicated_state, shutdown
from cranberryrill.registry import departure_recorder, registry_pb2
from cranberryrill.replication import compaction, files, folder_lock, voters
from cranberryrill.settings import fleet
from cranberryrill.traffic import publisher
from cranberryrill.usage import clock_reporter

LOGGER = logging.getLogger(__name__)
MIN_VOTERS = 3
# With these bounds, log and snapshot together take less than a fifth of a disk
# of 64 MB.
SNAPSHOT_ENTRIES = 2048
TAIL_ENTRIES = 256
MAX_LOG_BYTES = 6_000_000
MAX_TAIL_BYTES = 2_000_000
BOUNDS = compaction.Bounds(
    entries=SNAPSHOT_ENTRIES,
    log_bytes=MAX_LOG_BYTES,
    tail_entries=TAIL_ENTRIES,
    tail_bytes=MAX_TAIL_BYTES,
)
STOP_TIMEOUT_SECONDS = 2.0
# A call that waits for a commit is answered within a second.
CALLS_TIMEOUT_SECONDS = 1.2
USAGE_REPORTING_DUTY = 'usage_reporting'
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class PlatformAdapter:
    """The formats of one platform: its API, message headers and reports."""

    make_api: abc.Callable[['FleetControl'], web.Application]
    sender_headers: platform_client.HeaderNames
    reports: clock_reporter.ReportFormat


class FleetControl:
    """A control member, from its start until it stops or its disk fails."""

    def __init__(
        self,
        settings: fleet.FleetSettings,
        adapter: PlatformAdapter,
        folder: pathlib.Path,
        lock: folder_lock.FolderLock | None = None,
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.group = tasks.TaskGroup()
        self.duties = tasks.TaskGroup()
        # Calls of operators and upstreams.
        self.open_calls = open_requests.OpenRequests()
        dialer = transport.Dialer(None)
        self.replicated = replicated_state.ReplicatedState(
            _member_options(settings, folder, lock),
            dialer,
            BOUNDS,
        )
        self.publisher = publisher.Publisher(
            self.replicated.member,
            self.replicated.proposer,
            self.replicated.state,
        )
        self.authority = holder.Authority(
            self.replicated.member,
            self.replicated.proposer,
        )
        self.voter_manager = voters.VoterManager(
            self.replicated.member,
            self.replicated.admission,
            max(2 * settings.tolerated_losses + 1, MIN_VOTERS),
        )

    async def run(self) -> None:
        """Serve until a stop signal arrives or a background task fails."""
        settings = self.settings
        locked_seconds = clock.monotonic_seconds() - self.replicated.locked_at
        LOGGER.info(
            'starting',
            extra={
                'role': 'control',
                'locked_ms': round(locked_seconds * MILLISECONDS_PER_SECOND),
            },
        )
        grpc_server = await transport.listen(
            self.replicated.services(),
            transport.Address(settings.internal_host, settings.control_port),
            None,
        )
        self.replicated.start(self.group)
        self.replicated.roster.add_all(settings.seed_hosts)
        self.group.start(self.voter_manager.run(), 'voters')
        self.group.start(self.authority.run(), 'authority')
        self._start_duties()
        api_server = httpserver.HTTPServer(self.adapter.make_api(self))
        if settings.control:
            transport.listen_http(
                api_server, fleet.parse_address(settings.control)
            )
        await shutdown.wait_for_stop(self.group)
        await self._stop_api(api_server)
        self.authority.stopping = True
        open_duties = list(self.duties.tasks)
        if open_duties:
            await asyncio.wait(open_duties, timeout=STOP_TIMEOUT_SECONDS)
        await self.duties.cancel()
        await self.group.cancel()
        grpc_server.close()
        await grpc_server.wait_closed()
        self.replicated.close()
        LOGGER.info('stopped')
        self.group.check()

    def reload(self, settings: fleet.FleetSettings) -> None:
        """Add the seeds of changed settings; other changes need a restart."""
        LOGGER.info('settings reloaded', extra={'seeds': settings.seeds})
        self.replicated.roster.add_all(settings.seed_hosts)

    async def register(
        self,
        registration: registry_pb2.Registration,
        now: float,
    ) -> result.Result[None, departure_recorder.NotRecorded]:
        """Record a heartbeat; wake the watchers if the upstreams changed.

        The first one with which an upstream leaves may be acknowledged only if
        the result is not an error.
        """
        registry = self.replicated.registry
        version = registry.version
        accepted = registry.record(registration, now)
        if registry.version != version:
            LOGGER.info(
                'upstream registered',
                extra={
                    'upstream': registration.id,
                    'service': registration.service,
                    'leaving': registration.leaving,
                    'sequence': registration.sequence,
                    'taken': accepted,
                },
            )
            self.replicated.membership_service.wake()
            # Its end may be announced to another member soon.
            self.replicated.exchange.wake()
        elif not accepted:
            LOGGER.info(
                'heartbeat ignored',
                extra={
                    'upstream': registration.id,
                    'started_unix_ms': registration.started_unix_ms,
                    'sequence': registration.sequence,
                },
            )
        recorder = self.replicated.departure_recorder
        if registration.leaving:
            return await recorder.commit(
                registry_pb2.RecordDeparture(registration=registration), now
            )
        return await recorder.commit_covered(registration, now)

    async def deregister(
        self, upstream: str, now: float
    ) -> result.Result[None, departure_recorder.NotRecorded]:
        """Remove an upstream that announced its end.

        It may be acknowledged only if the result is not an error.
        """
        recorder = self.replicated.departure_recorder
        departure = await recorder.find_departure(upstream, now)
        is_news = self.replicated.registry.record(
            departure.registration,
            now,
            removed=True,
            covered_until_ms=departure.covered_until_unix_ms,
        )
        if is_news:
            LOGGER.info('upstream ended', extra={'upstream': upstream})
            self.replicated.membership_service.wake()
        return await recorder.commit(departure, now)

    async def evacuate(
        self, order: evacuation_pb2.SetEvacuation, now: float
    ) -> result.Result[None, evacuation_recorder.OrderFailure]:
        """Commit the begin or end of an evacuation.

        It may be acknowledged only if the result is not an error.
        """
        return await self.replicated.evacuation_recorder.commit(order, now)

    async def _stop_api(self, api_server: httpserver.HTTPServer) -> None:
        """Answer the open calls, some of which wait for a commit."""
        api_server.stop()
        if not await tasks.wait_for_event(
            self.open_calls.idle, CALLS_TIMEOUT_SECONDS
        ):
            LOGGER.warning(
                'stopped before all calls were answered',
                extra={'open_calls': len(self.open_calls.requests)},
            )
        await api_server.close_all_connections()

    def _start_duties(self) -> None:
        platform = self.settings.outside
        if platform is None or USAGE_REPORTING_DUTY not in platform.duties:
            return
        client = platform_client.PlatformClient(
            f'http://{platform.address}',
            self.settings.name,
            self.authority,
            self.adapter.sender_headers,
        )
        reporter = clock_reporter.ClockReporter(
            self.authority,
            self.replicated.clock_usage,
            client,
            self.adapter.reports,
            clock.SteadyUnixClock(
                clock.monotonic_seconds(),
                clock.unix_milliseconds(),
            ),
            self.settings.bounds.usage_window_seconds,
        )
        self.duties.start(reporter.run(), 'usage reports')


class FleetControlProgram:
    """Program that restarts its control member after each disk failure."""

    def __init__(
        self,
        settings: fleet.FleetSettings,
        adapter: PlatformAdapter,
        lock: folder_lock.FolderLock | None = None,
    ) -> None:
        if settings.data_folder is None:
            raise DataFolderMissing(settings.name)
        self.settings = settings
        self.adapter = adapter
        self.folder = settings.data_folder
        # For the first start only, since each stop releases it.
        self.lock = lock
        self.control_member: FleetControl | None = None

    async def run(self) -> None:
        """Serve until a stop signal, restarting after each disk failure.

        Other errors are raised.
        """
        while True:
            try:
                await self._serve()
            except (files.DiskFailed, tasks.TaskFailed, OSError) as error:
                if not self._is_disk_failure(error):
                    raise
                LOGGER.error('disk failed', extra={'cause': str(error)})
            else:
                return
            if not await disk_recovery.wait_writable(self.folder):
                return
            LOGGER.info('disk works again')

    def reload(self, settings: fleet.FleetSettings) -> None:
        """Apply changed settings: new seeds now, the rest at the next start."""
        self.settings = settings
        if self.control_member is not None:
            self.control_member.reload(settings)

    async def _serve(self) -> None:
        lock = self.lock
        self.lock = None
        self.control_member = FleetControl(
            self.settings, self.adapter, self.folder, lock
        )
        await self.control_member.run()

    def _is_disk_failure(self, error: Exception) -> bool:
        if isinstance(error, files.DiskFailed):
            return True
        if isinstance(error, tasks.TaskFailed):
            control_member = self.control_member
            if control_member is None:
                return False
            failure = control_member.replicated.member.store.disk.failure
            return isinstance(failure, files.DiskFailed)
        return getattr(error, 'errno', 0) in disk_recovery.DISK_ERRORS


class DataFolderMissing(OSError):
    """A control member has no folder for its state."""

    def __init__(self, name: str) -> None:
        super().__init__(f'{name}: a control member needs a data folder')


def _member_options(
    settings: fleet.FleetSettings,
    folder: pathlib.Path,
    lock: folder_lock.FolderLock | None,
) -> replicated_state.MemberOptions:
    others = {
        host: transport.Address(host, settings.control_port)
        for host in settings.seed_hosts
        if host != settings.host
    }
    return replicated_state.MemberOptions(
        # Members are named by the host at which they listen.
        name=settings.host,
        data_folder=folder,
        others=others,
        port=settings.control_port,
        fixed=False,
        founding_members=settings.seed_hosts if settings.founds else (),
        heartbeat_seconds=settings.heartbeat_ms / MILLISECONDS_PER_SECOND,
        drain_seconds=settings.bounds.drain_ms / MILLISECONDS_PER_SECOND,
        quarantine=settings.quarantine,
        data_centres=frozenset(settings.regions),
        lock=lock,
    )
