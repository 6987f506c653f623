"""Limits on what an upstream may send as the response to one request.

An upstream in trouble may send bytes without end. The limits bound what a
process reads and keeps of them; the deadline of the request bounds the time.
"""

import dataclasses
import typing

import pydantic


@dataclasses.dataclass(frozen=True)
class ResponseLimits:
    """Largest sizes of a response, its parts and all of them, in bytes."""

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    head_bytes: typing.Annotated[
        int,
        pydantic.Field(
            description='largest head, with interim responses and trailers, '
            'bytes',
            gt=0,
        ),
    ] = 65_536
    body_bytes: typing.Annotated[
        int,
        pydantic.Field(description='largest body, bytes', gt=0),
    ] = 67_108_864
    event_bytes: typing.Annotated[
        int,
        pydantic.Field(description='largest event of a stream, bytes', gt=0),
    ] = 1_048_576
    total_bytes: typing.Annotated[
        int,
        pydantic.Field(
            description='most that all responses of the process hold until '
            'they are passed on, bytes',
            gt=0,
        ),
    ] = 25_165_824
