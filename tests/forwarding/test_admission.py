"""Admission of requests, their deadlines, and refusals after a start."""

import dataclasses
import itertools

import pytest
import result

from cranberryrill import failures
from cranberryrill.forwarding import admission, caller_request, http_names
from cranberryrill.traffic import document, route_table
from tests.forwarding import conftest

NAMES = http_names.HttpNames()
ROUTE = conftest.make_route(timeout_ms=800)
DOCUMENT = document.Document(
    version=1,
    routes=(ROUTE,),
    services=(document.Service('model', '/health', 10),),
    organisations=(
        document.Organisation('o', (route_table.digest_of('key'),), rank=3),
    ),
)


def request_for(path: str, *headers: tuple[str, str]) -> caller_request.Request:
    all_headers = (('Host', 'a.example'), *headers)
    return caller_request.Request('GET', path, all_headers, b'', 100.0)


def admit(
    request: caller_request.Request,
    configuration: document.Document = DOCUMENT,
) -> admission.Admitted | failures.Failure:
    admitted = admission.admit(
        request, NAMES, route_table.RouteTable(configuration), 0
    )
    if isinstance(admitted, result.Err):
        return admitted.err_value
    return admitted.ok_value


def test_process_without_configuration_refuses_as_not_serving() -> None:
    refused = admit(request_for('/x/1'), document.EMPTY)
    assert isinstance(refused, failures.NotServing)
    assert refused.ran is failures.Ran.no


def test_route_and_key_are_checked() -> None:
    key = ('Authorization', 'Bearer key')
    assert isinstance(admit(request_for('/y')), failures.UnknownRoute)
    assert isinstance(admit(request_for('/x/1')), failures.MissingKey)
    wrong = ('Authorization', 'Bearer other')
    assert isinstance(admit(request_for('/x/1', wrong)), failures.InvalidKey)
    admitted = admit(request_for('/x/1', key))
    assert isinstance(admitted, admission.Admitted)
    assert (admitted.organisation, admitted.rank) == ('o', 3)


def test_anonymous_route_identifies_organisation_of_a_key() -> None:
    anonymous_route = dataclasses.replace(ROUTE, anonymous=True)
    configuration = dataclasses.replace(DOCUMENT, routes=(anonymous_route,))
    without = admit(request_for('/x/1'), configuration)
    assert isinstance(without, admission.Admitted)
    assert not without.organisation
    named = admit(
        request_for('/x/1', ('Authorization', 'Bearer key')), configuration
    )
    assert isinstance(named, admission.Admitted)
    assert named.organisation == 'o'


@pytest.mark.parametrize(
    'values',
    [
        ('Bearer withdrawn',),
        ('bearer\twithdrawn',),
        ('Bearer',),
        ('Basic eDp5', 'Bearer withdrawn'),
        ('Bearer key', 'Bearer withdrawn'),
    ],
)
@pytest.mark.parametrize('organisations', [DOCUMENT.organisations, ()])
def test_key_that_nobody_holds_is_refused_on_an_anonymous_route(
    values: tuple[str, ...], organisations: tuple[document.Organisation, ...]
) -> None:
    # Failed when admission took a withdrawn key for no key where none is
    # needed: its holder went on, unidentified.
    configuration = dataclasses.replace(
        DOCUMENT,
        routes=(dataclasses.replace(ROUTE, anonymous=True),),
        organisations=organisations,
    )
    headers = tuple(('Authorization', content) for content in values)
    refused = admit(request_for('/x/1', *headers), configuration)
    assert isinstance(refused, failures.InvalidKey)
    assert refused.ran is failures.Ran.no


def test_credentials_of_another_scheme_are_no_key() -> None:
    configuration = dataclasses.replace(
        DOCUMENT, routes=(dataclasses.replace(ROUTE, anonymous=True),)
    )
    basic = request_for('/x/1', ('Authorization', 'Basic eDp5'))
    assert isinstance(admit(basic, configuration), admission.Admitted)
    twice = request_for('/x/1', *(('Authorization', 'Bearer key'),) * 2)
    admitted = admit(twice, configuration)
    assert isinstance(admitted, admission.Admitted)
    assert admitted.organisation == 'o'


def test_deadline_is_the_earlier_of_route_and_caller_timeout() -> None:
    anonymous_route = dataclasses.replace(ROUTE, anonymous=True)
    configuration = dataclasses.replace(DOCUMENT, routes=(anonymous_route,))
    by_route = admit(
        request_for('/x/1', ('X-Deadline-Ms', '5000')), configuration
    )
    assert isinstance(by_route, admission.Admitted)
    assert by_route.deadline == pytest.approx(100.8)
    by_caller = admit(
        request_for('/x/1', ('X-Deadline-Ms', '300')), configuration
    )
    assert isinstance(by_caller, admission.Admitted)
    expected = 100.3 - admission.RESPONSE_MARGIN_SECONDS
    assert by_caller.deadline == pytest.approx(expected)


def test_stopping_process_admits_only_what_it_can_finish() -> None:
    anonymous_route = dataclasses.replace(ROUTE, anonymous=True)
    configuration = dataclasses.replace(DOCUMENT, routes=(anonymous_route,))
    admitted = admit(request_for('/x/1'), configuration)
    assert isinstance(admitted, admission.Admitted)
    stop = admission.Shutdown(out_of_rotation_at=99, drain_deadline=100.5)
    assert not admission.can_finish(admitted, stop, 100)
    assert admission.can_finish(admitted, stop, 98)
    later = admission.Shutdown(out_of_rotation_at=99, drain_deadline=101)
    assert admission.can_finish(admitted, later, 100)


@pytest.mark.parametrize('grace_seconds', [2, 3, 5, 8, 15, 30])
def test_late_requests_of_a_planned_stop_are_refused_or_end_in_time(
    grace_seconds: float,
) -> None:
    # Failed for short graces: answers were cut long before the process had to
    # end, and requests were taken up to then.
    stop = admission.plan_shutdown(100, grace_seconds)
    assert stop.drain_deadline < 100 + grace_seconds
    # What runs on for longer may be cut only in the last sixth of the grace.
    assert stop.drain_deadline > 100 + grace_seconds * 5 / 6
    template = admit(request_for('/x/1', ('Authorization', 'Bearer key')))
    assert isinstance(template, admission.Admitted)
    for tenth, timeout in itertools.product(
        range(int(grace_seconds * 10)), (0.1, 0.5, 1.5, 4, 15)
    ):
        arrived_at = 100 + tenth / 10
        admitted = dataclasses.replace(template, deadline=arrived_at + timeout)
        if not admission.can_finish(admitted, stop, arrived_at):
            continue
        # The balancer may send requests for so long.
        is_early = arrived_at < 100 + min(3.0, 0.35 * grace_seconds)
        assert is_early or admitted.deadline <= stop.drain_deadline


def test_refused_requests_are_retried_after_proof_equally_spaced() -> None:
    # After a power loss, callers send requests until the first proof, 0.5 s
    # later. Their retries must not all arrive at once.
    arrivals = [number * 0.01 for number in range(50)]
    retries = []
    for arrived_at in arrivals:
        wait = admission.not_serving_refusal('no proof').retry_after_seconds
        assert wait is not None
        retries.append(arrived_at + wait)
    assert min(retries) > max(arrivals)
    for before, after in itertools.pairwise(retries):
        assert after - before == pytest.approx(0.01)


def test_requests_wait_for_first_proof_after_power_loss() -> None:
    typical = admission.TYPICAL_FIRST_PROOF_SECONDS
    # Requests arrive as soon as the process listens.
    for uptime in (0.0, 0.2, 0.4):
        wait = admission.first_proof_wait(uptime, 4.0, 0)
        assert wait == typical - uptime
    # After the typical time, the rest is unknown: callers retry instead.
    assert not admission.first_proof_wait(typical, 4.0, 0)
    # A request that would miss its deadline by waiting is refused at once.
    assert not admission.first_proof_wait(0.1, 0.3, 0)
    assert admission.first_proof_wait(0.3, 0.3, 0)
    # Waiting requests take memory, so their number is limited.
    assert not admission.first_proof_wait(
        0.1, 4.0, admission.MAX_REQUESTS_AWAITING_PROOF
    )
