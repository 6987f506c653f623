"""Duties of a control member towards the platform: orders and reports."""

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
    """The replicated state and the directory that the duties read."""

    configuration: state.ConfigurationState
    directory: directory.Directory
    orders: intents.AuthorityState
    usage: windows.UsageState


class PlatformDuties:
    """Orders upstreams and reports usage while this member has authority."""

    def __init__(
        self,
        settings: schema.ControlSettings,
        dialer: transport.Dialer,
        authority: holder.Authority,
        duty_state: DutyState,
    ) -> None:
        self.settings = settings
        self.dialer = dialer
        self.authority = authority
        self.duty_state = duty_state
        self.group = tasks.TaskGroup()
        self.duties = tasks.TaskGroup()

    def start(self) -> None:
        """Track authority, and start the duties if a platform is configured."""
        self.group.start(self.authority.run(), 'authority')
        platform = self.settings.platform
        if platform is None:
            return
        client = platform_client.PlatformClient(
            platform.base_url,
            self.settings.process.name,
            self.authority,
        )
        reporter = window_reporter.Reporter(
            self.authority,
            self.duty_state.usage,
            client,
            platform.window_seconds,
        )
        self.duties.start(reporter.run(), 'reports')
        order_dispatcher = self._make_dispatcher(
            client, platform.start_up_seconds
        )
        self.duties.start(order_dispatcher.run(), 'orders')

    async def stop(self) -> None:
        """Send no more messages, and wait for answers to those in flight.

        The wait is limited to `timing.STOP_TIMEOUT_SECONDS`.
        """
        self.authority.stopping = True
        open_duties = list(self.duties.tasks)
        if open_duties:
            await asyncio.wait(open_duties, timeout=timing.STOP_TIMEOUT_SECONDS)
        await self.duties.cancel()
        await self.group.cancel()

    def _make_dispatcher(
        self,
        client: platform_client.PlatformClient,
        start_up_seconds: float,
    ) -> platform_orders.OrderDispatcher:
        duty_state = self.duty_state
        return platform_orders.OrderDispatcher(
            self.authority,
            duty_state.orders,
            client,
            planner.Planner(
                duty_state.directory,
                duty_state.configuration,
                duty_state.orders,
                autoscaler.ScalingParameters(start_up_seconds=start_up_seconds),
            ),
            drainer.Drainer(
                self.settings.process.name,
                duty_state.directory,
                self.dialer,
            ),
        )
