"""Generate the operators' pages of settings and metrics from the code."""

import pathlib

import cyclopts

from cranberryrill import metrics
from cranberryrill.commands import settings
from cranberryrill.settings import descriptions

APP = cyclopts.App(name='pages', help="Generate the operators' pages.")
FOLDER = pathlib.Path(__file__).parent.parent / 'docs' / 'operators'
SETTINGS = 'settings.md'
METRICS = 'metrics.md'
SETTINGS_HEAD = """\
# Settings

Made by `scripts/generate-docs` from the definitions that check the settings.

A process reads one YAML file. `cranberryrill settings check ROLE FILE` names
every fault with its line, and `cranberryrill settings describe ROLE` prints
the table below for one role. A dot leads into a group, `[]` into each item of
a list.
"""
METRICS_HEAD = """\
# Metrics

Made by `scripts/generate-docs` from the definitions in `metrics.py`.

Each process sends these to the statsd server of `process.statsd`, every two
seconds or as they happen, behind the setting's prefix.

| metric | kind | meaning |
|---|---|---|
"""


def settings_page() -> str:
    """Return the page of the settings of all roles, as Markdown."""
    parts = [SETTINGS_HEAD]
    for role, settings_type in settings.SETTINGS_TYPES.items():
        parts.append(f'\n## {role}\n\n')
        parts.append('| setting | kind | default | meaning |\n')
        parts.append('|---|---|---|---|\n')
        parts.extend(
            f'| `{setting.path}` | {setting.kind} | `{setting.default}` '
            f'| {setting.description.rstrip(".")} |\n'
            for setting in descriptions.describe(settings_type)
        )
    return ''.join(parts)


def metrics_page() -> str:
    """Return the page of all metrics, as Markdown."""
    rows = [
        f'| `{metric.name}` | {metric.kind.value} | {metric.description} |\n'
        for metric in metrics.DEFINITIONS
    ]
    return METRICS_HEAD + ''.join(rows)


def pages() -> dict[pathlib.Path, str]:
    """Return the path and content of each page."""
    return {
        FOLDER / SETTINGS: settings_page(),
        FOLDER / METRICS: metrics_page(),
    }


@APP.default
def write() -> None:
    """Write every page."""
    for path, content in pages().items():
        path.write_text(content, encoding='utf-8')


if __name__ == '__main__':
    APP()
