"""The metrics page counts quarantined parts and requests apart."""

from cranberryrill.forwarding import instruments
from cranberryrill.quarantine import ledger, records, request_key
from cranberryrill.settings import quarantine_limits


def test_quarantined_parts_and_requests_are_counted() -> None:
    evidence = ledger.Ledger(quarantine_limits.QuarantineLimits())
    head = request_key.head_key('GET', '/a', 'o')
    keys = [request_key.full_key(head, bytes(number)) for number in range(2)]
    # Four upstreams end under each request, and four under the part alone.
    for place, key in enumerate((*keys, 'part')):
        for number in range(4):
            incarnation = f'u{place}-{number}@1'
            crash = records.Crash(incarnation, 10 * place + number, 0)
            evidence.record_crash(key, crash)
    evidence.quarantine(40)
    metrics = instruments.Instruments()
    metrics.watch_quarantine(evidence)
    page = metrics.render().decode()
    assert 'cranberryrill_quarantined_requests 2.0' in page
    assert 'cranberryrill_quarantined_parts 1.0' in page
