"""Show who votes in the replicated group, and change it."""

import dataclasses
import http
import typing

import result
from tornado import web

from cranberryrill import failures
from cranberryrill.administration import base_handler, operations
from cranberryrill.replication import groups, replication_pb2, voter_admission

Verdict = replication_pb2.AdmitAnswer
RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class MemberRequest:
    """Name a member to admit or to dismiss."""

    name: str


@dataclasses.dataclass(frozen=True)
class UnknownMember(failures.Failure):
    """No control member has this name in the leader's settings."""

    code: typing.ClassVar[str] = 'unknown_member'
    status: typing.ClassVar[int] = http.HTTPStatus.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class MembersNotChanged(failures.Failure):
    """The group could not be changed; nothing was."""

    code: typing.ClassVar[str] = 'members_not_changed'
    status: typing.ClassVar[int] = http.HTTPStatus.CONFLICT


@dataclasses.dataclass(frozen=True)
class MembersUnknown(failures.Failure):
    """Nobody can say yet whether the group was changed."""

    code: typing.ClassVar[str] = 'members_unknown'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


class MembersHandler(base_handler.AdministrationHandler):
    """List, admit and dismiss the voters of the group."""

    @property
    def admission(self) -> voter_admission.Admission:
        """Return what changes the group."""
        return typing.cast(
            voter_admission.Admission,
            self.application.settings['admission'],
        )

    def get(self) -> None:
        """List who votes, and what the leader knows of each member."""
        local = self.operations.member
        voters = groups.identities(local.group)
        names = sorted({local.name, *local.peers, *voters})
        self.finish(
            {
                'group': local.group.id,
                'leader': local.leader,
                'members': [self._describe(name, voters) for name in names],
            },
        )

    async def post(self) -> None:
        """Let the data folder that answers under a name vote."""
        asked = self.read_body(MemberRequest)
        if asked is not None:
            self._conclude(await self.admission.admit(asked.name))

    async def delete(self) -> None:
        """Let nobody vote under a name."""
        asked = self.read_body(MemberRequest)
        if asked is not None:
            self._conclude(await self.admission.dismiss(asked.name))

    def _describe(
        self,
        name: str,
        voters: dict[str, str],
    ) -> dict[str, typing.Any]:
        local = self.operations.member
        described: dict[str, typing.Any] = {
            'name': name,
            'voting_identity': voters.get(name, ''),
        }
        known = local.progress.get(name)
        if known is not None and local.leader == local.name:
            described['answering_identity'] = known.identity
            described['stored_index'] = known.match_index
        return described

    def _conclude(self, changed: voter_admission.Changed) -> None:
        if isinstance(changed, result.Ok):
            self.finish({'changed': True})
            return
        failure = changed.err_value
        if failure.verdict == Verdict.UNKNOWN_NAME:
            self.refuse(UnknownMember(str(failure)))
        elif failure.verdict == Verdict.UNKNOWN:
            self.refuse(
                MembersUnknown(
                    str(failure),
                    failures.Ran.unknown,
                    RETRY_SECONDS,
                ),
            )
        else:
            self.refuse(
                MembersNotChanged(
                    str(failure),
                    retry_after_seconds=RETRY_SECONDS,
                ),
            )


def add_routes(
    application: web.Application,
    held: operations.Operations,
    admission: voter_admission.Admission,
) -> None:
    """Serve the members beside the rest of the administration."""
    application.settings['admission'] = admission
    rule = ('/admin/v1/members', MembersHandler, {'held': held})
    application.add_handlers('.*', [rule])
