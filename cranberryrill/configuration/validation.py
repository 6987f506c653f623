"""Check that a document's names are unique and refer to what is there."""

from collections import abc

import result

from cranberryrill.configuration import document
from cranberryrill.settings import loader


def read_document(
    text: str,
    source: str,
) -> result.Result[document.Document, loader.InvalidDocument]:
    """Return the checked document that the YAML `text` holds."""
    read = loader.read_text(text, document.Document, source)
    if isinstance(read, result.Err):
        return read
    faults = tuple(_faults(read.ok_value))
    if faults:
        located = loader.add_line_numbers(text, faults)
        return result.Err(loader.InvalidDocument(source, located))
    return read


def _faults(content: document.Document) -> abc.Iterator[loader.Fault]:
    names = {
        kind: {named.name for named in getattr(content, kind)}
        for kind in document.KINDS
    }
    for repeated in document.KINDS:
        yield from _repeated(repeated, content)
    targets = names['models'] | {route.service for route in content.routes}
    for place, wanted, known in _references(content, names, targets):
        if wanted not in known:
            yield loader.Fault(place, 0, f'{wanted!r} is not configured')
    for position, rule in enumerate(content.upstream_rules):
        if rule.least > rule.most:
            where = f'upstream_rules.{position}.least'
            yield loader.Fault(where, 0, f'must not exceed most={rule.most}')


def _repeated(
    kind: str,
    content: document.Document,
) -> abc.Iterator[loader.Fault]:
    seen: set[str] = set()
    for position, named in enumerate(getattr(content, kind)):
        if named.name in seen:
            place = f'{kind}.{position}.name'
            yield loader.Fault(place, 0, f'{named.name!r} stands twice')
        seen.add(named.name)


def _references(
    content: document.Document,
    names: dict[str, set[str]],
    targets: set[str],
) -> abc.Iterator[tuple[str, str, set[str]]]:
    classes = names['classes']
    for position, model in enumerate(content.models):
        place = f'models.{position}.default_class'
        yield place, model.default_class, classes
    for position, route in enumerate(content.routes):
        place = f'routes.{position}.default_class'
        yield place, route.default_class, classes
    for position, rule in enumerate(content.class_rules):
        place = f'class_rules.{position}'
        yield f'{place}.class_name', rule.class_name, classes
        yield f'{place}.target', rule.target, targets
        yield f'{place}.organisation', rule.organisation, names['organisations']
    for position, upstream in enumerate(content.upstream_rules):
        yield f'upstream_rules.{position}.target', upstream.target, targets
