"""Open many watches of the control group from one process.

Each watch works as that of an entry or agent.
"""

import asyncio
import pathlib
import random
import signal
from collections import abc

import cyclopts

from cranberryrill import tasks, transport
from cranberryrill.membership import membership_pb2, serving_lease
from cranberryrill.settings import loader, schema

APP = cyclopts.App(
    name='watchers', help='Open many watches of the control group.'
)
HOST = '127.0.0.1'


class Watcher:
    """Simulated agent that announces itself and does nothing but watch."""

    def __init__(
        self,
        name: str,
        dialer: transport.Dialer,
        control: abc.Sequence[transport.Address],
    ) -> None:
        self.name = name
        self.lease_holder = serving_lease.Holder(
            dialer,
            control,
            self.announcement,
            random.Random(name),
        )

    def announcement(self) -> membership_pb2.Announcement:
        """Return the announcement that is sent to the control group."""
        return membership_pb2.Announcement(
            process=self.name,
            incarnation=f'{self.name}-1',
            role=membership_pb2.Role.AGENT,
            host=HOST,
            port=1,
            data_centre='dc-1',
            offer=membership_pb2.Offer(target='wobble', slots=1),
            revision=self.lease_holder.configuration.revision,
        )


async def _run_watchers(settings: schema.EntrySettings, count: int) -> None:
    dialer = transport.Dialer(settings.process.tls)
    group = tasks.TaskGroup()
    for number in range(count):
        name = f'{settings.process.name}-{number}'
        watcher = Watcher(name, dialer, settings.control)
        group.start(watcher.lease_holder.run(), name)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await group.cancel()


@APP.default
def run(path: pathlib.Path, count: int) -> None:
    """Open `count` watches with the settings of an entry, until SIGTERM."""
    settings = loader.read_file(path, schema.EntrySettings)
    asyncio.run(_run_watchers(settings.unwrap(), count))


if __name__ == '__main__':
    APP()
