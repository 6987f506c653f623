"""Headers forwarded between callers and upstreams, and request metadata."""

from cranberryrill.forwarding import caller_request, headers, http_names

NAMES = http_names.HttpNames(reserved=frozenset(('x-secret',)))
ADDED = headers.AddedHeaders('u1', 900, organisation='o', priority=2)


def forwarded(*received: tuple[str, str]) -> dict[str, str]:
    request = caller_request.Request('GET', '/', received, b'', 0)
    return {
        name.lower(): content
        for name, content in headers.for_upstream(request, NAMES, ADDED)
    }


def test_keys_and_reserved_headers_are_dropped() -> None:
    upstream_headers = forwarded(
        ('Authorization', 'Bearer secret'),
        ('X-Organisation', 'other'),
        ('X-SECRET', '1'),
        ('X-Priority', '0'),
        ('X-Expected-Upstream', 'u9'),
        ('Connection', 'close, X-Hop'),
        ('X-Hop', '1'),
        ('X-Kept', 'yes'),
    )
    assert 'secret' not in ' '.join(upstream_headers.values())
    assert upstream_headers['x-organisation'] == 'o'
    assert upstream_headers['x-priority'] == '2'
    assert upstream_headers['x-expected-upstream'] == 'u1'
    assert upstream_headers['x-kept'] == 'yes'
    assert not {'x-hop', 'connection', 'x-secret'} & upstream_headers.keys()


def test_remaining_time_replaces_the_callers_deadline() -> None:
    assert forwarded(('X-Deadline-Ms', '9999'))['x-deadline-ms'] == '900'


def test_invalid_metadata_counts_as_missing() -> None:
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
    parsed = caller_request.read_metadata(request, NAMES)
    assert parsed.deadline_ms is None
    assert (parsed.prompt_tokens, parsed.output_tokens) == (0, 0)
    assert parsed.parts == (
        caller_request.PromptPart('a', 1),
        caller_request.PromptPart('c', 0),
    )
    assert not parsed.key
