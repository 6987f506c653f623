"""Run a member's duties towards the platform."""

import asyncio
import dataclasses

from cranberryrill import tasks, transport
from cranberryrill.authority import (
    holder,
    intents,
    platform_client,
    platform_orders,
    timing,
)
from cranberryrill.configuration import state
from cranberryrill.membership import directory
from cranberryrill.provisioning import autoscaler, drainer, planner
from cranberryrill.settings import schema
from cranberryrill.usage import window_reporter, windows


@dataclasses.dataclass(frozen=True)
class DutyState:
    """Hold the state that the duties act on."""

    serving: state.ConfigurationState
    directory: directory.Directory
    orders: intents.AuthorityState
    usage: windows.UsageState


class PlatformDuties:
    """Order upstreams and report usage while this member is in charge."""

    def __init__(
        self,
        settings: schema.ControlSettings,
        dialer: transport.Dialer,
        authority: holder.Authority,
        held: DutyState,
    ) -> None:
        self.settings = settings
        self.dialer = dialer
        self.authority = authority
        self.held = held
        self.group = tasks.TaskGroup()
        self.duties = tasks.TaskGroup()

    def start(self) -> None:
        """Start the duties, if there is a platform."""
        self.group.start(self.authority.run(), 'authority')
        platform = self.settings.platform
        if platform is None:
            return
        sender = platform_client.PlatformClient(
            platform.base_url,
            self.settings.process.name,
            self.authority,
        )
        reporter = window_reporter.Reporter(
            self.authority,
            self.held.usage,
            sender,
            platform.window_seconds,
        )
        self.duties.start(reporter.run(), 'reports')
        orders = self._ordering(sender, platform.start_up_seconds)
        self.duties.start(orders.run(), 'orders')

    async def stop(self) -> None:
        """Let the messages on their way be answered, and send no more."""
        self.authority.stopping = True
        unfinished = list(self.duties.tasks)
        if unfinished:
            await asyncio.wait(unfinished, timeout=timing.STOP_TIMEOUT_SECONDS)
        await self.duties.cancel()
        await self.group.cancel()

    def _ordering(
        self,
        sender: platform_client.PlatformClient,
        start_up_seconds: float,
    ) -> platform_orders.OrderDispatcher:
        held = self.held
        return platform_orders.OrderDispatcher(
            self.authority,
            held.orders,
            sender,
            planner.Planner(
                held.directory,
                held.serving,
                held.orders,
                autoscaler.ScalingParameters(start_up_seconds=start_up_seconds),
            ),
            drainer.Drainer(
                self.settings.process.name,
                held.directory,
                self.dialer,
            ),
        )
