"""Draw what experiments have measured: `python -m bench.plots`."""

import json
import pathlib
import typing

import cyclopts
from matplotlib import figure as figures

APP = cyclopts.App(name='plots', help='Draw the results of experiments.')
TARGET_SHARE = 0.95
BAR_WIDTH = 0.4
FIGURE_INCHES = (10, 7)
DOTS_PER_INCH = 70
Results = list[dict[str, typing.Any]]


def draw(results: Results, title: str, target: pathlib.Path) -> None:
    """Draw one row of bars for each class, a pair for each experiment."""
    names = [one['name'] for one in results[0]['classes']]
    figure = figures.Figure(figsize=FIGURE_INCHES)
    rows = figure.subplots(len(names), sharex=True, sharey=True)
    for number, name in enumerate(names):
        _draw_class(rows[number], results, number)
        rows[number].set_ylabel(name)
    rows[0].set_title(title)
    rows[0].legend(loc='lower left')
    figure.tight_layout()
    figure.savefig(target, dpi=DOTS_PER_INCH)


def _draw_class(row: typing.Any, results: Results, number: int) -> None:
    policies = sorted({one['policy'] for one in results})
    experiments = list(dict.fromkeys(one['experiment'] for one in results))
    for offset, policy in enumerate(policies):
        row.bar(
            [place + offset * BAR_WIDTH for place in range(len(experiments))],
            [
                one['classes'][number]['first_token']
                for one in results
                if one['policy'] == policy
            ],
            BAR_WIDTH,
            label=policy,
        )
    row.axhline(TARGET_SHARE, linestyle='--', linewidth=1, color='black')
    row.set_xticks(
        [place + BAR_WIDTH / 2 for place in range(len(experiments))],
        [name.replace(' ', '\n') for name in experiments],
    )


@APP.default
def run(results: pathlib.Path, target: pathlib.Path, *, title: str) -> None:
    """Draw the first-token attainment of each class and experiment."""
    draw(json.loads(results.read_text()), title, target)


if __name__ == '__main__':
    APP()
