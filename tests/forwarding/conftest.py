"""Factories for upstreams, routes and prompt parts used in tests."""

import dataclasses

from cranberryrill.forwarding import (
    admission,
    caller_request,
    crash_tracker,
    upstreams,
)
from cranberryrill.limits import buffer_budget
from cranberryrill.quarantine import ledger
from cranberryrill.registry import registry_pb2
from cranberryrill.settings import quarantine_limits, response_limits
from cranberryrill.traffic import document


def make_upstream(
    name: str,
    *,
    data_centre: str = 'a',
    slots: int = 8,
    cache_tokens: int = 100_000,
) -> upstreams.Upstream:
    registration = registry_pb2.Registration(
        id=name,
        service='model',
        host='10.0.0.1',
        port=80,
        data_centre=data_centre,
        slots=slots,
        started_unix_ms=1,
    )
    return upstreams.Upstream(registration, cache_tokens)


def make_buffers() -> buffer_budget.BufferBudget:
    return buffer_budget.BufferBudget(
        response_limits.ResponseLimits().total_bytes
    )


def make_route(
    *,
    name: str = 'r',
    target_ms: float = 500,
    repeatable: bool = True,
    streams: bool = False,
    timeout_ms: float = 4000,
    max_attempts: int = 2,
) -> document.Route:
    return document.Route(
        name=name,
        host='a.example',
        path_prefix='/x/',
        shares=(document.Share('model', 1),),
        repeatability=(
            document.Repeatability.idempotent
            if repeatable
            else document.Repeatability.at_most_once
        ),
        streams=streams,
        resumable=streams and repeatable,
        timeout_ms=timeout_ms,
        target_latency_ms=target_ms,
        event_gap_ms=200 if streams else 0,
        max_attempts=max_attempts,
        rank=1,
        anonymous=False,
        sticky=True,
    )


def make_crash_tracker() -> crash_tracker.CrashTracker:
    return crash_tracker.CrashTracker(
        ledger.Ledger(quarantine_limits.QuarantineLimits()), lambda: None
    )


def make_parts(
    session: str, own_tokens: int = 1000
) -> tuple[caller_request.PromptPart, ...]:
    return (
        caller_request.PromptPart('system', 2500),
        caller_request.PromptPart(session, 3800),
        caller_request.PromptPart(f'{session}-own', own_tokens),
    )


def make_admitted(
    metadata: caller_request.Metadata,
    body: bytes = b'',
    target: str = '/x/1',
) -> admission.Admitted:
    return admission.Admitted(
        request=caller_request.Request('POST', target, (), body, 0),
        metadata=metadata,
        route=make_route(),
        service=document.Service('model', '', 0),
        organisation='o',
        rank=1,
        version=1,
        deadline=4,
    )


def with_metadata(
    admitted: admission.Admitted, metadata: caller_request.Metadata
) -> admission.Admitted:
    return dataclasses.replace(admitted, metadata=metadata)
