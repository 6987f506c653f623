"""Define what operators may ask for."""

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
        description='identifies the change, however often it is sent',
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
        description='hex SHA-256 of a key; empty: make the key here',
        pattern='^([0-9a-f]{64})?$',
    ),
]
Revision = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_REVISION)]


@dataclasses.dataclass(frozen=True)
class ApplyRequest:
    """Ask for a document to be put in force."""

    __pydantic_config__ = STRICT

    document: str
    base_revision: Revision
    change_id: ChangeId
    operator: Operator = ''
    wait: bool = False


@dataclasses.dataclass(frozen=True)
class KeyRequest:
    """Ask for a key to be issued; a digest keeps the key itself local."""

    __pydantic_config__ = STRICT

    name: document.Name
    organisation: document.Name
    change_id: ChangeId
    sha256: Digest = ''
    operator: Operator = ''
    wait: bool = False


@dataclasses.dataclass(frozen=True)
class WithdrawRequest:
    """Ask for a key to be withdrawn."""

    __pydantic_config__ = STRICT

    name: document.Name
    change_id: ChangeId
    operator: Operator = ''
    wait: bool = False
