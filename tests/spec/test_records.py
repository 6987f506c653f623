"""Search for conflicting reports and orders, and usage that is miscounted."""

import dataclasses

import pytest

from spec import records

LENGTH = 6


def without(rule: str) -> records.ConflictSearch:
    fewer = dataclasses.replace(records.Rules(), **{rule: False})
    return records.ConflictSearch(fewer, LENGTH)


def test_all_rules() -> None:
    rules = records.Rules()
    assert records.ConflictSearch(rules, LENGTH).find_report_conflict() is None
    assert records.ConflictSearch(rules, LENGTH).find_order_conflict() is None
    assert records.ConflictSearch(rules, LENGTH).find_miscount() is None


@pytest.mark.parametrize(
    'rule',
    ['report_after_seal', 'seal_closes_window', 'committed_only'],
)
def test_reports_need(rule: str) -> None:
    assert without(rule).find_report_conflict() is not None


@pytest.mark.parametrize('rule', ['committed_only', 'content_from_entry'])
def test_orders_need(rule: str) -> None:
    assert without(rule).find_order_conflict() is not None


@pytest.mark.parametrize('rule', ['deduplicated_batches', 'seal_names_window'])
def test_counts_need(rule: str) -> None:
    assert without(rule).find_miscount() is not None
