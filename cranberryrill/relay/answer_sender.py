"""Send an answer from an agent to an entry, from a given offset on."""

from grpclib import server

from cranberryrill import clock, tasks
from cranberryrill.relay import answers, relay_pb2, timing

CHUNK_BYTES = 65536
RunStream = server.Stream[relay_pb2.Upward, relay_pb2.Downward]


async def send_answer(
    stream: RunStream,
    answer: answers.Answer,
    reader: answers.Reader,
) -> None:
    """Send the answer over `stream` as it grows, until its end.

    The body starts at the offset of `reader`. Heartbeats are sent while there
    is nothing else to send.
    """
    head_sent = False
    while True:
        if not await tasks.wait_and_clear(
            reader.wake, timing.HEARTBEAT_SECONDS
        ):
            await stream.send_message(
                relay_pb2.Downward(
                    request_id=answer.request_id,
                    heartbeat=relay_pb2.Heartbeat(),
                ),
            )
        if answer.head is not None and not head_sent:
            head_sent = True
            await stream.send_message(
                relay_pb2.Downward(
                    request_id=answer.request_id,
                    head=answer.head,
                ),
            )
        await _send_content(stream, answer, reader)
        end = _end_to_send(answer, reader)
        if end is not None:
            await stream.send_message(_end_message(answer, end))
            answer.delivered = True
            return


async def _send_content(
    stream: RunStream,
    answer: answers.Answer,
    reader: answers.Reader,
) -> None:
    while answer.content_offset <= reader.offset < answer.length():
        content = answer.read(reader.offset, CHUNK_BYTES)
        await stream.send_message(
            relay_pb2.Downward(
                request_id=answer.request_id,
                chunk=relay_pb2.Chunk(offset=reader.offset, content=content),
            ),
        )
        reader.offset += len(content)
        answer.record_read(reader, clock.monotonic_seconds())


def _end_to_send(
    answer: answers.Answer,
    reader: answers.Reader,
) -> answers.End | None:
    if reader.offset < answer.content_offset:
        failed = isinstance(answer.end, relay_pb2.Failed)
        return answer.end if failed else answers.dropped_failure()
    return answer.end if reader.offset >= answer.length() else None


def _end_message(
    answer: answers.Answer, end: answers.End
) -> relay_pb2.Downward:
    downward = relay_pb2.Downward(request_id=answer.request_id)
    if isinstance(end, relay_pb2.Final):
        downward.final.CopyFrom(end)
    elif isinstance(end, relay_pb2.Refused):
        downward.refused.CopyFrom(end)
    else:
        downward.failed.CopyFrom(end)
    return downward
