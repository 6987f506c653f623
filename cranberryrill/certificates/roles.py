"""Say which role a certificate proves, and what each role may call."""

import enum
import types
import typing
from collections import abc

DOMAIN = 'cranberryrill'
DNS = 'DNS'


class Role(enum.Enum):
    """Name what a process does in the system."""

    control = 'control'
    entry = 'entry'
    agent = 'agent'


CONTROL = frozenset((Role.control,))
ENTRIES = frozenset((Role.entry,))
WATCHERS = frozenset((Role.entry, Role.agent))
# By the start of a method's path; whatever is not listed is refused.
CALLERS: types.MappingProxyType[str, frozenset[Role]] = types.MappingProxyType(
    {
        '/cranberryrill.replication.Replication/': CONTROL,
        '/cranberryrill.membership.Membership/Exchange': CONTROL,
        '/cranberryrill.membership.Membership/Watch': WATCHERS,
        '/cranberryrill.state.Submission/': WATCHERS,
        '/cranberryrill.relay.Relay/': ENTRIES,
        '/cranberryrill.authority.Orders/': CONTROL,
    }
)


def dns_name(role: Role) -> str:
    """Return the DNS name by which a certificate carries `role`."""
    return f'{role.value}.{DOMAIN}'


def roles_of(certificate: abc.Mapping[str, typing.Any] | None) -> set[Role]:
    """Return the roles that a verified peer's certificate carries."""
    names = (certificate or {}).get('subjectAltName', ())
    return {role for role in Role if (DNS, dns_name(role)) in names}


def may_call(known: abc.Set[Role], method: str) -> bool:
    """Say whether a peer of these roles may call the method."""
    return any(
        method.startswith(start) and known & allowed
        for start, allowed in CALLERS.items()
    )
