"""A configuration that can't be served as written is refused, others served."""

import asyncio
import json
import typing

import pytest
from tornado import httpclient

from bench import fleet_traffic
from standins import fleet as outside
from tests.system import test_fleet

system = test_fleet.system
PATH = '/order/1'
MANY_DIGITS = '9' * 400


def order_route(**changes: typing.Any) -> dict[str, typing.Any]:
    """Return the route of orders with some fields changed."""
    routes = fleet_traffic.configuration(1)['routes']
    found = [route for route in routes if PATH.startswith(route['pathPrefix'])]
    return {**found[0], **changes}


def with_route(version: int, *added: dict[str, typing.Any]) -> str:
    """Return a configuration with more routes, as its operator sends it."""
    content = fleet_traffic.configuration(version)
    content['routes'].extend(added)
    return json.dumps(content)


def without_orders(version: int, *added: dict[str, typing.Any]) -> str:
    """Return a configuration in which these routes replace that of orders."""
    content = fleet_traffic.configuration(version)
    own_prefix = order_route()['pathPrefix']
    content['routes'] = [
        route
        for route in content['routes']
        if route['pathPrefix'] != own_prefix
    ]
    content['routes'].extend(added)
    return json.dumps(content)


async def put(system: test_fleet.System, body: str) -> int:
    url = f'http://{system.fleet.control_addresses[0]}/api/configuration'
    return await outside.send_request(url, 'PUT', body)


@pytest.mark.parametrize(
    'body',
    [
        with_route(9, order_route(host='A.EXAMPLE', service='model')),
        with_route(9, order_route(host='a.example:80', service='model')),
        with_route(9, order_route(host='a.example.', service='model')),
        with_route(9).replace('{', '{"routes": [], ', 1),
        without_orders(9, order_route(timeoutMs=10**400)),
        without_orders(
            9,
            order_route(
                service='none', trafficSplit=[{'service': 'desk', 'weight': 1}]
            ),
        ),
    ],
    ids=['case', 'port', 'dot', 'repeated', 'digits', 'service'],
)
async def test_configuration_that_cannot_be_served_is_refused(
    system: test_fleet.System, body: str
) -> None:
    # Failed when it was acknowledged: orders went to another service, or were
    # not answered.
    assert await put(system, body) == 400
    await asyncio.sleep(test_fleet.IN_FORCE_SECONDS)
    answer = await system.post(PATH)
    assert answer.body.startswith(b'done by i-desk')


@pytest.mark.parametrize(
    'changes',
    [
        {'host': 'a.example:80'},
        {'host': 'A.Example.'},
        {'timeoutMs': 10**300, 'targetLatencyMs': 10**300},
        {
            'trafficSplit': [
                {'service': 'desk', 'weight': 1e308},
                {'service': 'desk', 'weight': 10**308},
            ]
        },
    ],
    ids=['port', 'dot', 'digits', 'weights'],
)
async def test_odd_configuration_is_served(
    system: test_fleet.System, changes: dict[str, typing.Any]
) -> None:
    # Failed when no request found the route.
    assert await put(system, without_orders(9, order_route(**changes))) == 200
    await asyncio.sleep(test_fleet.IN_FORCE_SECONDS)
    answer = await system.post(PATH)
    assert answer.body.startswith(b'done by i-desk')
    without_deadline = httpclient.HTTPRequest(
        f'http://{system.fleet.caller_address(0)}{PATH}',
        method='POST',
        body='{}',
        headers={
            'Host': 'a.example:81',
            'Authorization': 'Token key-1',
            outside.ATTEMPT_HEADER: 'no-deadline',
        },
    )
    client = httpclient.AsyncHTTPClient()
    answer = await client.fetch(without_deadline, raise_error=False)
    assert answer.body.startswith(b'done by i-desk')
