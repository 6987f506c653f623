"""Show the members and the revision in force in each process."""

import typing

from cranberryrill import clock
from cranberryrill.administration import base_handler
from cranberryrill.membership import membership_pb2
from cranberryrill.membership import timing as membership_timing


class StatusHandler(base_handler.AdministrationHandler):
    """Answer `/admin/v1/status`."""

    def get(self) -> None:
        """Show what this member knows, and whether that is current."""
        local = self.operations.member
        now = clock.monotonic_seconds()
        age = now - local.freshness.as_of
        processes = self.operations.directory.announcements()
        self.finish(
            {
                'member': local.name,
                'standing': local.role.value,
                'leader': local.leader,
                'term': local.term,
                'commit_index': local.commit_index,
                'revision': self.operations.state.configuration.revision,
                'current': age < membership_timing.WATCH_PROOF_TIMEOUT_SECONDS,
                'processes': [
                    _shown(processes[name]) for name in sorted(processes)
                ],
            },
        )


def _shown(known: membership_pb2.Announcement) -> dict[str, typing.Any]:
    return {
        'process': known.process,
        'role': membership_pb2.Role.Name(known.role).lower(),
        'revision': known.revision,
        'data_centre': known.data_centre,
        'target': known.offer.target,
        'leaving': known.leaving,
        'running': known.load.running,
        'waiting': known.load.waiting,
    }
