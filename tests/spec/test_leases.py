"""Search for concurrent holders, with all rules and without each of them."""

import dataclasses

import pytest

from spec import leases, search

# The longest counterexample needs 11 steps.
MAX_STEPS = 11
RULES = tuple(field.name for field in dataclasses.fields(leases.Rules))


def test_all_rules_prevent_violations() -> None:
    assert search.find_violation(leases.Rules(), MAX_STEPS) is None


@pytest.mark.parametrize('rule', RULES)
def test_each_rule_is_required(rule: str) -> None:
    reduced = dataclasses.replace(leases.Rules(), **{rule: False})
    trace = search.find_violation(reduced, MAX_STEPS)
    assert trace is not None
    assert trace.steps[-1].endswith('sends an order')
