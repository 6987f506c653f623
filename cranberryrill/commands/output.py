"""Output of commands: results on stdout, messages on stderr, exit codes."""

import sys
import typing
from collections import abc

FAILED = 1
USAGE_ERROR = 2
# No member answered: a change may have been accepted.
OUTCOME_UNKNOWN = 3


def print_result(line: str) -> None:
    """Print a line of the result to standard output."""
    sys.stdout.write(f'{line}\n')


def print_message(line: str) -> None:
    """Print a message to standard error."""
    sys.stderr.write(f'{line}\n')


def fail(failure: object, code: int = FAILED) -> typing.NoReturn:
    """Print each line of a failure and exit with `code`."""
    for line in str(failure).splitlines():
        print_message(f'cranberryrill: {line}')
    sys.exit(code)


def print_table(
    headers: abc.Sequence[str],
    rows: abc.Sequence[abc.Sequence[object]],
) -> None:
    """Print rows as left-aligned columns below their headers."""
    cells = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        print_result('  '.join(padded).rstrip())
