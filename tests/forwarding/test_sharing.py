"""What entries know of one another's loads."""

from cranberryrill.forwarding import loads_pb2, sharing, upstreams
from tests.forwarding import conftest


def make_pool() -> upstreams.Pool:
    pool = upstreams.Pool()
    for name in ('u1', 'u2'):
        pool.known[name] = conftest.make_upstream(name)
    return pool


def test_watcher_that_gets_differences_knows_the_whole() -> None:
    pool = make_pool()
    others = sharing.OtherLoads(make_pool())
    sent: sharing.Loads = {}
    pool.known['u1'].begin('a', 900, is_long=True)
    pool.known['u2'].begin('b', 100)
    for step in range(3):
        if step == 1:
            pool.known['u1'].has_answered('a')
        if step == 2:
            pool.known['u1'].end('a', is_long=True)
        loads = sharing.loads_of(pool.known.values())
        changed = sharing.difference(sent, loads)
        others.take(
            'entry',
            loads_pb2.LoadUpdate(full=not sent, loads=changed),
        )
        sent = loads
        reading = sum(pool.known['u1'].reading.values())
        assert others.reading['u1'] == reading
        assert others.open['u1'] == pool.known['u1'].open_requests
        assert others.long['u1'] == pool.known['u1'].long_answers
    others.forget('entry')
    assert not any(others.open.values())


def test_parts_that_were_read_elsewhere_are_known() -> None:
    pool = make_pool()
    mine = make_pool()
    others = sharing.OtherLoads(mine)
    before = pool.reads
    pool.note_read(pool.known['u1'], conftest.parts_of('s'))
    update = loads_pb2.LoadUpdate(parts=sharing.parts_read(pool, before))
    others.take('entry', update)
    wanted = conftest.parts_of('s')
    assert mine.known['u1'].cached.missing_tokens(wanted, ready=True) == 0
    assert mine.known['u2'].cached.missing_tokens(wanted) > 0
    assert not sharing.parts_read(pool, pool.reads)
