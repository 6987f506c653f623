"""Traffic configuration in the format of the users' platform."""

import typing
from collections import abc

TIMEOUT_MS = 3000
# Name, kind and service of each route.
ROUTES = (
    ('stream', 'streaming', 'model'),
    ('order', 'unsafe', 'desk'),
    ('check', 'safe', 'desk'),
)


def configuration(
    version: int,
    *,
    keys: abc.Iterable[str] = ('key-1', 'key-2'),
) -> dict[str, typing.Any]:
    """Return a configuration with one route of each kind.

    It has one tenant, which may use any of `keys`.
    """
    engine = {'slots': 8, 'kvCapacityTokens': 1000}
    return {
        'version': version,
        'routes': [_route(*route) for route in ROUTES],
        'services': [
            {
                'name': 'model',
                'healthCheckPath': '/health',
                'maxConnections': 50,
                'engine': engine,
            },
            {
                'name': 'desk',
                'healthCheckPath': '/health',
                'maxConnections': 50,
            },
        ],
        'limits': {},
        'tenants': [{'name': 'tenant-1', 'apiKeys': list(keys)}],
    }


def _route(name: str, kind: str, service: str) -> dict[str, typing.Any]:
    return {
        'name': name,
        'host': 'a.example',
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeoutMs': TIMEOUT_MS,
        'targetLatencyMs': 500,
        'priority': 1,
        'maxAttempts': 2,
        'allowAnonymous': False,
        'resumeStreams': True,
        'gapAimMs': 200,
    }
