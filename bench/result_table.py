"""Print the measures of experiments, as a table and line by line."""

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


def table(all_measures: typing.Sequence[measurements.Measurement]) -> str:
    """Return a Markdown table with the rows of one experiment together."""
    ordered = sorted(all_measures, key=lambda measure: measure.experiment)
    rows = [list(HEADINGS), ['---' for _ in HEADINGS]]
    rows.extend(_row(measure) for measure in ordered)
    return '\n'.join(f'| {" | ".join(row)} |' for row in rows)


def print_measure(measure: measurements.Measurement) -> None:
    """Print one measure as a line, without waiting for the other runs."""
    print(' | '.join(_row(measure)), measure.note, flush=True)


def _row(measure: measurements.Measurement) -> list[str]:
    return [
        measure.experiment,
        measure.policy,
        '<br>'.join(_class_cell(one) for one in measure.classes),
        f'{measure.goodput:.0f}',
        f'{measure.work.wasted_share():.1%}',
        ' / '.join(f'{one:.2f}' for one in measure.worst_organisations),
        f'{measure.cost:.2f}',
        f'{measure.violations} / {measure.events}',
        str(measure.missed_floors),
        f'{measure.host_load:.0f}',
    ]


def _class_cell(one: measurements.ClassMeasurement) -> str:
    return (
        f'{one.name}: {one.first_token:.1%} / {one.first_token_p95_ms:.0f} ms,'
        f' {one.between_tokens:.1%} / {one.gap_p95_ms:.0f} ms'
    )
