"""Size and members of the decode pool."""

from cranberryrill.forwarding import caller_request, decode_pool
from tests.forwarding import conftest


def make_metadata(prompt: int, output: int) -> caller_request.Metadata:
    return caller_request.Metadata('a', '', None, prompt, output)


def test_token_counts_tell_decode_heavy_requests() -> None:
    assert decode_pool.is_decode_heavy(make_metadata(700, 950))
    assert not decode_pool.is_decode_heavy(make_metadata(9000, 200))
    assert not decode_pool.is_decode_heavy(make_metadata(0, 0))


def test_pool_grows_with_decode_heavy_requests_up_to_half() -> None:
    counts = [
        decode_pool.pool_size(decode_heavy_requests, 64, 6)
        for decode_heavy_requests in (0, 5, 30, 60, 500)
    ]
    assert counts == [0, 1, 2, 3, 3]
    assert decode_pool.pool_size(50, 64, 2) == 0


def test_pools_are_independent_of_order_and_nested() -> None:
    candidates = [conftest.make_upstream(f'u{number}') for number in range(6)]
    smaller = decode_pool.pool_members(candidates, 1)
    larger = decode_pool.pool_members(list(reversed(candidates)), 2)
    assert smaller < larger


def test_peak_decays_slowly_after_a_burst() -> None:
    peak = decode_pool.DecodeHeavyPeak()
    peak.record(40, 100)
    peak.record(0, 101)
    assert peak.recent(101) > 30
    assert peak.recent(200) < 1
