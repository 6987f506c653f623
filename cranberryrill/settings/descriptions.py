"""Describe the settings of a role, from the definitions that check them."""

import dataclasses
import typing
from collections import abc

import pydantic

SHAPELESS = dataclasses.MISSING


@dataclasses.dataclass(frozen=True)
class Setting:
    """Describe one setting."""

    path: str
    kind: str
    default: str
    description: str


def describe(shape: type[typing.Any], prefix: str = '') -> list[Setting]:
    """Return every setting of `shape`, those inside others too."""
    hints = typing.get_type_hints(shape, include_extras=True)
    settings: list[Setting] = []
    for field in dataclasses.fields(shape):
        settings.extend(_describe_field(field, hints[field.name], prefix))
    return settings


def _describe_field(
    field: dataclasses.Field[typing.Any],
    hint: typing.Any,
    prefix: str,
) -> abc.Iterator[Setting]:
    place = f'{prefix}{field.name}'
    kind, description = _split(hint)
    nested = _nested(kind)
    if nested is None or field.default is not SHAPELESS or description:
        yield Setting(
            place,
            _kind_name(kind),
            _default(field),
            description or _first_line(nested),
        )
    if nested is not None:
        many = typing.get_origin(kind) is tuple
        yield from describe(nested, f'{place}[].' if many else f'{place}.')


def _split(hint: typing.Any) -> tuple[typing.Any, str]:
    if typing.get_origin(hint) is not typing.Annotated:
        return hint, ''
    kind, *notes = typing.get_args(hint)
    for note in notes:
        described = isinstance(note, pydantic.fields.FieldInfo)
        if described and note.description:
            return kind, note.description
    return kind, ''


def _nested(kind: typing.Any) -> type[typing.Any] | None:
    for part in (kind, *typing.get_args(kind)):
        if dataclasses.is_dataclass(part) and isinstance(part, type):
            return part
    return None


def _kind_name(kind: typing.Any) -> str:
    if typing.get_origin(kind) is tuple:
        return 'list'
    nested = _nested(kind)
    if nested is not None:
        return 'group'
    return str(getattr(kind, '__name__', kind))


def _default(field: dataclasses.Field[typing.Any]) -> str:
    if field.default is SHAPELESS:
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


def _first_line(shape: type[typing.Any] | None) -> str:
    return (getattr(shape, '__doc__', '') or '').strip().split('\n')[0]
