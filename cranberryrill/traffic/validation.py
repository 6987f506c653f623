"""Validate a traffic document as a whole before it is accepted."""

import collections
import dataclasses
from collections import abc as collection_types

from cranberryrill.traffic import document, places


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault that makes a document invalid, with its path."""

    path: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f'{self.path}: {self.reason}'


@dataclasses.dataclass(frozen=True)
class InvalidTraffic:
    """Every fault for which a document is refused."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """Return the faults, separated by semicolons."""
        return '; '.join(str(fault) for fault in self.faults)


def find_faults(checked: document.Document) -> tuple[Fault, ...]:
    """Return every fault in a decoded document; empty for a valid one."""
    names: dict[str, list[collection_types.Hashable]] = {
        'routes': [places.place_of(route) for route in checked.routes],
        'services': [known.name for known in checked.services],
        'organisations': [known.name for known in checked.organisations],
        'keys': _key_digests(checked),
    }
    faults = [*_version_faults(checked), *_route_faults(checked)]
    for kind, kind_names in names.items():
        faults.extend(_duplicates(kind, kind_names))
    return tuple(faults)


def _version_faults(
    checked: document.Document,
) -> collection_types.Iterator[Fault]:
    if checked.version < 1:
        yield Fault('version', 'must be a whole number above 0')


def _key_digests(
    checked: document.Document,
) -> list[collection_types.Hashable]:
    return [
        digest
        for organisation in checked.organisations
        # An organisation may list a key twice, but two may not share one.
        for digest in set(organisation.key_digests)
    ]


def _duplicates(
    kind: str, names: collection_types.Iterable[collection_types.Hashable]
) -> collection_types.Iterator[Fault]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            label = 'a key' if kind == 'keys' else name
            yield Fault(kind, f'{label} stands {count} times')


def _route_faults(
    checked: document.Document,
) -> collection_types.Iterator[Fault]:
    services = {service.name for service in checked.services}
    for route in checked.routes:
        path = f'routes.{route.name}'
        if not _is_path_prefix(route.path_prefix):
            yield Fault(path, 'the path prefix must begin and end with /')
        if route.timeout_ms <= 0:
            yield Fault(path, 'the timeout must be above 0')
        for share in route.shares:
            if share.service not in services:
                yield Fault(path, f'unknown service {share.service}')
            if share.weight < 0:
                yield Fault(path, 'a weight must not be below 0')
        if not any(one.weight > 0 for one in route.shares):
            yield Fault(path, 'the weights add up to 0')


def _is_path_prefix(prefix: str) -> bool:
    return prefix.startswith('/') and prefix.endswith('/')
