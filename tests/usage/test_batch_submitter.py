"""Keep each batch until its commit is acknowledged."""

import result

from cranberryrill import clock
from cranberryrill.relay import answers, relay_pb2
from cranberryrill.state import commands_pb2, submission
from cranberryrill.usage import batch_submitter, usage_pb2, windows

STOP_SECONDS = 5.0


class FlakyControl:
    """Apply every batch, but lose the first answers."""

    def __init__(self, lost_answers: int) -> None:
        self.state = windows.UsageState()
        self.lost_answers = lost_answers
        self.seen: list[usage_pb2.AddUsage] = []

    async def submit(
        self,
        command: commands_pb2.Command,
        deadline: float,
    ) -> submission.Submitted:
        """Apply a batch and answer, or lose the answer."""
        self.seen.append(command.add_usage)
        outcome = self.state.apply(command, len(self.seen), 1000)
        if len(self.seen) <= self.lost_answers:
            return result.Err(
                submission.NotSubmitted('lost', proved_uncommitted=False)
            )
        return result.Ok(outcome.SerializeToString())


def ended(tokens: int) -> tuple[relay_pb2.Call, answers.Answer]:
    call = relay_pb2.Call(
        organisation='clinics',
        class_name='urgent',
        target='wobble',
        is_model=True,
        streamed=True,
    )
    answer = answers.Answer('req-1', call, 0)
    answer.start(200, [])
    answer.usage.output_tokens = tokens
    return call, answer


async def test_a_lost_answer_resends_the_same_batch() -> None:
    control = FlakyControl(lost_answers=2)
    agent = batch_submitter.BatchSubmitter(control, 'agent', 'i-1')
    agent.add(*ended(5), 1)
    assert not await agent.submit_next()
    agent.add(*ended(7), 1)
    assert not await agent.submit_next()
    assert await agent.submit_next()
    assert await agent.submit_next()
    numbers = [batch.number for batch in control.seen]
    assert numbers == [1, 1, 1, 2]
    assert control.seen[0] == control.seen[2]
    line = control.state.totals.lines()[0]
    assert (line.requests, line.output_tokens) == (2, 12)


async def test_flush_hands_everything_on() -> None:
    control = FlakyControl(lost_answers=1)
    agent = batch_submitter.BatchSubmitter(control, 'agent', 'i-1')
    agent.add(*ended(5), 1)
    assert not await agent.submit_next()
    agent.add(*ended(7), 1)
    await agent.flush(clock.monotonic_seconds() + STOP_SECONDS)
    line = control.state.totals.lines()[0]
    assert line.output_tokens == 12


async def test_nothing_is_submitted_for_nothing() -> None:
    control = FlakyControl(lost_answers=0)
    agent = batch_submitter.BatchSubmitter(control, 'agent', 'i-1')
    assert await agent.submit_next()
    assert not control.seen
