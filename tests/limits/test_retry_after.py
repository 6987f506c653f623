"""Values of `Retry-After` have a bounded, logged meaning."""

import pytest

from cranberryrill.limits import retry_after


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [('2', 2), (' 0.35 ', 0.35), ('.5', 0.5), ('0', 0), ('600', 600)],
)
def test_seconds_may_have_a_fraction(
    text: str, seconds: float, caplog: pytest.LogCaptureFixture
) -> None:
    assert retry_after.read_pause(text, 'u') == seconds
    assert not caplog.records


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        ('', retry_after.UNREADABLE_PAUSE_SECONDS),
        ('-3', retry_after.UNREADABLE_PAUSE_SECONDS),
        ('soon', retry_after.UNREADABLE_PAUSE_SECONDS),
        ('nan', retry_after.UNREADABLE_PAUSE_SECONDS),
        ('1e9', retry_after.UNREADABLE_PAUSE_SECONDS),
        ('9' * 5000, retry_after.UNREADABLE_PAUSE_SECONDS),
        ('Fri, 31 Dec 2027 23:59:59 GMT', retry_after.UNREADABLE_PAUSE_SECONDS),
        ('601', retry_after.MAX_PAUSE_SECONDS),
        ('999999999', retry_after.MAX_PAUSE_SECONDS),
    ],
)
def test_other_values_are_replaced_and_logged(
    text: str, seconds: float, caplog: pytest.LogCaptureFixture
) -> None:
    assert retry_after.read_pause(text, 'u') == seconds
    assert [one.message for one in caplog.records] == ['pause replaced']
    named = caplog.records[0].__dict__['named']
    assert len(named) <= retry_after.MAX_LOGGED_CHARACTERS


def test_response_without_the_header_asks_for_nothing() -> None:
    assert retry_after.read_pause(None, 'u') is None
