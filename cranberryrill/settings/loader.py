"""Load YAML into a data class and report every fault with its line."""

import dataclasses
import pathlib
import types
import typing
from collections import abc

import pydantic
import result
import yaml

# Pydantic's own texts for these error types refer to Python arguments.
MESSAGES_BY_ERROR_TYPE: types.MappingProxyType[str, str] = (
    types.MappingProxyType(
        {
            'unexpected_keyword_argument': 'nothing of this name is known here',
            'missing': 'is required',
        }
    )
)
Loaded = typing.TypeVar('Loaded')


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault in a document, with its path and line.

    `line` is 0 when the line is unknown. `message` says what is wrong or what
    is expected instead.
    """

    path: str
    line: int
    message: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f'line {self.line}: {self.path}: {self.message}'


TOO_DEEP = Fault(path='document', line=0, message='fewer levels')


@dataclasses.dataclass(frozen=True)
class InvalidDocument:
    """Every fault that makes a document unusable.

    `source` names the file or the origin of the text.
    """

    source: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """Return one line for each fault."""
        return '\n'.join(f'{self.source}: {fault}' for fault in self.faults)


def read_file(
    path: pathlib.Path,
    data_class: type[Loaded],
) -> result.Result[Loaded, InvalidDocument]:
    """Return the YAML file's content as an instance of `data_class`."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(path=str(path), line=0, message=str(error))
        return result.Err(InvalidDocument(str(path), (fault,)))
    return read_text(text, data_class, str(path))


def read_text(
    text: str,
    data_class: type[Loaded],
    source: str,
) -> result.Result[Loaded, InvalidDocument]:
    """Return the YAML `text` as an instance of `data_class`.

    Empty text is read as an empty mapping.
    """
    try:
        root, content = _parse(text)
    except yaml.YAMLError:
        return result.Err(InvalidDocument(source, _syntax_faults(text)))
    except ValueError as error:
        # A date or number that Python can't represent.
        fault = Fault('document', 0, str(error))
        return result.Err(InvalidDocument(source, (fault,)))
    except RecursionError:
        return result.Err(InvalidDocument(source, (TOO_DEEP,)))
    duplicates = tuple(_duplicate_names(root, ''))
    if duplicates:
        return result.Err(InvalidDocument(source, duplicates))
    adapter = pydantic.TypeAdapter(data_class)
    try:
        return result.Ok(adapter.validate_python(content or {}))
    except pydantic.ValidationError as error:
        faults = tuple(
            Fault(
                path='.'.join(str(part) for part in detail['loc']) or 'root',
                line=_line_of(root, detail['loc']),
                message=MESSAGES_BY_ERROR_TYPE.get(
                    detail['type'], detail['msg']
                ),
            )
            for detail in error.errors()
        )
        return result.Err(InvalidDocument(source, faults))


def add_line_numbers(
    text: str,
    faults: abc.Iterable[Fault],
) -> tuple[Fault, ...]:
    """Return the faults with their lines in `text`, a valid YAML document."""
    root = yaml.compose(text, Loader=yaml.CSafeLoader)
    return tuple(
        dataclasses.replace(fault, line=_line_of(root, _split_path(fault.path)))
        for fault in faults
    )


def _parse(text: str) -> tuple[yaml.Node | None, typing.Any]:
    """Return the root node, which has line numbers, and the content."""
    loader = yaml.CSafeLoader(text)
    try:
        root = loader.get_single_node()
        content = None if root is None else loader.construct_document(root)
    finally:
        loader.dispose()
    return root, content


def _syntax_faults(text: str) -> tuple[Fault, ...]:
    """Return the syntax faults in the YAML `text`.

    The pure Python parser reads it again, because its errors are clearer than
    those of the C parser.
    """
    try:
        yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        line = mark.line + 1 if mark else 0
        return (Fault('document', line, _as_one_line(error)),)
    except RecursionError:
        return (TOO_DEEP,)
    return (Fault('document', 0, 'valid YAML'),)


def _split_path(path: str) -> tuple[int | str, ...]:
    return tuple(
        int(part) if part.isdecimal() else part for part in path.split('.')
    )


def _duplicate_names(
    node: yaml.Node | None,
    prefix: str,
) -> abc.Iterator[Fault]:
    if isinstance(node, yaml.SequenceNode):
        for position, child in enumerate(node.value):
            yield from _duplicate_names(child, f'{prefix}{position}.')
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for name, child in node.value:
        path = f'{prefix}{name.value}'
        if isinstance(name, yaml.ScalarNode):
            if name.value in seen:
                line = name.start_mark.line + 1
                yield Fault(path, line, 'the name stands twice')
            seen.add(name.value)
        yield from _duplicate_names(child, f'{path}.')


def _as_one_line(error: yaml.YAMLError) -> str:
    return str(error).replace('\n', ' ')


def _line_of(root: yaml.Node | None, path: tuple[int | str, ...]) -> int:
    """Return the line of the deepest node on `path` that exists.

    0 without a root.
    """
    node: typing.Any = root
    for part in path:
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
