"""Search for conflicting reports, conflicting orders and miscounted usage."""

import dataclasses

import pytest

from spec import records

LOG_LENGTH = 6


def search_without(rule: str) -> records.ConflictSearch:
    reduced = dataclasses.replace(records.Rules(), **{rule: False})
    return records.ConflictSearch(reduced, LOG_LENGTH)


def test_all_rules_prevent_conflicts() -> None:
    rules = records.Rules()
    assert (
        records.ConflictSearch(rules, LOG_LENGTH).find_report_conflict() is None
    )
    assert (
        records.ConflictSearch(rules, LOG_LENGTH).find_order_conflict() is None
    )
    assert records.ConflictSearch(rules, LOG_LENGTH).find_miscount() is None


@pytest.mark.parametrize(
    'rule',
    ['report_after_seal', 'seal_closes_window', 'committed_only'],
)
def test_rule_is_required_for_equal_reports(rule: str) -> None:
    assert search_without(rule).find_report_conflict() is not None


@pytest.mark.parametrize('rule', ['committed_only', 'content_from_entry'])
def test_rule_is_required_for_equal_orders(rule: str) -> None:
    assert search_without(rule).find_order_conflict() is not None


@pytest.mark.parametrize('rule', ['deduplicated_batches', 'seal_names_window'])
def test_rule_is_required_for_correct_counts(rule: str) -> None:
    assert search_without(rule).find_miscount() is not None
