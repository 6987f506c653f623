"""Bodies of the requests to the administration API."""

import dataclasses
import sys
import typing

import pydantic

from cranberryrill.configuration import document

MAX_OPERATOR_CHARACTERS = 128
MAX_REVISION = sys.maxsize
STRICT = pydantic.ConfigDict(extra='forbid')
ChangeId = typing.Annotated[
    str,
    pydantic.Field(
        description='identifies the change, also when it is sent again',
        pattern='^[!-~]{1,128}$',
    ),
]
Operator = typing.Annotated[
    str,
    pydantic.Field(max_length=MAX_OPERATOR_CHARACTERS),
]
Digest = typing.Annotated[
    str,
    pydantic.Field(
        description='hex SHA-256 of a key; empty: the server generates the key',
        pattern='^([0-9a-f]{64})?$',
    ),
]
Revision = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_REVISION)]


@dataclasses.dataclass(frozen=True)
class ApplyRequest:
    """Put a configuration document in force."""

    __pydantic_config__ = STRICT

    document: str
    base_revision: Revision
    change_id: ChangeId
    operator: Operator = ''
    wait: bool = False


@dataclasses.dataclass(frozen=True)
class KeyRequest:
    """Issue a key.

    With `sha256`, the operator generated the key and sends only its digest.
    """

    __pydantic_config__ = STRICT

    name: document.Name
    organisation: document.Name
    change_id: ChangeId
    sha256: Digest = ''
    operator: Operator = ''
    wait: bool = False


@dataclasses.dataclass(frozen=True)
class WithdrawRequest:
    """Withdraw a key."""

    __pydantic_config__ = STRICT

    name: document.Name
    change_id: ChangeId
    operator: Operator = ''
    wait: bool = False
