"""Classify an upstream's response by its status and headers."""

import enum
import http

from cranberryrill import failures
from cranberryrill.forwarding import exchange, http_names

MIN_FAILURE_STATUS = http.HTTPStatus.MULTIPLE_CHOICES


class Kind(enum.Enum):
    """Outcome of a request according to the head of its response."""

    # The upstream processed the request successfully.
    success = 'success'
    # The upstream processed the request and reports a failure.
    failure = 'failure'
    # The upstream did not execute the request and never will.
    rejected = 'rejected'
    # The status tells callers that the request did not run, without proof.
    unproved = 'unproved'
    # The response does not, or not provably, belong to this request.
    foreign = 'foreign'


def classify(
    call: exchange.Exchange,
    attempt_id: str,
    names: http_names.HttpNames,
) -> Kind:
    """Classify a response whose head has been received.

    A response is foreign if it echoes another attempt id, has a content
    encoding, or reports success without an upstream's signature. A rejection
    must echo the attempt id: one of an earlier request proves nothing. A status
    alone is no proof, except that of a misdirected request.
    """
    echoed_id = call.header(names.attempt)
    if echoed_id is not None and attempt_id and echoed_id != attempt_id:
        return Kind.foreign
    if call.header('content-encoding') is not None:
        return Kind.foreign
    is_rejection = (
        call.status == http.HTTPStatus.MISDIRECTED_REQUEST
        or call.header(names.not_executed) is not None
    )
    if is_rejection:
        is_own = (echoed_id or '') == attempt_id
        return Kind.rejected if is_own else Kind.foreign
    if call.status in failures.NOT_RUN_STATUSES:
        return Kind.unproved
    if call.status >= MIN_FAILURE_STATUS:
        return Kind.failure
    if call.header(names.signature) is None:
        return Kind.foreign
    return Kind.success
