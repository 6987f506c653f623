"""Check the example configurations of the operators' guide and the library."""

import collections
import pathlib
import subprocess
import sys

import pytest
import result

from cranberryrill import library
from cranberryrill.configuration import validation

EXAMPLES = pathlib.Path(__file__).parent.parent / 'docs/operators/examples'


def run_example(name: str) -> library.Document:
    output = subprocess.run(
        [sys.executable, str(EXAMPLES / f'{name}.py')],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    ).stdout
    return validation.read_document(output, name).unwrap()


@pytest.mark.parametrize(
    ('name', 'data_centres', 'model', 'models', 'desk', 'desks', 'customers'),
    [
        ('nivelar', 4, 'wobble', 6, 'parts-desk', 4, 10),
        ('tuul', 3, 'finish', 9, 'order-desk', 3, 9),
    ],
)
def test_example_matches_its_scenario(
    name: str,
    data_centres: int,
    model: str,
    models: int,
    desk: str,
    desks: int,
    customers: int,
) -> None:
    content = run_example(name)
    rules = content.upstream_rules
    least: collections.Counter[str] = collections.Counter()
    most: collections.Counter[str] = collections.Counter()
    for rule in rules:
        least[rule.target] += rule.least
        most[rule.target] += rule.most
    assert len({rule.data_centre for rule in rules}) == data_centres
    assert least[model] <= models <= most[model]
    assert least[desk] == most[desk] == desks
    assert len(content.organisations) == customers
    assert sum(request_class.floor for request_class in content.classes) <= 1
    orders = [
        route for route in content.routes if route.path_prefix == '/orders'
    ]
    assert [route.idempotent for route in orders] == [False]


def test_competing_organisations_have_the_same_limits() -> None:
    content = run_example('tuul')
    limits = {
        (
            organisation.weight,
            organisation.requests_per_second,
            organisation.tokens_per_minute,
        )
        for organisation in content.organisations
        if not organisation.name.startswith('buyers')
    }
    assert len(limits) == 1


def test_invalid_document_ends_the_program(
    capsys: pytest.CaptureFixture[str],
) -> None:
    model = library.Model(name='wobble', default_class='none')
    invalid = library.Document(models=(model,))
    assert isinstance(library.print_document(invalid), result.Err)
    with pytest.raises(SystemExit) as raised:
        library.show(invalid)
    assert 'models.0.default_class' in str(raised.value)
    assert not capsys.readouterr().out
