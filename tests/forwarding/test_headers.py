"""Which headers pass between callers and upstreams."""

from cranberryrill.forwarding import caller_request, headers, http_names

NAMES = http_names.HttpNames(reserved=frozenset(('x-secret',)))
DISPATCH = headers.AddedHeaders('u1', 900, organisation='o', priority=2)


def passed(*given: tuple[str, str]) -> dict[str, str]:
    request = caller_request.Request('GET', '/', given, b'', 0)
    return {
        name.lower(): content
        for name, content in headers.for_upstream(request, NAMES, DISPATCH)
    }


def test_keys_and_what_callers_may_not_say_are_dropped() -> None:
    kept = passed(
        ('Authorization', 'Bearer secret'),
        ('X-Organisation', 'other'),
        ('X-SECRET', '1'),
        ('X-Priority', '0'),
        ('X-Expected-Upstream', 'u9'),
        ('Connection', 'close, X-Hop'),
        ('X-Hop', '1'),
        ('X-Kept', 'yes'),
    )
    assert 'secret' not in ' '.join(kept.values())
    assert kept['x-organisation'] == 'o'
    assert kept['x-priority'] == '2'
    assert kept['x-expected-upstream'] == 'u1'
    assert kept['x-kept'] == 'yes'
    assert not {'x-hop', 'connection', 'x-secret'} & kept.keys()


def test_time_that_is_left_replaces_the_callers() -> None:
    assert passed(('X-Deadline-Ms', '9999'))['x-deadline-ms'] == '900'


def test_terms_that_can_not_be_read_count_as_unsaid() -> None:
    request = caller_request.Request(
        'GET',
        '/',
        (
            ('X-Deadline-Ms', 'soon'),
            ('X-Token-Count', '-4,x'),
            ('X-Prompt-Parts', 'a:1,,b,c:x'),
            ('Authorization', 'Basic abc'),
        ),
        b'',
        0,
    )
    read = caller_request.read_metadata(request, NAMES)
    assert read.deadline_ms is None
    assert (read.prompt_tokens, read.output_tokens) == (0, 0)
    assert read.parts == (
        caller_request.PromptPart('a', 1),
        caller_request.PromptPart('c', 0),
    )
    assert not read.key
