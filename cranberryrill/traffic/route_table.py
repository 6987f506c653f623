"""Find the route of a request and the organisation of its key."""

import hashlib

from cranberryrill.traffic import document


class RouteTable:
    """Look up what one document says; made anew for each document."""

    def __init__(self, held: document.Document) -> None:
        self.document = held
        self.services = {known.name: known for known in held.services}
        self.by_host: dict[str, dict[str, document.Route]] = {}
        for route in held.routes:
            prefixes = self.by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self.by_digest = {
            digest: organisation
            for organisation in held.organisations
            for digest in organisation.key_digests
        }

    def route_for(self, host: str, path: str) -> document.Route | None:
        """Return the route with the longest prefix that begins `path`."""
        prefixes = self.by_host.get(_host_name(host))
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
        """Return whose key this is."""
        return self.by_digest.get(digest_of(key))


def digest_of(key: str) -> str:
    """Return what is stored in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def choose_service(
    shares: tuple[document.Share, ...],
    drawn: float,
) -> str:
    """Return the service at `drawn`, from 0 to 1, of the weights."""
    total = sum(share.weight for share in shares)
    left = drawn * total
    for share in shares:
        left -= share.weight
        if left < 0:
            return share.service
    return shares[-1].service


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(':')
    return (name if colon and port.isdecimal() else host).lower()
