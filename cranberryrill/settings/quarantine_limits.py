"""Limits of the quarantine of requests that crash upstreams."""

import dataclasses
import typing

import pydantic


@dataclasses.dataclass(frozen=True)
class QuarantineLimits:
    """When prompt parts and requests are quarantined, and for how long."""

    __pydantic_config__ = pydantic.ConfigDict(extra='forbid')

    crashes: typing.Annotated[
        int,
        pydantic.Field(
            description='upstreams that end, one after the other, under a'
            ' prompt part until requests with it are refused; 0: none are',
            ge=0,
        ),
    ] = 4
    request_crashes: typing.Annotated[
        int,
        pydantic.Field(
            description='upstreams that end, one after the other, under one'
            ' request and its repeats until it is refused; 0: none is',
            ge=0,
        ),
    ] = 3
    idle_seconds: typing.Annotated[
        float,
        pydantic.Field(
            description='time without such requests until a quarantine ends',
            gt=0,
        ),
    ] = 900
    evidence_seconds: typing.Annotated[
        float,
        pydantic.Field(description='how long a crash counts, in seconds', gt=0),
    ] = 600
    max_parts: typing.Annotated[
        int,
        pydantic.Field(
            description='prompt parts on which evidence is kept', ge=1
        ),
    ] = 1024
    max_requests: typing.Annotated[
        int,
        pydantic.Field(description='requests on which evidence is kept', ge=1),
    ] = 1024

    def crashes_for(self, *, is_request: bool) -> int:
        """Return how many crashes make a request, or a part, be refused."""
        return self.request_crashes if is_request else self.crashes
