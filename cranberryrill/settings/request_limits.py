"""Limits on what all callers together may make a process hold."""

import dataclasses
import typing

import pydantic


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Most bytes of requests that are held at once."""

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    total_bytes: typing.Annotated[
        int,
        pydantic.Field(
            description='most that the bodies of all open requests hold, bytes',
            gt=0,
        ),
    ] = 25_165_824
