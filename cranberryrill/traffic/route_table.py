"""Lookup of the route of a request and the organisation of its key."""

import hashlib
from collections import abc as collection_types

from cranberryrill.traffic import document, places


class RouteTable:
    """Indexes over one traffic document; create one per document."""

    def __init__(self, indexed: document.Document) -> None:
        self.document = indexed
        self.services = {known.name: known for known in indexed.services}
        self.by_host: dict[str, dict[str, document.Route]] = {}
        for route in _by_precedence(indexed.routes):
            place = places.place_of(route)
            prefixes = self.by_host.setdefault(place.host, {})
            prefixes[place.path_prefix] = route
        self.by_digest = {
            digest: organisation
            for organisation in indexed.organisations
            for digest in organisation.key_digests
        }

    def route_for(self, host: str, path: str) -> document.Route | None:
        """Return the route with the longest prefix of `path`, or None.

        The host is matched without its port and regardless of case.
        """
        prefixes = self.by_host.get(places.normalise_host(host))
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None

    def organisation_for(self, key: str) -> document.Organisation | None:
        """Return the organisation of a key, or None for an unknown key."""
        return self.by_digest.get(digest_of(key))


def digest_of(key: str) -> str:
    """Return the hex SHA-256 digest that is stored in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def choose_service(
    shares: tuple[document.Share, ...],
    sampled: float,
) -> str:
    """Return the service that a sampled number selects by weight.

    `sampled` is uniformly distributed from 0 up to, but not including, 1.
    """
    # The sum of finite weights may be infinite.
    largest = max(share.weight for share in shares)
    weights = [share.weight / largest for share in shares]
    remaining = sampled * sum(weights)
    for share, weight in zip(shares, weights):
        remaining -= weight
        if remaining < 0:
            return share.service
    return shares[-1].service


def _by_precedence(
    routes: collection_types.Iterable[document.Route],
) -> list[document.Route]:
    """Return the routes so that the last one in a place is the one to use.

    Earlier versions stored documents with several routes in one place. They
    used the last of those whose host has neither a port nor a final dot.
    """
    return sorted(
        routes,
        key=lambda route: (
            places.normalise_host(route.host) == route.host.lower()
        ),
    )
