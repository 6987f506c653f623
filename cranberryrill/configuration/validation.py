"""Parse a configuration document and check it as a whole.

Names must be unique within a kind, as must the path prefixes of routes. Each
reference must name a configured object, and each number must be finite.
"""

import dataclasses
import sys
from collections import abc

import result

from cranberryrill.configuration import active, document
from cranberryrill.settings import loader

MAX_NUMBER = sys.float_info.max


def read_document(
    text: str,
    source: str,
) -> result.Result[document.Document, loader.InvalidDocument]:
    """Return the document in the YAML `text`, or every fault in it.

    `source` names the origin of the text in error messages.
    """
    loaded = loader.read_text(text, document.Document, source)
    if isinstance(loaded, result.Err):
        return loaded
    faults = tuple(_find_faults(loaded.ok_value))
    if faults:
        located = loader.add_line_numbers(text, faults)
        return result.Err(loader.InvalidDocument(source, located))
    return loaded


def _find_faults(content: document.Document) -> abc.Iterator[loader.Fault]:
    names = {
        kind: {known.name for known in getattr(content, kind)}
        for kind in document.KINDS
    }
    for checked_kind in document.KINDS:
        yield from _duplicate_names(checked_kind, content)
        yield from _unusable_numbers(checked_kind, content)
    yield from _duplicate_prefixes(content)
    targets = names['models'] | {route.service for route in content.routes}
    for path, reference, configured in _references(content, names, targets):
        if reference not in configured:
            yield loader.Fault(path, 0, f'{reference!r} is not configured')
    for position, rule in enumerate(content.upstream_rules):
        if rule.least > rule.most:
            rule_path = f'upstream_rules.{position}.least'
            yield loader.Fault(
                rule_path, 0, f'must not exceed most={rule.most}'
            )


def _duplicate_names(
    kind: str,
    content: document.Document,
) -> abc.Iterator[loader.Fault]:
    seen: set[str] = set()
    for position, known in enumerate(getattr(content, kind)):
        if known.name in seen:
            path = f'{kind}.{position}.name'
            yield loader.Fault(path, 0, f'{known.name!r} stands twice')
        seen.add(known.name)


def _duplicate_prefixes(
    content: document.Document,
) -> abc.Iterator[loader.Fault]:
    seen: set[str] = set()
    for position, route in enumerate(content.routes):
        prefix = active.normalise_prefix(route.path_prefix)
        if prefix in seen:
            path = f'routes.{position}.path_prefix'
            message = f'{route.path_prefix!r} covers the paths of another route'
            yield loader.Fault(path, 0, message)
        seen.add(prefix)


def _unusable_numbers(
    kind: str,
    content: document.Document,
) -> abc.Iterator[loader.Fault]:
    """Yield each number that is infinite or too large to compute with.

    Documents of earlier versions may contain them, so that the data classes
    accept them.
    """
    for position, known in enumerate(getattr(content, kind)):
        for name, field in dataclasses.asdict(known).items():
            if isinstance(field, int | float) and field > MAX_NUMBER:
                path = f'{kind}.{position}.{name}'
                yield loader.Fault(path, 0, f'must not be above {MAX_NUMBER}')


def _references(
    content: document.Document,
    names: dict[str, set[str]],
    targets: set[str],
) -> abc.Iterator[tuple[str, str, set[str]]]:
    """Yield each reference: its path, the name in it and the valid names."""
    classes = names['classes']
    for position, model in enumerate(content.models):
        path = f'models.{position}.default_class'
        yield path, model.default_class, classes
    for position, route in enumerate(content.routes):
        path = f'routes.{position}.default_class'
        yield path, route.default_class, classes
    for position, rule in enumerate(content.class_rules):
        path = f'class_rules.{position}'
        yield f'{path}.class_name', rule.class_name, classes
        yield f'{path}.target', rule.target, targets
        yield f'{path}.organisation', rule.organisation, names['organisations']
    for position, upstream in enumerate(content.upstream_rules):
        yield f'upstream_rules.{position}.target', upstream.target, targets
