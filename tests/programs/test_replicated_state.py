"""A control member whose data folder was locked before it started."""

import pathlib

from cranberryrill import clock, transport
from cranberryrill.programs import fleet_control, replicated_state
from cranberryrill.replication import folder_lock, timing


async def test_silence_after_start_counts_from_the_lock(
    tmp_path: pathlib.Path,
) -> None:
    lock = folder_lock.acquire(tmp_path)
    assert lock is not None
    options = replicated_state.MemberOptions(
        name='127.0.0.1',
        data_folder=tmp_path,
        others={},
        port=1,
        fixed=False,
        lock=lock,
    )
    dialer = transport.Dialer(None)
    replica = replicated_state.ReplicatedState(
        options, dialer, fleet_control.BOUNDS
    )
    local = replica.member
    assert lock.locked_at < clock.monotonic_seconds()
    assert not local.may_vote(lock.locked_at + timing.HEARTBEAT_SECONDS)
    assert local.may_vote(lock.locked_at + timing.START_SILENCE_SECONDS)
    replica.close()
    assert folder_lock.acquire(tmp_path) is not None
