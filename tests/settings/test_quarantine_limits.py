"""Settings of the quarantine are checked at the start."""

import typing

import pydantic
import pytest

from cranberryrill.settings import fleet

ADAPTER = pydantic.TypeAdapter(fleet.FleetSettings)
REQUIRED = {
    'name': 'entry-0',
    'host': '127.0.0.1',
    'data_centre': 'a',
    'internal_ports': (7000, 7010),
    'seeds': ('127.0.0.1:8000',),
    'trust': 'network',
}


def test_limits_are_read() -> None:
    settings = ADAPTER.validate_python(
        {**REQUIRED, 'quarantine': {'crashes': 6, 'idle_seconds': 60}}
    )
    assert settings.quarantine.crashes == 6
    assert settings.quarantine.idle_seconds == pytest.approx(60)
    assert ADAPTER.validate_python(REQUIRED).quarantine.crashes == 4


@pytest.mark.parametrize(
    'content',
    [
        {'crashes': -1},
        {'crashes': 'many'},
        {'idle_seconds': 0},
        {'evidence_seconds': -5},
        {'max_parts': 0},
        {'request_crashes': -1},
        {'max_requests': 0},
        {'unknown': 1},
    ],
)
def test_wrong_limits_are_refused(content: dict[str, typing.Any]) -> None:
    with pytest.raises(pydantic.ValidationError):
        ADAPTER.validate_python({**REQUIRED, 'quarantine': content})
