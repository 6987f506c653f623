"""Hold the configuration and keys that are in force in this process."""

import typing
from collections import abc

from cranberryrill.configuration import document
from cranberryrill.state import commands_pb2
from cranberryrill.traffic import document as traffic_document

Shape = typing.TypeVar('Shape')
# The one object of its kind: a traffic document, whole.
TRAFFIC_KIND = 'traffic'


class ActiveConfiguration:
    """Answer what the newest revision held here says."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, dict[str, document.ConfigObject]] = {
            kind: {} for kind in document.KINDS
        }
        self.keys: dict[bytes, commands_pb2.KeyRecord] = {}
        self.traffic = traffic_document.EMPTY

    def clear(self) -> None:
        """Forget everything, before a full update."""
        for named in self.objects.values():
            named.clear()
        self.keys.clear()
        self.traffic = traffic_document.EMPTY

    def update(
        self,
        revision: int,
        changes: abc.Iterable[commands_pb2.ObjectChange],
        keys: abc.Iterable[commands_pb2.KeyRecord],
    ) -> None:
        """Put the changes of newer revisions in force."""
        for change in changes:
            if change.kind == TRAFFIC_KIND:
                self.traffic = traffic_document.decode(change.json)
                continue
            named = self.objects[change.kind]
            if change.removed:
                named.pop(change.name, None)
            else:
                named[change.name] = document.decode(change.kind, change.json)
        for key in keys:
            self.keys[key.digest] = key
        self.revision = revision

    def find(self, shape: type[Shape], kind: str, name: str) -> Shape | None:
        """Return the object of this kind and name."""
        found = self.objects[kind].get(name)
        return found if isinstance(found, shape) else None

    def list_all(self, shape: type[Shape], kind: str) -> list[Shape]:
        """Return all objects of this kind."""
        named = self.objects[kind].values()
        return [found for found in named if isinstance(found, shape)]

    def organisation_for_key(self, digest: bytes) -> str | None:
        """Return whose key this is, unless it is unknown or withdrawn."""
        key = self.keys.get(digest)
        if key is None or key.withdrawn:
            return None
        known = self.objects['organisations']
        return key.organisation if key.organisation in known else None

    def find_key(self, name: str) -> commands_pb2.KeyRecord | None:
        """Return the key of this name, withdrawn or not."""
        for key in self.keys.values():
            if key.name == name:
                return key
        return None

    def route_for(self, path: str) -> document.Route | None:
        """Return the route with the longest prefix that covers `path`."""
        covering = [
            route
            for route in self.list_all(document.Route, 'routes')
            if covers(route.path_prefix, path)
        ]
        return max(
            covering,
            key=lambda route: len(route.path_prefix),
            default=None,
        )

    def class_name(
        self,
        organisation: str,
        target: str,
        default: str,
    ) -> str:
        """Return the class that the rules give to a request."""
        for rule in self.list_all(document.ClassRule, 'class_rules'):
            if (rule.organisation, rule.target) == (organisation, target):
                return rule.class_name
        return default


def covers(prefix: str, path: str) -> bool:
    """Say whether `path` is `prefix` or lies below it."""
    trimmed = prefix.rstrip('/')
    return path == trimmed or path.startswith(f'{trimmed}/')
