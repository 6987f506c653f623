"""Check a traffic document as a whole before it is accepted."""

import collections
import dataclasses
from collections import abc as collection_types

from cranberryrill.traffic import document


@dataclasses.dataclass(frozen=True)
class Fault:
    """Name one thing that makes a document invalid, and where."""

    path: str
    reason: str

    def __str__(self) -> str:
        """Explain the fault in one line."""
        return f'{self.path}: {self.reason}'


@dataclasses.dataclass(frozen=True)
class InvalidTraffic:
    """A document can't be accepted; every fault found is listed."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """Explain each fault."""
        return '; '.join(str(fault) for fault in self.faults)


def find_faults(checked: document.Document) -> tuple[Fault, ...]:
    """Return everything that is wrong with a document that could be read."""
    names = {
        'routes': _places(checked),
        'services': [known.name for known in checked.services],
        'organisations': [known.name for known in checked.organisations],
        'keys': _keys(checked),
    }
    found = [*_version_faults(checked), *_route_faults(checked)]
    for kind, named in names.items():
        found.extend(_repeated(kind, named))
    return tuple(found)


def _version_faults(
    checked: document.Document,
) -> collection_types.Iterator[Fault]:
    if checked.version < 1:
        yield Fault('version', 'must be a whole number above 0')


def _places(checked: document.Document) -> list[str]:
    return [f'{route.host}{route.path_prefix}' for route in checked.routes]


def _keys(checked: document.Document) -> list[str]:
    return [
        digest
        for organisation in checked.organisations
        # One organisation may list a key twice; two may not share it.
        for digest in set(organisation.key_digests)
    ]


def _repeated(
    kind: str, names: collection_types.Iterable[str]
) -> collection_types.Iterator[Fault]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            shown = 'a key' if kind == 'keys' else name
            yield Fault(kind, f'{shown} stands {count} times')


def _route_faults(
    checked: document.Document,
) -> collection_types.Iterator[Fault]:
    services = {service.name for service in checked.services}
    for route in checked.routes:
        place = f'routes.{route.name}'
        if not _is_prefix(route.path_prefix):
            yield Fault(place, 'the path prefix must begin and end with /')
        if route.timeout_ms <= 0:
            yield Fault(place, 'the timeout must be above 0')
        for share in route.shares:
            if share.service not in services:
                yield Fault(place, f'unknown service {share.service}')
            if share.weight < 0:
                yield Fault(place, 'a weight must not be below 0')
        if sum(one.weight for one in route.shares) <= 0:
            yield Fault(place, 'the weights add up to 0')


def _is_prefix(path: str) -> bool:
    return path.startswith('/') and path.endswith('/')
