"""Decide whether a request is admitted, and with which route and deadline."""

import dataclasses
import functools

import result

from cranberryrill import failures
from cranberryrill.forwarding import caller_request, http_names
from cranberryrill.quarantine import request_key
from cranberryrill.traffic import document, route_table

MILLISECONDS_PER_SECOND = 1000
# The deadline is this long before the caller's own, since the response takes
# time to reach the caller.
RESPONSE_MARGIN_SECONDS = 0.01
# Longest time from an entry's start until it proves that its configuration is
# in force, if the control members start at the same time: 0.3 s until they
# vote, an election, and a push of the configuration.
MAX_FIRST_PROOF_SECONDS = 0.8
# Most entries prove it within this time.
TYPICAL_FIRST_PROOF_SECONDS = 0.5
# Each request that waits for the first proof keeps its body in memory.
MAX_REQUESTS_AWAITING_PROOF = 256
# The load balancer probes readiness every second and removes a process after
# two failures; a request that it has sent may arrive a little later.
OUT_OF_ROTATION_SECONDS = 2.6
MAX_ROTATION_SHARE = 0.35
# Open answers end this long before the supervisor kills the process.
MAX_KILL_MARGIN_SECONDS = 0.5
KILL_MARGIN_SHARE = 0.08
# Short, since other processes can serve the request at once.
STOPPING_RETRY_AFTER_SECONDS = 0.02


@dataclasses.dataclass(frozen=True)
class Admitted:
    """An admitted request, with its route, service, organisation and rank.

    `organisation` is empty for an anonymous request; `version` is that of the
    configuration that admitted it. A lower `rank` is more urgent.
    """

    request: caller_request.Request
    metadata: caller_request.Metadata
    route: document.Route
    service: document.Service
    organisation: str
    rank: int
    version: int
    # Latest time of the final response, on the monotonic clock.
    deadline: float
    # Regions that the homes of the route and the organisation allow; None for
    # all.
    regions: frozenset[str] | None = None

    @functools.cached_property
    def head_key(self) -> str:
        """Return the key that repeats share, whatever their bodies are."""
        return request_key.head_key(
            self.request.method,
            self.request.target,
            self.organisation or self.metadata.key or '',
        )

    @functools.cached_property
    def full_key(self) -> str:
        """Return the key that only repeats of this request share."""
        return request_key.full_key(self.head_key, self.request.body)


def admit(
    request: caller_request.Request,
    names: http_names.HttpNames,
    table: route_table.RouteTable,
    sampled: float,
) -> result.Result[Admitted, failures.Failure]:
    """Admit a request, or return the reason for its refusal.

    `sampled`, a random number from 0 to 1, selects a service by the route's
    shares.
    """
    if not table.document.version:
        return result.Err(not_serving_refusal('no configuration is known yet'))
    route = table.route_for(request.header('host') or '', request.path)
    if route is None:
        return result.Err(failures.UnknownRoute('no route covers this path'))
    metadata = caller_request.read_metadata(request, names)
    organisation = (
        table.organisation_for(metadata.key) if metadata.key else None
    )
    if organisation is None and _needs_known_key(metadata, route, table):
        return result.Err(_key_refusal(metadata))
    service = table.services[route_table.choose_service(route.shares, sampled)]
    return result.Ok(
        Admitted(
            request=request,
            metadata=metadata,
            route=route,
            service=service,
            organisation=organisation.name if organisation else '',
            rank=_rank_of(route, organisation),
            version=table.document.version,
            deadline=_deadline_of(request, metadata, route),
            regions=allowed_regions(route, organisation),
        ),
    )


@dataclasses.dataclass(frozen=True)
class Shutdown:
    """Times of a process that is stopping, on the monotonic clock.

    From `out_of_rotation_at` the load balancer no longer selects the process;
    at `drain_deadline` it ends.
    """

    out_of_rotation_at: float
    drain_deadline: float


def plan_shutdown(stopping_at: float, grace_seconds: float) -> Shutdown:
    """Return the times of a process that the supervisor kills after a grace.

    Open answers go on nearly until then. With a short grace, requests are
    refused before the balancer has certainly removed the process.
    """
    kill_margin = min(
        MAX_KILL_MARGIN_SECONDS, grace_seconds * KILL_MARGIN_SHARE
    )
    out_of_rotation = min(
        OUT_OF_ROTATION_SECONDS, grace_seconds * MAX_ROTATION_SHARE
    )
    return Shutdown(
        stopping_at + out_of_rotation, stopping_at + grace_seconds - kill_margin
    )


def can_finish(
    admitted: Admitted, shutdown: Shutdown | None, now: float
) -> bool:
    """Return whether a request can be completed before this process ends.

    Until the balancer has removed the process, every request is served.
    """
    if shutdown is None or now < shutdown.out_of_rotation_at:
        return True
    return admitted.deadline <= shutdown.drain_deadline


def stopping_refusal() -> failures.NotServing:
    """Return the refusal of a process that ends before the request would."""
    return failures.NotServing(
        'this process is stopping',
        retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS,
    )


def not_serving_refusal(cause: str) -> failures.NotServing:
    """Return the refusal of a process that can't prove its configuration.

    After a power loss, callers send requests as soon as the process listens.
    All get the same retry delay, after which the process can usually serve.
    This keeps the retries as far apart as the requests; a shorter delay for
    later requests would make all of them arrive at once.
    """
    return failures.NotServing(
        cause, retry_after_seconds=MAX_FIRST_PROOF_SECONDS
    )


def first_proof_wait(
    uptime: float,
    seconds_left: float,
    awaiting_count: int,
) -> float:
    """Return how long a request may wait for the first proof, in seconds.

    After a power loss, requests arrive as soon as the process listens, half a
    second before it may serve. A request that can be answered after the wait
    is answered sooner than by a retry. The result is 0 if too little time would
    be left, if the typical time has passed, or if too many requests wait.
    """
    wait = TYPICAL_FIRST_PROOF_SECONDS - uptime
    if wait <= 0 or awaiting_count >= MAX_REQUESTS_AWAITING_PROOF:
        return 0
    return wait if wait + RESPONSE_MARGIN_SECONDS < seconds_left else 0


def allowed_regions(
    route: document.Route,
    organisation: document.Organisation | None,
) -> frozenset[str] | None:
    """Return the regions that all homes have in common."""
    homes = [route.regions, organisation.regions if organisation else ()]
    named = [frozenset(regions) for regions in homes if regions]
    return frozenset.intersection(*named) if named else None


def _needs_known_key(
    metadata: caller_request.Metadata,
    route: document.Route,
    table: route_table.RouteTable,
) -> bool:
    """Return whether a request without a known key is refused.

    A key that nobody holds is refused on every route: it may be a withdrawn
    one, whose holder would go on unidentified.
    """
    if metadata.key is not None:
        return True
    return bool(table.document.organisations) and not route.anonymous


def _key_refusal(metadata: caller_request.Metadata) -> failures.Failure:
    if metadata.key is not None:
        return failures.InvalidKey('the key is unknown or withdrawn')
    return failures.MissingKey('a key is needed')


def _rank_of(
    route: document.Route,
    organisation: document.Organisation | None,
) -> int:
    if organisation is None or organisation.rank is None:
        return route.rank
    return organisation.rank


def _deadline_of(
    request: caller_request.Request,
    metadata: caller_request.Metadata,
    route: document.Route,
) -> float:
    timeout_seconds = route.timeout_ms / MILLISECONDS_PER_SECOND
    if metadata.deadline_ms is not None:
        wait_seconds = metadata.deadline_ms / MILLISECONDS_PER_SECOND
        timeout_seconds = min(
            timeout_seconds, max(wait_seconds - RESPONSE_MARGIN_SECONDS, 0)
        )
    return request.received_at + timeout_seconds
