"""Cost of fetching cached parts under various speeds of links and prefill."""

import pytest

from cranberryrill.forwarding import cache_fetch


def test_cache_is_fetched_where_links_are_faster_than_prefill() -> None:
    # 320 KiB a token over 270 Gbit/s: about 100 tokens a millisecond.
    size, rate = 327_680, 270_000
    assert cache_fetch.fetch_cost_ratio(size, rate, 50) == pytest.approx(
        0.485, abs=0.01
    )
    assert cache_fetch.fetch_cost_ratio(size, rate, 90) is None
    assert cache_fetch.fetch_cost_ratio(size, rate, 5) == pytest.approx(0.25)
    assert cache_fetch.fetch_cost_ratio(0, rate, 50) is None


def test_fetched_tokens_cost_their_share() -> None:
    assert cache_fetch.effective_missing_tokens(10_000, 2_000, 0.5) == 6_000
    assert cache_fetch.effective_missing_tokens(2_100, 2_000, 0.5) == 2_100
