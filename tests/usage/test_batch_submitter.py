"""Each batch is kept and resent until its commit is acknowledged."""

import result

from cranberryrill import clock
from cranberryrill.relay import answers, relay_pb2
from cranberryrill.state import commands_pb2, submission
from cranberryrill.usage import batch_submitter, usage_pb2, windows

FLUSH_TIMEOUT_SECONDS = 5.0


class FlakyControl:
    """Control stub that applies every batch but loses the first answers."""

    def __init__(self, lost_answers: int) -> None:
        self.state = windows.UsageState()
        self.lost_answers = lost_answers
        self.received: list[usage_pb2.AddUsage] = []

    async def submit(
        self,
        command: commands_pb2.Command,
        deadline: float,
    ) -> submission.Submitted:
        """Apply a batch; return an error while answers are to be lost."""
        self.received.append(command.add_usage)
        outcome = self.state.apply(command, len(self.received), 1000)
        if len(self.received) <= self.lost_answers:
            return result.Err(
                submission.NotSubmitted('lost', proved_uncommitted=False)
            )
        return result.Ok(outcome.SerializeToString())


def ended_answer(tokens: int) -> tuple[relay_pb2.Call, answers.Answer]:
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


async def test_lost_answer_resends_the_same_batch() -> None:
    control = FlakyControl(lost_answers=2)
    submitter = batch_submitter.BatchSubmitter(control, 'agent', 'i-1')
    submitter.add(*ended_answer(5), 1)
    assert not await submitter.submit_next()
    submitter.add(*ended_answer(7), 1)
    assert not await submitter.submit_next()
    assert await submitter.submit_next()
    assert await submitter.submit_next()
    numbers = [batch.number for batch in control.received]
    assert numbers == [1, 1, 1, 2]
    assert control.received[0] == control.received[2]
    line = control.state.totals.lines()[0]
    assert (line.requests, line.output_tokens) == (2, 12)


async def test_flush_submits_everything() -> None:
    control = FlakyControl(lost_answers=1)
    submitter = batch_submitter.BatchSubmitter(control, 'agent', 'i-1')
    submitter.add(*ended_answer(5), 1)
    assert not await submitter.submit_next()
    submitter.add(*ended_answer(7), 1)
    await submitter.flush(clock.monotonic_seconds() + FLUSH_TIMEOUT_SECONDS)
    line = control.state.totals.lines()[0]
    assert line.output_tokens == 12


async def test_no_batch_without_usage() -> None:
    control = FlakyControl(lost_answers=0)
    submitter = batch_submitter.BatchSubmitter(control, 'agent', 'i-1')
    assert await submitter.submit_next()
    assert not control.received
