"""Record what the head of a response says about its upstream."""

import http

from cranberryrill.forwarding import (
    exchange,
    http_names,
    named_limit,
    response_kind,
    upstreams,
)
from cranberryrill.limits import retry_after

# Value of the header with which an upstream says that it leaves.
LEAVING = '1'


def record(
    call: exchange.Exchange,
    upstream: upstreams.Upstream,
    attempt_id: str,
    names: http_names.HttpNames,
    now: float,
) -> response_kind.Kind:
    """Record the head of a response; return the kind of the response."""
    load = call.header(names.load) or ''
    upstream.record_load(load, now)
    kind = response_kind.classify(call, attempt_id, names)
    is_own = kind is not response_kind.Kind.foreign
    if is_own:
        upstream.record_work(load, now)
    is_pause = False
    if is_own and call.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        upstream.mark_replaced(now)
    elif is_own:
        limit = named_limit.read_limit(call.header(names.limit), upstream.id)
        upstream.record_limit(limit, now)
        upstream.record_cold(call.header(names.cold), now)
        if call.take_header(names.leaving) == LEAVING:
            upstream.record_leaving(now)
        is_pause = _record_pause(call, upstream, now)
    if kind is not response_kind.Kind.rejected and not is_pause:
        upstream.record_outcome(
            now, failed=kind is not response_kind.Kind.success
        )
    return kind


def _record_pause(
    call: exchange.Exchange, upstream: upstreams.Upstream, now: float
) -> bool:
    """Record a pause, if the response asks for one; return whether it does.

    That is no failure of the upstream.
    """
    if call.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    seconds = retry_after.read_pause(call.header('retry-after'), upstream.id)
    if not seconds:
        return False
    upstream.record_pause(seconds, now)
    return True
