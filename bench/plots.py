"""Plot the measurements of experiments: `python -m bench.plots`."""

import json
import pathlib
import typing

import cyclopts
from matplotlib import figure as figures

APP = cyclopts.App(name='plots', help='Plot the results of experiments.')
TARGET_SHARE = 0.95
BAR_WIDTH = 0.4
FIGURE_INCHES = (10, 7)
DOTS_PER_INCH = 70
Results = list[dict[str, typing.Any]]


def draw(results: Results, title: str, target: pathlib.Path) -> None:
    """Write a figure with a bar chart of each class to `target`.

    Each chart has a group of bars for each experiment, one bar a policy.
    """
    names = [item['name'] for item in results[0]['classes']]
    figure = figures.Figure(figsize=FIGURE_INCHES)
    subplots = figure.subplots(len(names), sharex=True, sharey=True)
    for number, name in enumerate(names):
        _draw_class(subplots[number], results, number)
        subplots[number].set_ylabel(name)
    subplots[0].set_title(title)
    subplots[0].legend(loc='lower left')
    figure.tight_layout()
    figure.savefig(target, dpi=DOTS_PER_INCH)


def _draw_class(axes: typing.Any, results: Results, number: int) -> None:
    policies = sorted({item['policy'] for item in results})
    experiments = list(dict.fromkeys(item['experiment'] for item in results))
    for offset, policy in enumerate(policies):
        axes.bar(
            [
                position + offset * BAR_WIDTH
                for position in range(len(experiments))
            ],
            [
                item['classes'][number]['first_token']
                for item in results
                if item['policy'] == policy
            ],
            BAR_WIDTH,
            label=policy,
        )
    axes.axhline(TARGET_SHARE, linestyle='--', linewidth=1, color='black')
    axes.set_xticks(
        [position + BAR_WIDTH / 2 for position in range(len(experiments))],
        [name.replace(' ', '\n') for name in experiments],
    )


@APP.default
def run(results: pathlib.Path, target: pathlib.Path, *, title: str) -> None:
    """Plot the share of first tokens in time, by class and experiment.

    Parameters
    ----------
    results:
        JSON file that `bench.experiments --results` wrote.
    target:
        Image file to write.
    title:
        Title of the figure.
    """
    draw(json.loads(results.read_text()), title, target)


if __name__ == '__main__':
    APP()
