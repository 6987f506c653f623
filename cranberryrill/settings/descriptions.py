"""Describe settings from the data classes that define and check them."""

import dataclasses
import typing
from collections import abc

import pydantic

NO_DEFAULT = dataclasses.MISSING


@dataclasses.dataclass(frozen=True)
class Setting:
    """Description of one setting for operators.

    `path` joins the names of the groups and of the setting by dots; `[]` marks
    the items of a list.
    """

    path: str
    kind: str
    default: str
    description: str


def describe(
    settings_class: type[typing.Any], prefix: str = ''
) -> list[Setting]:
    """Return every setting of a settings class, nested ones included.

    `prefix` is prepended to each path.
    """
    hints = typing.get_type_hints(settings_class, include_extras=True)
    settings: list[Setting] = []
    for field in dataclasses.fields(settings_class):
        settings.extend(_describe_field(field, hints[field.name], prefix))
    return settings


def _describe_field(
    field: dataclasses.Field[typing.Any],
    hint: typing.Any,
    prefix: str,
) -> abc.Iterator[Setting]:
    path = f'{prefix}{field.name}'
    kind, description = _split_hint(hint)
    nested = _nested_class(kind)
    if nested is None or field.default is not NO_DEFAULT or description:
        yield Setting(
            path,
            _kind_name(kind),
            _default_text(field),
            description or _first_line(nested),
        )
    if nested is not None:
        is_list = typing.get_origin(kind) is tuple
        yield from describe(nested, f'{path}[].' if is_list else f'{path}.')


def _split_hint(hint: typing.Any) -> tuple[typing.Any, str]:
    if typing.get_origin(hint) is not typing.Annotated:
        return hint, ''
    kind, *annotations = typing.get_args(hint)
    for annotation in annotations:
        is_field = isinstance(annotation, pydantic.fields.FieldInfo)
        if is_field and annotation.description:
            return kind, annotation.description
    return kind, ''


def _nested_class(kind: typing.Any) -> type[typing.Any] | None:
    for part in (kind, *typing.get_args(kind)):
        if dataclasses.is_dataclass(part) and isinstance(part, type):
            return part
    return None


def _kind_name(kind: typing.Any) -> str:
    if typing.get_origin(kind) is tuple:
        return 'list'
    nested = _nested_class(kind)
    if nested is not None:
        return 'group'
    return str(getattr(kind, '__name__', kind))


def _default_text(field: dataclasses.Field[typing.Any]) -> str:
    if field.default is NO_DEFAULT:
        return 'required'
    if dataclasses.is_dataclass(field.default):
        return 'as below'
    if field.default is None:
        return 'none'
    return (
        str(field.default).lower()
        if isinstance(field.default, bool)
        else repr(field.default)
    )


def _first_line(nested: type[typing.Any] | None) -> str:
    return (getattr(nested, '__doc__', '') or '').strip().split('\n')[0]
