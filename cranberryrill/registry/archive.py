"""Keep the registrations of a control member for its next start.

After a loss of power of all members, each upstream would be unknown until its
next heartbeat, and entries would send the load of all to the few that are known
already. The archive is written only when a change affects routing.
"""

import asyncio
import logging
import pathlib

from google.protobuf import message

from cranberryrill.registry import registry_pb2, table
from cranberryrill.replication import files

LOGGER = logging.getLogger(__name__)
FILE_NAME = 'registrations'
WRITE_PERIOD_SECONDS = 0.5
# Pause after a failed write; the archive can be done without.
FAILURE_PAUSE_SECONDS = 5.0


class RegistrationArchive:
    """File with the registrations of a member that had not ended."""

    def __init__(
        self, folder: pathlib.Path, registry: table.RegistrationTable
    ) -> None:
        self.path = folder / FILE_NAME
        self.registry = registry
        # Table version that was written last.
        self.written_version = registry.version

    def restore(self, now: float) -> int:
        """Register the archived upstreams; return how many.

        Those that send no heartbeat soon expire. A file that can't be read is
        ignored: heartbeats bring all registrations again.
        """
        try:
            content = files.read_one(self.path)
            dump = registry_pb2.RegistrationsDump.FromString(content or b'')
        except (OSError, files.CorruptRecord, message.DecodeError) as error:
            LOGGER.warning(
                'archived registrations not read', extra={'cause': str(error)}
            )
            return 0
        for registration in dump.registrations:
            self.registry.restore(registration, now)
        self.written_version = self.registry.version
        LOGGER.info(
            'registrations restored', extra={'count': len(dump.registrations)}
        )
        return len(dump.registrations)

    async def run(self) -> None:
        """Write the registrations after changes until cancelled."""
        while True:
            await asyncio.sleep(WRITE_PERIOD_SECONDS)
            if self.registry.version == self.written_version:
                continue
            version = self.registry.version
            try:
                await asyncio.to_thread(
                    files.replace, self.path, self._content()
                )
            except OSError as error:
                LOGGER.warning(
                    'registrations not archived', extra={'cause': str(error)}
                )
                await asyncio.sleep(FAILURE_PAUSE_SECONDS)
                continue
            self.written_version = version

    def _content(self) -> bytes:
        dump = registry_pb2.RegistrationsDump(
            registrations=self.registry.registrations().values()
        )
        return dump.SerializeToString()
