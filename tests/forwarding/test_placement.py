"""Where requests are sent, under the loads that the rules answer."""

import random

from cranberryrill.forwarding import placement, upstreams
from tests.forwarding import conftest

NOW = 50.0


def make_wanted(session: str, **more: object) -> placement.PlacementRequest:
    given: dict[str, object] = {
        'parts': conftest.parts_of(session),
        'session': session,
        'data_centre': 'a',
        'is_engine': True,
    }
    given.update(more)
    return placement.PlacementRequest(**given)  # type: ignore[arg-type]


def pool(count: int) -> list[upstreams.Upstream]:
    return [conftest.make_upstream(f'u{number}') for number in range(count)]


def choose(
    wanted: placement.PlacementRequest,
    candidates: list[upstreams.Upstream],
    seed: int = 1,
) -> placement.Choice:
    placer = placement.UpstreamSelector(random.Random(seed))
    choice = placer.choose(wanted, candidates, frozenset(), NOW)
    assert choice is not None
    return choice


def test_processes_agree_on_a_home_without_talking() -> None:
    chosen = {
        choose(make_wanted('s'), pool(6), seed).upstream.id
        for seed in range(10)
    }
    assert len(chosen) == 1


def test_sessions_spread_over_all_upstreams() -> None:
    candidates = pool(6)
    homes = [
        choose(make_wanted(f's{number}'), candidates).upstream.id
        for number in range(300)
    ]
    shares = [homes.count(known.id) for known in candidates]
    assert min(shares) > 300 / 6 * 0.5


def test_what_is_cached_goes_before_the_home() -> None:
    candidates = pool(4)
    home = choose(make_wanted('s'), candidates).upstream
    other = next(known for known in candidates if known is not home)
    for part in conftest.parts_of('s'):
        other.cache.record(part.id, part.tokens, is_ready=True)
    assert choose(make_wanted('s'), candidates).upstream is other


def test_hot_session_leaves_an_upstream_with_much_to_read() -> None:
    candidates = pool(4)
    home = choose(make_wanted('s'), candidates).upstream
    for part in conftest.parts_of('s'):
        home.cache.record(part.id, part.tokens, is_ready=True)
    home.start_request('busy', 50_000)
    choice = choose(make_wanted('s', can_fetch_cache=True), candidates)
    assert choice.upstream is not home
    assert choice.fetch_from is home


def test_parts_not_read_yet_are_not_fetched() -> None:
    candidates = pool(4)
    home = choose(make_wanted('s'), candidates).upstream
    for part in conftest.parts_of('s'):
        home.cache.record(part.id, part.tokens, is_ready=False)
    home.start_request('busy', 50_000)
    choice = choose(make_wanted('s', can_fetch_cache=True), candidates)
    assert choice.fetch_from is None


def test_loads_of_other_processes_count() -> None:
    candidates = pool(3)
    home = choose(make_wanted('s'), candidates).upstream
    wanted = make_wanted('s', peer_prefill_tokens={home.id: 40_000})
    assert choose(wanted, candidates).upstream is not home


def test_long_prompts_stay_away_from_long_answers() -> None:
    candidates = pool(5)
    writing = frozenset((candidates[0].id,))
    for number in range(100):
        wanted = make_wanted(f's{number}', decode_pool_ids=writing)
        assert choose(wanted, candidates).upstream.id not in writing
        talk = make_wanted(
            f's{number}',
            decode_pool_ids=writing,
            is_decode_heavy=True,
        )
        assert choose(talk, candidates).upstream.id in writing


def test_upstream_that_fails_part_of_its_requests_gets_fewer() -> None:
    candidates = pool(4)
    grey = candidates[1]
    for _ in range(20):
        grey.record_outcome(NOW, failed=True)
    plain = placement.PlacementRequest((), '', 'a', is_engine=False)
    chosen = [choose(plain, candidates, seed).upstream.id for seed in range(50)]
    assert grey.id not in chosen
    later = NOW + 60
    assert not round(grey.failure_rate(later), 2)


def test_unreachable_upstream_is_left_alone_unless_it_is_the_last() -> None:
    candidates = pool(2)
    candidates[0].mark_unreachable(NOW)
    plain = placement.PlacementRequest((), '', 'a', is_engine=False)
    assert choose(plain, candidates).upstream is candidates[1]
    assert choose(plain, candidates[:1]).upstream is candidates[0]


def test_cache_forgets_what_was_used_least_lately() -> None:
    cached = upstreams.CacheEstimate(10_000)
    for part in conftest.parts_of('old'):
        cached.record(part.id, part.tokens, is_ready=True)
    for part in conftest.parts_of('new'):
        cached.record(part.id, part.tokens, is_ready=True)
    assert cached.missing_tokens(conftest.parts_of('new')) == 0
    assert cached.missing_tokens(conftest.parts_of('old')) > 0
