"""Measurements of experiments, as a Markdown table and line by line."""

import typing

from bench import measurements

HEADINGS = (
    'experiment',
    'policy',
    'class: first token in time / p95, gaps in time / p95',
    'goodput tok/s',
    'wasted',
    'worst organisation: urgent / chat / drafting',
    'engine-s per 1000 tok',
    'violations / events',
    'floors missed',
    'host load',
)


def table(results: typing.Sequence[measurements.Measurement]) -> str:
    """Return a Markdown table with the rows of one experiment together."""
    ordered = sorted(results, key=lambda measurement: measurement.experiment)
    rows = [list(HEADINGS), ['---' for _ in HEADINGS]]
    rows.extend(_row(measurement) for measurement in ordered)
    return '\n'.join(f'| {" | ".join(row)} |' for row in rows)


def print_measurement(measurement: measurements.Measurement) -> None:
    """Print one measurement as a line as soon as its run has ended."""
    print(' | '.join(_row(measurement)), measurement.note, flush=True)


def _row(measurement: measurements.Measurement) -> list[str]:
    return [
        measurement.experiment,
        measurement.policy,
        '<br>'.join(_class_cell(one) for one in measurement.classes),
        f'{measurement.goodput:.0f}',
        f'{measurement.work.wasted_share():.1%}',
        ' / '.join(f'{one:.2f}' for one in measurement.worst_organisations),
        f'{measurement.cost:.2f}',
        f'{measurement.violations} / {measurement.events}',
        str(measurement.missed_floors),
        f'{measurement.host_load:.0f}',
    ]


def _class_cell(one: measurements.ClassMeasurement) -> str:
    return (
        f'{one.name}: {one.first_token:.1%} / {one.first_token_p95_ms:.0f} ms,'
        f' {one.between_tokens:.1%} / {one.gap_p95_ms:.0f} ms'
    )
