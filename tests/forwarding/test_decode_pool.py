"""Which upstreams long answers share."""

from cranberryrill.forwarding import caller_request, decode_pool
from tests.forwarding import conftest


def make_terms(prompt: int, output: int) -> caller_request.Metadata:
    return caller_request.Metadata('a', '', None, prompt, output)


def test_kind_follows_from_reading_and_writing() -> None:
    assert decode_pool.is_decode_heavy(make_terms(700, 950))
    assert not decode_pool.is_decode_heavy(make_terms(9000, 200))
    assert not decode_pool.is_decode_heavy(make_terms(0, 0))


def test_count_grows_with_open_answers_up_to_half() -> None:
    counts = [
        decode_pool.pool_size(open_answers, 64, 6)
        for open_answers in (0, 5, 30, 60, 500)
    ]
    assert counts == [0, 1, 2, 3, 3]
    assert decode_pool.pool_size(50, 64, 2) == 0


def test_upstreams_are_the_same_for_everyone_and_nested() -> None:
    known = [conftest.make_upstream(f'u{number}') for number in range(6)]
    one = decode_pool.pool_members(known, 1)
    two = decode_pool.pool_members(list(reversed(known)), 2)
    assert one < two


def test_count_falls_slowly_behind_a_burst() -> None:
    answers = decode_pool.LongAnswerPeak()
    answers.record(40, 100)
    answers.record(0, 101)
    assert answers.recent(101) > 30
    assert answers.recent(200) < 1
