"""Roles that certificates prove, and the gRPC methods open to each role."""

import enum
import types
import typing
from collections import abc

DOMAIN = 'cranberryrill'
DNS = 'DNS'


class Role(enum.Enum):
    """Role of a process in the system."""

    control = 'control'
    entry = 'entry'
    agent = 'agent'


CONTROL = frozenset((Role.control,))
ENTRIES = frozenset((Role.entry,))
WATCHERS = frozenset((Role.entry, Role.agent))
# Roles that may call the methods under a path prefix; all others are refused.
ROLES_BY_METHOD_PREFIX: types.MappingProxyType[str, frozenset[Role]] = (
    types.MappingProxyType(
        {
            '/cranberryrill.replication.Replication/': CONTROL,
            '/cranberryrill.membership.Membership/Exchange': CONTROL,
            '/cranberryrill.membership.Membership/Watch': WATCHERS,
            '/cranberryrill.state.Submission/': WATCHERS,
            '/cranberryrill.relay.Relay/': ENTRIES,
            '/cranberryrill.authority.Orders/': CONTROL,
        }
    )
)


def dns_name(role: Role) -> str:
    """Return the DNS name in a certificate that proves `role`."""
    return f'{role.value}.{DOMAIN}'


def roles_of(certificate: abc.Mapping[str, typing.Any] | None) -> set[Role]:
    """Return the roles in a verified certificate, as `getpeercert` returns it.

    Empty without a certificate.
    """
    names = (certificate or {}).get('subjectAltName', ())
    return {role for role in Role if (DNS, dns_name(role)) in names}


def may_call(peer_roles: abc.Set[Role], method: str) -> bool:
    """Return whether a peer with these roles may call the method."""
    return any(
        method.startswith(prefix) and peer_roles & allowed
        for prefix, allowed in ROLES_BY_METHOD_PREFIX.items()
    )
