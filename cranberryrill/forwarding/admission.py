"""Decide whether a request is taken, and under which terms."""

import dataclasses

import result

from cranberryrill import failures
from cranberryrill.forwarding import http_names, terms
from cranberryrill.traffic import document, route_table

MILLISECONDS_PER_SECOND = 1000
# A caller is answered this long before it stops waiting: the answer has to
# reach it. In seconds.
ANSWER_MARGIN = 0.01
# An entry proves its configuration this long after its start at the latest, in
# seconds, if the members start with it: 0.3 s until votes, an election, a push.
PROOF_EXPECTED = 0.8
# Most of them prove it within this time.
PROOF_MOSTLY = 0.5
# Requests that wait for the first proof at once; each keeps its body in memory.
AWAITING_MOST = 256
# Other processes serve at once.
RETRY_STOPPING = 0.02


@dataclasses.dataclass(frozen=True)
class Admitted:
    """Hold a request that is taken, with all that was decided about it."""

    request: terms.Request
    terms: terms.Terms
    route: document.Route
    service: document.Service
    organisation: str
    rank: int
    version: int
    # When the caller gets its final answer at the latest.
    answer_by: float


def admit(
    request: terms.Request,
    names: http_names.HttpNames,
    table: route_table.RouteTable,
    drawn: float,
) -> result.Result[Admitted, failures.Failure]:
    """Take a request, or say why not; `drawn` chooses among the services."""
    if not table.document.version:
        return result.Err(not_serving('no configuration is known yet'))
    route = table.route_for(request.first('host') or '', request.path)
    if route is None:
        return result.Err(failures.UnknownRoute('no route covers this path'))
    asked = terms.read(request, names)
    organisation = table.organisation_for(asked.key) if asked.key else None
    if organisation is None and table.document.organisations:
        if not route.anonymous:
            return result.Err(_no_organisation(asked))
    service = table.services[route_table.choose_service(route.shares, drawn)]
    return result.Ok(
        Admitted(
            request=request,
            terms=asked,
            route=route,
            service=service,
            organisation=organisation.name if organisation else '',
            rank=_rank_of(route, organisation),
            version=table.document.version,
            answer_by=_answer_by(request, asked, route),
        ),
    )


@dataclasses.dataclass(frozen=True)
class Stop:
    """Say when a stopping process is out of the balancer and when it ends."""

    out_at: float
    ends_at: float


def may_finish(admitted: Admitted, stop: Stop | None, now: float) -> bool:
    """Say whether a request can run to its end in this process.

    While callers may not know better than to come here, all are served.
    """
    if stop is None or now < stop.out_at:
        return True
    return admitted.answer_by <= stop.ends_at


def stopping() -> failures.NotServing:
    """Return the refusal of a process that ends before the request would."""
    return failures.NotServing(
        'this process is stopping',
        retry_after_seconds=RETRY_STOPPING,
    )


def not_serving(cause: str) -> failures.NotServing:
    """Return the refusal of a process that can't prove what is in force.

    Answers a loss of power: callers press from the moment at which the process
    listens. They come back when it mostly can serve, and as far apart as they
    came: a shorter time for those who came later would bring all at once.
    """
    return failures.NotServing(cause, retry_after_seconds=PROOF_EXPECTED)


def first_proof_wait(
    started_for: float,
    time_left: float,
    awaiting: int,
) -> float:
    """Return how long a request may wait for a process's first proof.

    Answers a loss of power: callers come as soon as a process listens, half a
    second before it may serve. One that can be answered after the wait has its
    answer sooner than if it were sent away; one that can't is told so at once.
    """
    wait = PROOF_MOSTLY - started_for
    if wait <= 0 or awaiting >= AWAITING_MOST:
        return 0
    return wait if wait + ANSWER_MARGIN < time_left else 0


def _no_organisation(asked: terms.Terms) -> failures.Failure:
    if asked.key:
        return failures.InvalidKey('the key is unknown or withdrawn')
    return failures.MissingKey('a key is needed')


def _rank_of(
    route: document.Route,
    organisation: document.Organisation | None,
) -> int:
    if organisation is None or organisation.rank is None:
        return route.rank
    return organisation.rank


def _answer_by(
    request: terms.Request,
    asked: terms.Terms,
    route: document.Route,
) -> float:
    allowed = route.timeout_ms / MILLISECONDS_PER_SECOND
    if asked.deadline_ms is not None:
        waits = asked.deadline_ms / MILLISECONDS_PER_SECOND
        allowed = min(allowed, max(waits - ANSWER_MARGIN, 0))
    return request.received_at + allowed
