"""Options of commands that connect to the control members."""

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
    """A required option is missing, or a named file can't be read."""

    message: str

    def __str__(self) -> str:
        """Return the one-line message."""
        return self.message


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Access:
    """Addresses of the control members, and the operators' credentials."""

    control: typing.Annotated[
        tuple[str, ...],
        cyclopts.Parameter(
            help=(
                'URL of a control member, repeated for each; '
                f'or ${CONTROL_VARIABLE}'
            ),
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
        cyclopts.Parameter(
            help="PEM file with the CA certificate of the members' TLS"
        ),
    ] = None


DEFAULT = Access()


def connect(access: Access) -> admin_client.Client:
    """Return a client of the members in `access` or in the environment.

    Exit with `USAGE_ERROR` without an address or a token.
    """
    members = access.control or tuple(
        os.environ.get(CONTROL_VARIABLE, '').replace(',', ' ').split(),
    )
    if not members:
        output.fail(
            InvalidUsage(
                f'give the members by --control or ${CONTROL_VARIABLE}'
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
                InvalidUsage(f'the token file cannot be read: {error}'),
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


def content_or_exit(response: admin_client.Response) -> admin_client.JsonObject:
    """Return the content of a response, or exit with its failure.

    The exit code is `FAILED` for a refusal and `OUTCOME_UNKNOWN` when no
    member answered.
    """
    if response.is_ok():
        return response.unwrap()
    failure = response.unwrap_err()
    if isinstance(failure, admin_client.Refused):
        output.fail(failure)
    output.fail(failure, output.OUTCOME_UNKNOWN)
