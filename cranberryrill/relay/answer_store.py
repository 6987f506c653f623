"""Remember which requests an agent has seen, so that none runs twice."""

import collections

from cranberryrill.relay import answers, request_ids, relay_pb2, timing

MEBIBYTE = 1024 * 1024
# Ended requests that may not run again are remembered up to this many.
MAX_REMEMBERED = 50_000
# Content of ended answers is kept up to this size.
MAX_KEPT_MEBIBYTES = 32
MAX_KEPT_BYTES = MAX_KEPT_MEBIBYTES * MEBIBYTE
# What an answer takes besides its content.
ANSWER_BYTES = 1024
Ended = collections.OrderedDict[str, answers.Answer]


class AnswerStore:
    """Hold the answers of one agent by request.

    What may not be repeated stays known after its content was dropped. When
    even that must be forgotten, `horizons` says for each start of an entry up
    to which request something was forgotten: whatever lies below and is not
    held may have run.
    """

    def __init__(
        self,
        max_remembered: int = MAX_REMEMBERED,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        self.max_remembered = max_remembered
        self.max_kept_bytes = max_kept_bytes
        self.held: dict[str, answers.Answer] = {}
        self.unfinished: set[answers.Answer] = set()
        # Ended answers with their content, in the order of their ends.
        self.ended: Ended = collections.OrderedDict()
        self.claimed: Ended = collections.OrderedDict()
        self.remembered: collections.deque[str] = collections.deque()
        self.horizons: dict[str, int] = {}
        self.kept_bytes = 0

    def find(self, request_id: str) -> answers.Answer | None:
        """Return the answer to a request, if it is held."""
        return self.held.get(request_id)

    def is_forgotten(self, request_id: str) -> bool:
        """Say whether a request that is not held may have been seen."""
        number = request_ids.parse(request_id)
        if number is None:
            return True
        return number.sequence <= self.horizons.get(number.origin, 0)

    def add(self, answer: answers.Answer) -> None:
        """Hold a new answer."""
        self.held[answer.request_id] = answer
        if answer.end is None:
            self.unfinished.add(answer)
        else:
            self.close(answer)

    def close(self, answer: answers.Answer) -> None:
        """Keep an answer that has ended, within the bounds."""
        self.unfinished.discard(answer)
        pool = self.claimed if answer.claimed else self.ended
        pool[answer.request_id] = answer
        self.kept_bytes += _cost(answer)
        while self.kept_bytes > self.max_kept_bytes:
            self._release(*self._least_wanted())

    def owes_answers(self, now: float) -> bool:
        """Say whether an entry may still come for an answer."""
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
        """Drop old answers; cancel those that nobody reads."""
        oldest = now - timing.ANSWER_LIFETIME_SECONDS
        # A claimed answer is given again for as long as there is room.
        while self.ended:
            request_id, answer = next(iter(self.ended.items()))
            if answer.ended_at > oldest:
                break
            self._release(self.ended, request_id)
        for answer in list(self.unfinished):
            contact_at = answer.read_at + timing.REATTACH_SECONDS
            if not answer.readers and now > contact_at:
                answer.cancel()

    def _least_wanted(self) -> tuple[Ended, str]:
        """Return the oldest answer that nobody reads, if there is one."""
        for pool in (self.ended, self.claimed):
            for request_id, answer in pool.items():
                if not answer.readers:
                    return pool, request_id
        read = self.ended or self.claimed
        return read, next(iter(read))

    def _release(self, pool: Ended, request_id: str) -> None:
        answer = pool.pop(request_id)
        self.kept_bytes -= _cost(answer)
        if _may_repeat(answer):
            del self.held[request_id]
            return
        answer.drop_content()
        self._note(request_id)

    def _note(self, request_id: str) -> None:
        self.remembered.append(request_id)
        while len(self.remembered) > self.max_remembered:
            self._forget(self.remembered.popleft())

    def _forget(self, request_id: str) -> None:
        del self.held[request_id]
        number = request_ids.parse(request_id)
        if number is not None:
            known = self.horizons.get(number.origin, 0)
            self.horizons[number.origin] = max(known, number.sequence)


def _may_repeat(answer: answers.Answer) -> bool:
    refused = isinstance(answer.end, relay_pb2.Refused)
    return answer.idempotent and not answer.claimed and not refused


def _cost(answer: answers.Answer) -> int:
    return len(answer.content) + ANSWER_BYTES
