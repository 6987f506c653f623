"""Check that the operators' pages match the code and that their links work."""

import ast
import pathlib
import re
from collections import abc

from bench import pages

ROOT = pathlib.Path(__file__).parent.parent.parent
GENERATED = ('_pb2.py', '_grpc.py')


def test_generated_pages_are_up_to_date() -> None:
    stale = [
        path.name
        for path, content in pages.pages().items()
        if path.read_text(encoding='utf-8') != content
    ]
    assert not stale, 'run scripts/generate-docs'


def log_events() -> abc.Iterator[str]:
    for path in (ROOT / 'cranberryrill').rglob('*.py'):
        if path.name.endswith(GENERATED):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and is_logger_method(node.func):
                assert isinstance(node.args[0], ast.Constant)
                yield str(node.args[0].value)


def is_logger_method(function: ast.expr) -> bool:
    return (
        isinstance(function, ast.Attribute)
        and isinstance(function.value, ast.Name)
        and function.value.id == 'LOGGER'
    )


def test_every_log_event_is_documented() -> None:
    page = (pages.FOLDER / 'logs-and-metrics.md').read_text()
    documented = set(re.findall(r'^\| `([^`]+)` \|', page, re.MULTILINE))
    missing = set(log_events()) - documented
    assert not missing, 'explain these in docs/operators/logs-and-metrics.md'


def test_links_between_pages_resolve() -> None:
    for page in pages.FOLDER.glob('*.md'):
        for link in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
            assert (page.parent / link).exists(), f'{page.name}: {link}'
