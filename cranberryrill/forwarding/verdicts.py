"""Say what an upstream's answer means."""

import enum
import http

from cranberryrill.forwarding import exchange, vocabulary

LEAST_FAILURE = http.HTTPStatus.MULTIPLE_CHOICES


class Verdict(enum.Enum):
    """Say what is known once the head of an answer is there."""

    # The request ran, and the answer is good.
    success = 'success'
    # The request ran, and the upstream says that it failed.
    failure = 'failure'
    # The upstream did not run the request and never will.
    rejected = 'rejected'
    # What arrived is not the answer to this request.
    foreign = 'foreign'


def judge(
    answered: exchange.Exchange,
    attempt: str,
    names: vocabulary.Vocabulary,
) -> Verdict:
    """Judge an answer by its head."""
    echoed = answered.first(names.attempt)
    if echoed is not None and attempt and echoed != attempt:
        return Verdict.foreign
    if answered.first('content-encoding') is not None:
        return Verdict.foreign
    if answered.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return Verdict.rejected
    if answered.first(names.not_executed) is not None:
        return Verdict.rejected
    if answered.status >= LEAST_FAILURE:
        return Verdict.failure
    if answered.first(names.signature) is None:
        return Verdict.foreign
    return Verdict.success
