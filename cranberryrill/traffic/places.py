"""Identity of the place that a route covers, for validation and routing."""

import dataclasses
import re

from cranberryrill.traffic import document

# A name or a bracketed IP address, and a port, which may be empty.
HOST = re.compile(r'(?P<name>\[[^\]]*\]|[^:\[\]]+)(?::[0-9]*)?')


@dataclasses.dataclass(frozen=True)
class Place:
    """Normalised host and path prefix of a route."""

    host: str
    path_prefix: str

    def __str__(self) -> str:
        """Return the place as an operator writes it."""
        return f'{self.host}{self.path_prefix}'


def place_of(route: document.Route) -> Place:
    """Return the place of a route; a valid document has one route in each."""
    return Place(normalise_host(route.host), route.path_prefix)


def normalise_host(host: str) -> str:
    """Return the host of a route or of a `Host` header, for comparison.

    A port and the final dot of an absolute name are removed. Case is ignored
    in ASCII letters only, as in DNS: folding other characters would give
    different names the same place.
    """
    matched = HOST.fullmatch(host)
    name = matched['name'] if matched else host
    if len(name) > 1:
        name = name.removesuffix('.')
    # Unlike that of `str`, `lower` of `bytes` changes ASCII letters only.
    return name.encode().lower().decode()
