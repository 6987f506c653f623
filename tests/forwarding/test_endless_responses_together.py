"""Bound the bytes that many responses without end make a process hold."""

import asyncio
import dataclasses
import tracemalloc
import typing

from cranberryrill import failures
from cranberryrill.forwarding import attempts, delivery, reply
from cranberryrill.limits import buffer_budget
from tests.forwarding import test_endless_responses as scripted

memory_before = scripted.memory_before
MANY_STREAMS = 24
TOTAL_LIMIT_BYTES = 3_000_000
MANY_LIMITS = dataclasses.replace(scripted.LIMITS, event_bytes=1_000_000)


class SoundUpstream(scripted.Upstream):
    """Upstream that answers with a whole stream of events."""

    def __init__(self) -> None:
        super().__init__(
            b'%s%s0\r\n\r\n' % (scripted.CHUNKED, scripted.EVENT_CHUNK), b''
        )


async def test_events_without_end_on_many_streams_are_bounded_together(
    memory_before: int,
) -> None:
    # Failed when each response had a limit and all together had none: a faulty
    # upstream with many requests took the process over its memory.
    buffers = buffer_budget.BufferBudget(TOTAL_LIMIT_BYTES)
    faulty, sound = (
        scripted.Upstream(scripted.CHUNKED, scripted.CHUNK, pause=0.005),
        SoundUpstream(),
    )
    await faulty.listen()
    await sound.listen()

    async def run(port: int, delay: float = 0) -> delivery.Delivery:
        await asyncio.sleep(delay)
        context = scripted.OneUpstreamContext(port, buffers)
        context.response_limits = MANY_LIMITS
        request_delivery = delivery.Delivery(
            scripted.make_admitted(streams=True),
            typing.cast(reply.Reply, scripted.RecordingReply(0)),
            typing.cast(attempts.DeliveryContext, context),
        )
        await request_delivery.run()
        context.driver.close()
        return request_delivery

    endless = [run(faulty.port) for _ in range(MANY_STREAMS)]
    *ended, answered = await asyncio.gather(*endless, run(sound.port, 0.3))
    assert answered.outcome == 'answered'
    assert {one.outcome for one in ended} <= {
        failures.UpstreamFailed.code,
        failures.TimedOut.code,
    }
    assert buffers.exceeded_count
    peak = tracemalloc.get_traced_memory()[1] - memory_before
    # curl and asyncio hold some, and a buffer is copied when it is read.
    assert peak < 3 * TOTAL_LIMIT_BYTES
    assert not buffers.total_bytes
