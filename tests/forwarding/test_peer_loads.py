"""Exchange of loads and prefilled parts between entries."""

from cranberryrill.forwarding import loads_pb2, peer_loads, upstreams
from tests.forwarding import conftest


def make_pool() -> upstreams.Pool:
    pool = upstreams.Pool()
    for name in ('u1', 'u2'):
        pool.by_id[name] = conftest.make_upstream(name)
    return pool


def test_applied_changes_equal_current_loads() -> None:
    pool = make_pool()
    received = peer_loads.PeerLoads(make_pool())
    sent: peer_loads.Loads = {}
    pool.by_id['u1'].start_request('a', 900, is_decode_heavy=True)
    pool.by_id['u2'].start_request('b', 100)
    for step in range(3):
        if step == 1:
            pool.by_id['u1'].start_response('a')
        if step == 2:
            pool.by_id['u1'].end_request('a', is_decode_heavy=True)
        loads = peer_loads.current_loads(pool.by_id.values())
        changed = peer_loads.changed_loads(sent, loads)
        received.apply(
            'entry',
            loads_pb2.LoadUpdate(full=not sent, loads=changed),
        )
        sent = loads
        prefill_tokens = sum(pool.by_id['u1'].prefill_tokens.values())
        assert received.prefill_tokens['u1'] == prefill_tokens
        assert received.open_requests['u1'] == pool.by_id['u1'].open_requests
        assert (
            received.decode_heavy_requests['u1']
            == pool.by_id['u1'].decode_heavy_requests
        )
    received.remove('entry')
    assert not any(received.open_requests.values())


def test_parts_prefilled_for_another_entry_are_cached() -> None:
    pool = make_pool()
    own_pool = make_pool()
    received = peer_loads.PeerLoads(own_pool)
    before = pool.prefilled_count
    pool.record_prefilled(pool.by_id['u1'], conftest.make_parts('s'))
    update = loads_pb2.LoadUpdate(
        parts=peer_loads.parts_prefilled_since(pool, before)
    )
    received.apply('entry', update)
    prompt = conftest.make_parts('s')
    assert own_pool.by_id['u1'].cache.missing_tokens(prompt, ready=True) == 0
    assert own_pool.by_id['u2'].cache.missing_tokens(prompt) > 0
    assert not peer_loads.parts_prefilled_since(pool, pool.prefilled_count)
