"""Run a control member that finds the others from seeds."""

import asyncio
import dataclasses
import logging
import pathlib
from collections import abc

from tornado import httpserver, web

from cranberryrill import clock, tasks, transport
from cranberryrill.authority import holder, platform_client
from cranberryrill.forwarding import usage_counter
from cranberryrill.programs import disk_recovery, replicated_state, shutdown
from cranberryrill.registry import registry_pb2
from cranberryrill.replication import compaction, files, folder_lock, voters
from cranberryrill.settings import fleet
from cranberryrill.traffic import publisher
from cranberryrill.usage import clock_reporter

LOGGER = logging.getLogger(__name__)
LEAST_VOTERS = 3
# Log and snapshot together take less than a fifth of a disk of 64 MB.
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
STOP_TIMEOUT = 2.0
REPORTING = 'usage_reporting'
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class PlatformAdapter:
    """Hold how one platform is spoken to."""

    make_api: abc.Callable[['FleetControl'], web.Application]
    sender_headers: platform_client.HeaderNames
    reports: clock_reporter.ReportFormat


class FleetControl:
    """Wire the slices of a control member together."""

    def __init__(
        self,
        settings: fleet.FleetSettings,
        dialect: PlatformAdapter,
        folder: pathlib.Path,
        lock: folder_lock.FolderLock | None = None,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.group = tasks.TaskGroup()
        self.duties = tasks.TaskGroup()
        dialer = transport.Dialer(None)
        self.replicated = replicated_state.ReplicatedState(
            _place_of(settings, folder, lock),
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
        self.keeper = voters.VoterManager(
            self.replicated.member,
            self.replicated.admission,
            max(2 * settings.tolerated_losses + 1, LEAST_VOTERS),
        )

    async def run(self) -> None:
        """Serve until told to stop."""
        settings = self.settings
        locked_for = clock.monotonic_seconds() - self.replicated.locked_since
        LOGGER.info(
            'starting',
            extra={
                'role': 'control',
                'locked_ms': round(locked_for * MILLISECONDS_PER_SECOND),
            },
        )
        listening = await transport.listen(
            self.replicated.services(),
            transport.Address(settings.internal_host, settings.control_port),
            None,
        )
        self.replicated.start(self.group)
        self.replicated.roster.add_all(settings.seed_hosts)
        self.group.start(self.keeper.run(), 'voters')
        self.group.start(self.authority.run(), 'authority')
        self._start_duties()
        api = httpserver.HTTPServer(self.dialect.make_api(self))
        if settings.control:
            transport.listen_http(api, fleet.parse_address(settings.control))
        await shutdown.wait_for_stop(self.group)
        api.stop()
        await api.close_all_connections()
        self.authority.stopping = True
        unfinished = list(self.duties.tasks)
        if unfinished:
            await asyncio.wait(unfinished, timeout=STOP_TIMEOUT)
        await self.duties.cancel()
        await self.group.cancel()
        listening.close()
        await listening.wait_closed()
        self.replicated.close()
        LOGGER.info('stopped')
        self.group.check()

    def reload(self, settings: fleet.FleetSettings) -> None:
        """Take up changed settings: seeds that were not known."""
        LOGGER.info('settings reloaded', extra={'seeds': settings.seeds})
        self.replicated.roster.add_all(settings.seed_hosts)

    def register(
        self,
        registration: registry_pb2.Registration,
        now: float,
    ) -> None:
        """Take an upstream's heartbeat, and tell of it if it says more."""
        registry = self.replicated.registry
        version = registry.version
        taken = registry.record(registration, now)
        if registry.version == version:
            return
        LOGGER.info(
            'upstream registered',
            extra={
                'upstream': registration.id,
                'service': registration.service,
                'leaving': registration.leaving,
                'sequence': registration.sequence,
                'taken': taken,
            },
        )
        self.replicated.watching.wake()

    def deregister(self, upstream: str, now: float) -> None:
        """Take an upstream's word that it ends."""
        if self.replicated.registry.remove(upstream, now):
            LOGGER.info('upstream ended', extra={'upstream': upstream})
            self.replicated.watching.wake()

    def _start_duties(self) -> None:
        outside = self.settings.outside
        if outside is None or REPORTING not in outside.duties:
            return
        sender = platform_client.PlatformClient(
            f'http://{outside.address}',
            self.settings.name,
            self.authority,
            self.dialect.sender_headers,
        )
        reporter = clock_reporter.ClockReporter(
            self.authority,
            self.replicated.clock_usage,
            sender,
            self.dialect.reports,
            usage_counter.SteadyUnixClock(
                clock.monotonic_seconds(),
                clock.unix_milliseconds(),
            ),
            self.settings.bounds.usage_window_seconds,
        )
        self.duties.start(reporter.run(), 'usage reports')


class FleetControlProgram:
    """Run a control member, anew each time that its disk has failed."""

    def __init__(
        self,
        settings: fleet.FleetSettings,
        dialect: PlatformAdapter,
        lock: folder_lock.FolderLock | None = None,
    ) -> None:
        if settings.data_folder is None:
            raise DataFolderMissing(settings.name)
        self.settings = settings
        self.dialect = dialect
        self.folder = settings.data_folder
        # Only the first start may use it; the folder is given up in between.
        self.lock = lock
        self.core: FleetControl | None = None

    async def run(self) -> None:
        """Serve until told to stop."""
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
        """Take up changed settings."""
        self.settings = settings
        if self.core is not None:
            self.core.reload(settings)

    async def _serve(self) -> None:
        lock = self.lock
        self.lock = None
        self.core = FleetControl(self.settings, self.dialect, self.folder, lock)
        await self.core.run()

    def _is_disk_failure(self, error: Exception) -> bool:
        if isinstance(error, files.DiskFailed):
            return True
        if isinstance(error, tasks.TaskFailed):
            core = self.core
            if core is None:
                return False
            failure = core.replicated.member.store.disk.failure
            return isinstance(failure, files.DiskFailed)
        return getattr(error, 'errno', 0) in disk_recovery.DISK_ERRORS


class DataFolderMissing(OSError):
    """A control member has no folder for its state."""

    def __init__(self, name: str) -> None:
        super().__init__(f'{name}: a control member needs a data folder')


def _place_of(
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
        # Members know one another by where they listen.
        name=settings.host,
        data_folder=folder,
        others=others,
        port=settings.control_port,
        fixed=False,
        founding_members=settings.seed_hosts if settings.founds else (),
        heartbeat_seconds=settings.heartbeat_ms / MILLISECONDS_PER_SECOND,
        lock=lock,
    )
