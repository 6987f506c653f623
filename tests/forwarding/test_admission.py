"""Which requests are taken, and until when they are answered."""

import dataclasses
import itertools

import pytest
import result

from cranberryrill import failures
from cranberryrill.forwarding import admission, http_names, terms
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


def request_for(path: str, *headers: tuple[str, str]) -> terms.Request:
    given = (('Host', 'a.example'), *headers)
    return terms.Request('GET', path, given, b'', 100.0)


def admit(
    request: terms.Request,
    held: document.Document = DOCUMENT,
) -> admission.Admitted | failures.Failure:
    admitted = admission.admit(request, NAMES, route_table.RouteTable(held), 0)
    if isinstance(admitted, result.Err):
        return admitted.err_value
    return admitted.ok_value


def test_process_without_a_configuration_says_not_serving() -> None:
    refused = admit(request_for('/x/1'), document.EMPTY)
    assert isinstance(refused, failures.NotServing)
    assert refused.ran is failures.Ran.no


def test_keys_and_routes_are_checked() -> None:
    key = ('Authorization', 'Bearer key')
    assert isinstance(admit(request_for('/y')), failures.UnknownRoute)
    assert isinstance(admit(request_for('/x/1')), failures.MissingKey)
    wrong = ('Authorization', 'Bearer other')
    assert isinstance(admit(request_for('/x/1', wrong)), failures.InvalidKey)
    taken = admit(request_for('/x/1', key))
    assert isinstance(taken, admission.Admitted)
    assert (taken.organisation, taken.rank) == ('o', 3)


def test_anonymous_route_still_names_the_organisation_of_a_key() -> None:
    free = dataclasses.replace(ROUTE, anonymous=True)
    held = dataclasses.replace(DOCUMENT, routes=(free,))
    without = admit(request_for('/x/1'), held)
    assert isinstance(without, admission.Admitted)
    assert not without.organisation
    named = admit(request_for('/x/1', ('Authorization', 'Bearer key')), held)
    assert isinstance(named, admission.Admitted)
    assert named.organisation == 'o'


def test_answer_comes_by_the_shorter_of_both_times() -> None:
    free = dataclasses.replace(ROUTE, anonymous=True)
    held = dataclasses.replace(DOCUMENT, routes=(free,))
    by_route = admit(request_for('/x/1', ('X-Deadline-Ms', '5000')), held)
    assert isinstance(by_route, admission.Admitted)
    assert by_route.answer_by == pytest.approx(100.8)
    by_caller = admit(request_for('/x/1', ('X-Deadline-Ms', '300')), held)
    assert isinstance(by_caller, admission.Admitted)
    expected = 100.3 - admission.ANSWER_MARGIN
    assert by_caller.answer_by == pytest.approx(expected)


def test_stopping_process_takes_only_what_it_can_finish() -> None:
    free = dataclasses.replace(ROUTE, anonymous=True)
    held = dataclasses.replace(DOCUMENT, routes=(free,))
    taken = admit(request_for('/x/1'), held)
    assert isinstance(taken, admission.Admitted)
    stop = admission.Stop(out_at=99, ends_at=100.5)
    assert not admission.may_finish(taken, stop, 100)
    assert admission.may_finish(taken, stop, 98)
    later = admission.Stop(out_at=99, ends_at=101)
    assert admission.may_finish(taken, later, 100)


def test_callers_come_back_after_the_proof_as_far_apart_as_they_came() -> None:
    # After a loss of power they press until the first proof, 0.5 s later.
    arrivals = [number * 0.01 for number in range(50)]
    returns = []
    for arrived_at in arrivals:
        wait = admission.not_serving('no proof').retry_after_seconds
        assert wait is not None
        returns.append(arrived_at + wait)
    assert min(returns) > max(arrivals)
    for before, after in itertools.pairwise(returns):
        assert after - before == pytest.approx(0.01)


def test_requests_wait_for_the_first_proof_after_a_loss_of_power() -> None:
    expected = admission.PROOF_MOSTLY
    # Callers press from the moment at which the process listens.
    for started_for in (0.0, 0.2, 0.4):
        wait = admission.first_proof_wait(started_for, 4.0, 0)
        assert wait == expected - started_for
    # Nobody knows how much longer it takes: they come back instead.
    assert not admission.first_proof_wait(expected, 4.0, 0)
    # One that could not be answered any more is told so at once.
    assert not admission.first_proof_wait(0.1, 0.3, 0)
    assert admission.first_proof_wait(0.3, 0.3, 0)
    # What waits takes memory.
    assert not admission.first_proof_wait(0.1, 4.0, admission.AWAITING_MOST)
