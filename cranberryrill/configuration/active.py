"""Lookups in the configuration and keys that are in force in this process."""

import typing
from collections import abc

from cranberryrill.configuration import document
from cranberryrill.state import commands_pb2
from cranberryrill.traffic import document as traffic_document

ObjectType = typing.TypeVar('ObjectType')
# Kind of an `ObjectChange` that replaces the whole traffic document.
TRAFFIC_KIND = 'traffic'


class ActiveConfiguration:
    """Configuration, keys and traffic document of the newest known revision.

    `objects` holds the configuration objects by kind and name, `keys` the
    records of the keys by digest, withdrawn ones included.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, dict[str, document.ConfigObject]] = {
            kind: {} for kind in document.KINDS
        }
        self.keys: dict[bytes, commands_pb2.KeyRecord] = {}
        self.traffic = traffic_document.EMPTY

    def clear(self) -> None:
        """Remove all content before a full update; keep the revision."""
        for by_name in self.objects.values():
            by_name.clear()
        self.keys.clear()
        self.traffic = traffic_document.EMPTY

    def update(
        self,
        revision: int,
        changes: abc.Iterable[commands_pb2.ObjectChange],
        keys: abc.Iterable[commands_pb2.KeyRecord],
    ) -> None:
        """Apply the changes that lead to `revision`.

        Raises `UnreadableDocument` for a traffic document that can't be
        decoded.
        """
        for change in changes:
            if change.kind == TRAFFIC_KIND:
                self.traffic = traffic_document.decode(change.json)
                continue
            by_name = self.objects[change.kind]
            if change.removed:
                by_name.pop(change.name, None)
            else:
                by_name[change.name] = document.decode(change.kind, change.json)
        for key in keys:
            self.keys[key.digest] = key
        self.revision = revision

    def find(
        self, object_type: type[ObjectType], kind: str, name: str
    ) -> ObjectType | None:
        """Return the object of this kind and name, or None."""
        found = self.objects[kind].get(name)
        return found if isinstance(found, object_type) else None

    def list_all(
        self, object_type: type[ObjectType], kind: str
    ) -> list[ObjectType]:
        """Return all objects of this kind."""
        known = self.objects[kind].values()
        return [found for found in known if isinstance(found, object_type)]

    def organisation_for_key(self, digest: bytes) -> str | None:
        """Return the name of the organisation that a key belongs to.

        None when the key is unknown or withdrawn, or when its organisation is
        not configured.
        """
        key = self.keys.get(digest)
        if key is None or key.withdrawn:
            return None
        known = self.objects['organisations']
        return key.organisation if key.organisation in known else None

    def find_key(self, name: str) -> commands_pb2.KeyRecord | None:
        """Return the key of this name, withdrawn or not, or None."""
        for key in self.keys.values():
            if key.name == name:
                return key
        return None

    def route_for(self, path: str) -> document.Route | None:
        """Return the route with the longest prefix of `path`, or None."""
        matching = [
            route
            for route in self.list_all(document.Route, 'routes')
            if is_under_prefix(route.path_prefix, path)
        ]
        return max(
            matching,
            key=lambda route: len(route.path_prefix),
            default=None,
        )

    def class_name(
        self,
        organisation: str,
        target: str,
        default: str,
    ) -> str:
        """Return the class of an organisation's requests for a target.

        `default` applies when no class rule matches.
        """
        for rule in self.list_all(document.ClassRule, 'class_rules'):
            if (rule.organisation, rule.target) == (organisation, target):
                return rule.class_name
        return default


def is_under_prefix(prefix: str, path: str) -> bool:
    """Return whether `path` equals `prefix` or lies below it.

    Whole path segments are compared: `/a` covers `/a/b`, but not `/ab`.
    """
    trimmed = normalise_prefix(prefix)
    return path == trimmed or path.startswith(f'{trimmed}/')


def normalise_prefix(prefix: str) -> str:
    """Return the prefix of a route for comparison with others and paths."""
    return prefix.rstrip('/')
