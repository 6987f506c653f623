"""Administration API: the voting members of the control group."""

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
    """Body of a request to admit or dismiss the member `name`."""

    name: str


@dataclasses.dataclass(frozen=True)
class UnknownMember(failures.Failure):
    """The leader's settings have no control member of this name."""

    code: typing.ClassVar[str] = 'unknown_member'
    status: typing.ClassVar[int] = http.HTTPStatus.NOT_FOUND


@dataclasses.dataclass(frozen=True)
class MembersNotChanged(failures.Failure):
    """The group could not be changed and stays as it was."""

    code: typing.ClassVar[str] = 'members_not_changed'
    status: typing.ClassVar[int] = http.HTTPStatus.CONFLICT


@dataclasses.dataclass(frozen=True)
class MembersUnknown(failures.Failure):
    """The outcome is unknown: the group may have been changed."""

    code: typing.ClassVar[str] = 'members_unknown'
    status: typing.ClassVar[int] = http.HTTPStatus.SERVICE_UNAVAILABLE


class MembersHandler(base_handler.AdministrationHandler):
    """Handler of `/admin/v1/members`."""

    @property
    def admission(self) -> voter_admission.Admission:
        """Return the object that admits and dismisses voters."""
        return typing.cast(
            voter_admission.Admission,
            self.application.settings['admission'],
        )

    def get(self) -> None:
        """Return every voter, peer and this member, sorted by name.

        The leader adds the identity that answers under each name and the
        last log index stored there.
        """
        local = self.operations.member
        voters = groups.identities(local.group)
        names = sorted({local.name, *local.peers, *voters})
        self.finish(
            {
                'group': local.group.id,
                'leader': local.leader,
                'members': [
                    self._member_fields(name, voters) for name in names
                ],
            },
        )

    async def post(self) -> None:
        """Admit the data folder that answers under the name as a voter."""
        request = self.read_body(MemberRequest)
        if request is not None:
            self._respond(await self.admission.admit(request.name))

    async def delete(self) -> None:
        """Remove the voter of the name from the group."""
        request = self.read_body(MemberRequest)
        if request is not None:
            self._respond(await self.admission.dismiss(request.name))

    def _member_fields(
        self,
        name: str,
        voters: dict[str, str],
    ) -> dict[str, typing.Any]:
        local = self.operations.member
        fields: dict[str, typing.Any] = {
            'name': name,
            'voting_identity': voters.get(name, ''),
        }
        progress = local.progress.get(name)
        if progress is not None and local.leader == local.name:
            fields['answering_identity'] = progress.identity
            fields['stored_index'] = progress.match_index
        return fields

    def _respond(self, outcome: voter_admission.Changed) -> None:
        if isinstance(outcome, result.Ok):
            self.finish({'changed': True})
            return
        failure = outcome.err_value
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
    admin_operations: operations.Operations,
    admission: voter_admission.Admission,
) -> None:
    """Add `/admin/v1/members` to the administration API."""
    application.settings['admission'] = admission
    route = (
        '/admin/v1/members',
        MembersHandler,
        {'admin_operations': admin_operations},
    )
    application.add_handlers('.*', [route])
