"""Answer the operator: results on standard output, the rest beside it."""

import sys
import typing
from collections import abc

FAILED = 1
USAGE_ERROR = 2
# Nobody could say whether the change was accepted.
OUTCOME_UNKNOWN = 3


def print_result(line: str) -> None:
    """Write a line of the result."""
    sys.stdout.write(f'{line}\n')


def print_message(line: str) -> None:
    """Write a line that explains what was done."""
    sys.stderr.write(f'{line}\n')


def fail(failure: object, code: int = FAILED) -> typing.NoReturn:
    """Explain a typed failure and end the command."""
    for line in str(failure).splitlines():
        print_message(f'cranberryrill: {line}')
    sys.exit(code)


def print_table(
    heads: abc.Sequence[str],
    rows: abc.Sequence[abc.Sequence[object]],
) -> None:
    """Write aligned columns below their heads."""
    cells = [list(heads), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        print_result('  '.join(padded).rstrip())
