"""Store of the answers of an agent, so that no request runs twice."""

import collections

from cranberryrill.relay import answers, relay_pb2, request_ids, timing

BYTES_PER_MEBIBYTE = 1024 * 1024
# Maximum number of outcomes stored without content, of requests that must not
# run again.
MAX_OUTCOMES = 50_000
# Maximum size of all ended answers with content, each with its overhead.
MAX_STORED_MEBIBYTES = 32
MAX_STORED_BYTES = MAX_STORED_MEBIBYTES * BYTES_PER_MEBIBYTE
# Estimated memory of an answer besides its content.
ANSWER_OVERHEAD_BYTES = 1024
EndedAnswers = collections.OrderedDict[str, answers.Answer]


class AnswerStore:
    """Answers of one agent by request identifier, within bounds.

    The outcome of a request that must not run again is kept after the content
    of its answer is dropped. Beyond `max_outcomes` outcomes the oldest are
    forgotten. `forgotten_up_to` has the highest forgotten sequence number for
    each origin of request identifiers: a request that is not stored and whose
    number is not above this one may have run.
    """

    def __init__(
        self,
        max_outcomes: int = MAX_OUTCOMES,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ) -> None:
        self.max_outcomes = max_outcomes
        self.max_stored_bytes = max_stored_bytes
        self.stored: dict[str, answers.Answer] = {}
        self.unfinished: set[answers.Answer] = set()
        # Ended answers with their content, oldest first, in two pools: without
        # and with a claim.
        self.ended: EndedAnswers = collections.OrderedDict()
        self.claimed: EndedAnswers = collections.OrderedDict()
        self.outcomes: collections.deque[str] = collections.deque()
        self.forgotten_up_to: dict[str, int] = {}
        self.stored_bytes = 0

    def find(self, request_id: str) -> answers.Answer | None:
        """Return the answer to a request, or None if it is not stored."""
        return self.stored.get(request_id)

    def is_forgotten(self, request_id: str) -> bool:
        """Return whether a request that is not stored may have run.

        An identifier of an unknown form counts as forgotten.
        """
        parsed = request_ids.parse(request_id)
        if parsed is None:
            return True
        return parsed.sequence <= self.forgotten_up_to.get(parsed.origin, 0)

    def add(self, answer: answers.Answer) -> None:
        """Add a new answer, whether it has ended or not."""
        self.stored[answer.request_id] = answer
        if answer.end is None:
            self.unfinished.add(answer)
        else:
            self.add_ended(answer)

    def add_ended(self, answer: answers.Answer) -> None:
        """Move an answer to the ended ones; evict answers beyond the bounds."""
        self.unfinished.discard(answer)
        pool = self.claimed if answer.claimed else self.ended
        pool[answer.request_id] = answer
        self.stored_bytes += _size_bytes(answer)
        while self.stored_bytes > self.max_stored_bytes:
            self._evict(*self._next_to_evict())

    def has_undelivered_answers(self, now: float) -> bool:
        """Return whether an entry may still request an answer."""
        if self.unfinished:
            return True
        recent = now - timing.REATTACH_SECONDS
        ended = (*self.ended.values(), *self.claimed.values())
        return any(
            answer.ended_at > recent
            for answer in ended
            if not answer.delivered and not answer.cancelled.is_set()
        )

    def expire(self, now: float) -> None:
        """Evict old answers; cancel requests that no stream reads."""
        oldest = now - timing.ANSWER_LIFETIME_SECONDS
        # Claimed answers are evicted only when there is no room for them.
        while self.ended:
            request_id, answer = next(iter(self.ended.items()))
            if answer.ended_at > oldest:
                break
            self._evict(self.ended, request_id)
        for answer in list(self.unfinished):
            reattach_deadline = answer.last_read_at + timing.REATTACH_SECONDS
            if not answer.readers and now > reattach_deadline:
                answer.cancel()

    def _next_to_evict(self) -> tuple[EndedAnswers, str]:
        """Return the oldest answer, preferably one that no stream reads."""
        for pool in (self.ended, self.claimed):
            for request_id, answer in pool.items():
                if not answer.readers:
                    return pool, request_id
        being_read = self.ended or self.claimed
        return being_read, next(iter(being_read))

    def _evict(self, pool: EndedAnswers, request_id: str) -> None:
        answer = pool.pop(request_id)
        self.stored_bytes -= _size_bytes(answer)
        if _is_repeatable(answer):
            del self.stored[request_id]
            return
        answer.drop_content()
        self._keep_outcome(request_id)

    def _keep_outcome(self, request_id: str) -> None:
        self.outcomes.append(request_id)
        while len(self.outcomes) > self.max_outcomes:
            self._forget(self.outcomes.popleft())

    def _forget(self, request_id: str) -> None:
        del self.stored[request_id]
        parsed = request_ids.parse(request_id)
        if parsed is not None:
            previous = self.forgotten_up_to.get(parsed.origin, 0)
            self.forgotten_up_to[parsed.origin] = max(previous, parsed.sequence)


def _is_repeatable(answer: answers.Answer) -> bool:
    refused = isinstance(answer.end, relay_pb2.Refused)
    return answer.idempotent and not answer.claimed and not refused


def _size_bytes(answer: answers.Answer) -> int:
    return len(answer.content) + ANSWER_OVERHEAD_BYTES
