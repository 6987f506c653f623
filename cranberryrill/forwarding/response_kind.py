"""Say what an upstream's answer means."""

import enum
import http

from cranberryrill.forwarding import exchange, http_names

LEAST_FAILURE = http.HTTPStatus.MULTIPLE_CHOICES


class ResponseKind(enum.Enum):
    """Say what is known once the head of an answer is there."""

    # The request ran, and the answer is good.
    success = 'success'
    # The request ran, and the upstream says that it failed.
    failure = 'failure'
    # The upstream did not run the request and never will.
    rejected = 'rejected'
    # What arrived is not the answer to this request.
    foreign = 'foreign'


def classify(
    answered: exchange.Exchange,
    attempt: str,
    names: http_names.HttpNames,
) -> ResponseKind:
    """Judge an answer by its head."""
    echoed = answered.first_header(names.attempt)
    if echoed is not None and attempt and echoed != attempt:
        return ResponseKind.foreign
    if answered.first_header('content-encoding') is not None:
        return ResponseKind.foreign
    if answered.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return ResponseKind.rejected
    if answered.first_header(names.not_executed) is not None:
        return ResponseKind.rejected
    if answered.status >= LEAST_FAILURE:
        return ResponseKind.failure
    if answered.first_header(names.signature) is None:
        return ResponseKind.foreign
    return ResponseKind.success
