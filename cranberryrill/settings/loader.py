"""Read a YAML file into a checked, frozen data class."""

import dataclasses
import pathlib
import types
import typing
from collections import abc

import pydantic
import result
import yaml

# The library's own words speak of the program, not of the document.
PLAIN: types.MappingProxyType[str, str] = types.MappingProxyType(
    {
        'unexpected_keyword_argument': 'nothing of this name is known here',
        'missing': 'is required',
    }
)
Checked = typing.TypeVar('Checked')


@dataclasses.dataclass(frozen=True)
class Fault:
    """Name one thing wrong in a document, and where."""

    path: str
    line: int
    message: str

    def __str__(self) -> str:
        """Explain the fault in one line."""
        return f'line {self.line}: {self.path}: {self.message}'


TOO_DEEP = Fault(path='document', line=0, message='fewer levels')


@dataclasses.dataclass(frozen=True)
class InvalidDocument:
    """A document can't be used; every fault found is listed."""

    source: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """Explain each fault on its line."""
        return '\n'.join(f'{self.source}: {fault}' for fault in self.faults)


def read_file(
    path: pathlib.Path,
    shape: type[Checked],
) -> result.Result[Checked, InvalidDocument]:
    """Return the file's content checked against `shape`."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(path=str(path), line=0, message=str(error))
        return result.Err(InvalidDocument(str(path), (fault,)))
    return read_text(text, shape, str(path))


def read_text(
    text: str,
    shape: type[Checked],
    source: str,
) -> result.Result[Checked, InvalidDocument]:
    """Return the YAML `text` checked against `shape`."""
    try:
        root, content = _parse(text)
    except yaml.YAMLError:
        return result.Err(InvalidDocument(source, _syntax_faults(text)))
    except RecursionError:
        return result.Err(InvalidDocument(source, (TOO_DEEP,)))
    repeated = tuple(_repeated_names(root, ''))
    if repeated:
        return result.Err(InvalidDocument(source, repeated))
    adapter = pydantic.TypeAdapter(shape)
    try:
        return result.Ok(adapter.validate_python(content or {}))
    except pydantic.ValidationError as error:
        faults = tuple(
            Fault(
                path='.'.join(str(part) for part in detail['loc']) or 'root',
                line=_line_of(root, detail['loc']),
                message=PLAIN.get(detail['type'], detail['msg']),
            )
            for detail in error.errors()
        )
        return result.Err(InvalidDocument(source, faults))


def add_line_numbers(
    text: str,
    faults: abc.Iterable[Fault],
) -> tuple[Fault, ...]:
    """Return the faults with their lines in `text`, which is valid YAML."""
    root = yaml.compose(text, Loader=yaml.CSafeLoader)
    return tuple(
        dataclasses.replace(fault, line=_line_of(root, _parts(fault.path)))
        for fault in faults
    )


def _parse(text: str) -> tuple[yaml.Node | None, typing.Any]:
    """Return the document's nodes, which know their lines, and its content."""
    loader = yaml.CSafeLoader(text)
    try:
        root = loader.get_single_node()
        content = None if root is None else loader.construct_document(root)
    finally:
        loader.dispose()
    return root, content


def _syntax_faults(text: str) -> tuple[Fault, ...]:
    """Return what is wrong with the YAML, by the parser that says it best."""
    try:
        yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        line = mark.line + 1 if mark else 0
        return (Fault('document', line, _first_line(error)),)
    except RecursionError:
        return (TOO_DEEP,)
    return (Fault('document', 0, 'valid YAML'),)


def _parts(place: str) -> tuple[int | str, ...]:
    return tuple(
        int(part) if part.isdecimal() else part for part in place.split('.')
    )


def _repeated_names(
    node: yaml.Node | None,
    place: str,
) -> abc.Iterator[Fault]:
    if isinstance(node, yaml.SequenceNode):
        for position, child in enumerate(node.value):
            yield from _repeated_names(child, f'{place}{position}.')
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for name, child in node.value:
        here = f'{place}{name.value}'
        if isinstance(name, yaml.ScalarNode):
            if name.value in seen:
                line = name.start_mark.line + 1
                yield Fault(here, line, 'the name stands twice')
            seen.add(name.value)
        yield from _repeated_names(child, f'{here}.')


def _first_line(error: yaml.YAMLError) -> str:
    return str(error).replace('\n', ' ')


def _line_of(root: yaml.Node | None, place: tuple[int | str, ...]) -> int:
    node: typing.Any = root
    for part in place:
        child = _child(node, part)
        if child is None:
            break
        node = child
    return node.start_mark.line + 1 if node else 0


def _child(node: typing.Any, part: int | str) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        for name, child in node.value:
            if name.value == str(part):
                return typing.cast(yaml.Node, child)
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        children: list[yaml.Node] = node.value
        return children[part] if part < len(children) else None
    return None
