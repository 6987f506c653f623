"""Administration API: the state of this member and of all processes."""

import typing

from cranberryrill import clock
from cranberryrill.administration import base_handler
from cranberryrill.membership import membership_pb2
from cranberryrill.membership import timing as membership_timing


class StatusHandler(base_handler.AdministrationHandler):
    """Handler of `/admin/v1/status`."""

    def get(self) -> None:
        """Return the state of this member and of the processes it tracks.

        `current` is true if this member was proved current within the last
        `WATCH_PROOF_TIMEOUT_SECONDS`.
        """
        local = self.operations.member
        now = clock.monotonic_seconds()
        proof_age = now - local.freshness.as_of
        processes = self.operations.directory.announcements()
        self.finish(
            {
                'member': local.name,
                'standing': local.role.value,
                'leader': local.leader,
                'term': local.term,
                'commit_index': local.commit_index,
                'revision': self.operations.state.configuration.revision,
                'current': proof_age
                < membership_timing.WATCH_PROOF_TIMEOUT_SECONDS,
                'processes': [
                    _process_fields(processes[name])
                    for name in sorted(processes)
                ],
            },
        )


def _process_fields(
    announcement: membership_pb2.Announcement,
) -> dict[str, typing.Any]:
    return {
        'process': announcement.process,
        'role': membership_pb2.Role.Name(announcement.role).lower(),
        'revision': announcement.revision,
        'data_centre': announcement.data_centre,
        'target': announcement.offer.target,
        'leaving': announcement.leaving,
        'running': announcement.load.running,
        'waiting': announcement.load.waiting,
    }
