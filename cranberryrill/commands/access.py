"""Find the control members and the operators' token."""

import dataclasses
import os
import pathlib
import typing

import cyclopts

from cranberryrill.commands import admin_client, output

TOKEN_VARIABLE = 'CRANBERRYRILL_TOKEN'  # noqa: S105
CONTROL_VARIABLE = 'CRANBERRYRILL_CONTROL'


@dataclasses.dataclass(frozen=True)
class InvalidUsage:
    """The command lacks what it needs to reach the members."""

    lacking: str

    def __str__(self) -> str:
        """Explain the failure in one line."""
        return self.lacking


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Access:
    """Say where the members are and how to prove who asks."""

    control: typing.Annotated[
        tuple[str, ...],
        cyclopts.Parameter(
            help=f'URL of a member, again for each; or ${CONTROL_VARIABLE}',
        ),
    ] = ()
    token_file: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(
            help=f"file with the operators' token; or ${TOKEN_VARIABLE}",
        ),
    ] = None
    authority: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(help="PEM file that vouches for the members' TLS"),
    ] = None


DEFAULT = Access()


def connect(access: Access) -> admin_client.Client:
    """Return a client, or end the command when something is missing."""
    members = access.control or tuple(
        os.environ.get(CONTROL_VARIABLE, '').replace(',', ' ').split(),
    )
    if not members:
        output.fail(
            InvalidUsage(
                f'name the members by --control or ${CONTROL_VARIABLE}'
            ),
            output.USAGE_ERROR,
        )
    return admin_client.Client(
        members, _token(access.token_file), access.authority
    )


def _token(path: pathlib.Path | None) -> str:
    if path is None:
        token = os.environ.get(TOKEN_VARIABLE, '')
    else:
        try:
            token = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            output.fail(
                InvalidUsage(f'the token file can not be read: {error}'),
                output.USAGE_ERROR,
            )
    if not token.strip():
        output.fail(
            InvalidUsage(
                f'give the token by --token-file or ${TOKEN_VARIABLE}',
            ),
            output.USAGE_ERROR,
        )
    return token.strip()


def content_or_exit(asked: admin_client.Response) -> admin_client.JsonObject:
    """Return the answer, or end the command with its failure."""
    if asked.is_ok():
        return asked.unwrap()
    failure = asked.unwrap_err()
    if isinstance(failure, admin_client.Refused):
        output.fail(failure)
    output.fail(failure, output.OUTCOME_UNKNOWN)
