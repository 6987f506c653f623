"""What entries know of one another's loads."""

from cranberryrill.forwarding import loads_pb2, peer_loads, upstreams
from tests.forwarding import conftest


def make_pool() -> upstreams.Pool:
    pool = upstreams.Pool()
    for name in ('u1', 'u2'):
        pool.by_id[name] = conftest.make_upstream(name)
    return pool


def test_watcher_that_gets_differences_knows_the_whole() -> None:
    pool = make_pool()
    others = peer_loads.PeerLoads(make_pool())
    sent: peer_loads.Loads = {}
    pool.by_id['u1'].start_request('a', 900, is_long=True)
    pool.by_id['u2'].start_request('b', 100)
    for step in range(3):
        if step == 1:
            pool.by_id['u1'].start_answer('a')
        if step == 2:
            pool.by_id['u1'].end_request('a', is_long=True)
        loads = peer_loads.current_loads(pool.by_id.values())
        changed = peer_loads.changed_loads(sent, loads)
        others.apply(
            'entry',
            loads_pb2.LoadUpdate(full=not sent, loads=changed),
        )
        sent = loads
        reading = sum(pool.by_id['u1'].prefill_tokens.values())
        assert others.prefill_tokens['u1'] == reading
        assert others.open_requests['u1'] == pool.by_id['u1'].open_requests
        assert others.long_answers['u1'] == pool.by_id['u1'].long_answers
    others.remove('entry')
    assert not any(others.open_requests.values())


def test_parts_that_were_read_elsewhere_are_known() -> None:
    pool = make_pool()
    mine = make_pool()
    others = peer_loads.PeerLoads(mine)
    before = pool.prefilled_count
    pool.record_prefilled(pool.by_id['u1'], conftest.parts_of('s'))
    update = loads_pb2.LoadUpdate(
        parts=peer_loads.parts_prefilled_since(pool, before)
    )
    others.apply('entry', update)
    wanted = conftest.parts_of('s')
    assert mine.by_id['u1'].cache.missing_tokens(wanted, ready=True) == 0
    assert mine.by_id['u2'].cache.missing_tokens(wanted) > 0
    assert not peer_loads.parts_prefilled_since(pool, pool.prefilled_count)
