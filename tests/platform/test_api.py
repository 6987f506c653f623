"""Responses of the operator's API to repeated and invalid configurations."""

import json
import types
import typing

import pytest
import result
from fleet_adapter import api, configuration
from tornado import httpclient, httpserver, testing

from cranberryrill import clock, open_requests
from cranberryrill.configuration import state
from cranberryrill.replication import member
from cranberryrill.state import commands_pb2
from cranberryrill.traffic import document, publisher
from tests.platform import test_decoding

TWO_ROUTES = [
    test_decoding.ROUTE,
    {**test_decoding.ROUTE, 'name': 'r2', 'host': 'A.EXAMPLE'},
]
# Accepted by earlier versions, and invalid.
INVALID = json.dumps(
    {**test_decoding.CONFIGURATION, 'routes': TWO_ROUTES}
).encode()
REPEATED_FIELD = INVALID.replace(
    b'{"version": 7', b'{"version": 7, "version": 7'
)
NEWER = json.dumps({**test_decoding.CONFIGURATION, 'version': 9}).encode()


class LocalProposer:
    """Proposer that applies each command to the state of this process."""

    def __init__(self, applied: state.ConfigurationState) -> None:
        self.applied = applied

    async def propose_until(
        self, command: bytes, deadline: float
    ) -> result.Result[bytes, member.ProposalFailure]:
        parsed = commands_pb2.Command.FromString(command)
        outcome = self.applied.apply(parsed, 1, 0)
        return result.Ok(outcome.SerializeToString())


class Api:
    """Control member of one process that serves the operator's API."""

    def __init__(self, applied: state.ConfigurationState) -> None:
        self.freshness = types.SimpleNamespace(as_of=float('inf'))
        local = types.SimpleNamespace(freshness=self.freshness)
        control_member = types.SimpleNamespace(
            open_calls=open_requests.OpenRequests(),
            publisher=publisher.Publisher(
                typing.cast(typing.Any, local),
                typing.cast(typing.Any, LocalProposer(applied)),
                applied,
            ),
        )
        listening, port = testing.bind_unused_port()
        self.port = port
        self.server = httpserver.HTTPServer(
            api.make_application(typing.cast(typing.Any, control_member))
        )
        self.server.add_socket(listening)

    async def put(self, content: bytes) -> int:
        """Send a configuration; return the status."""
        response = await httpclient.AsyncHTTPClient().fetch(
            f'http://127.0.0.1:{self.port}/api/configuration',
            method='PUT',
            body=content,
            raise_error=False,
        )
        return response.code


def stored_by_an_earlier_version(content: bytes) -> state.ConfigurationState:
    """Return a state in which this configuration was accepted."""
    fields = json.loads(content)
    valid = configuration.decode(json.dumps(fields).encode())
    stored = document.Document(
        version=valid.version,
        routes=valid.routes,
        services=valid.services,
        organisations=valid.organisations,
        limits=valid.limits,
        source=content.decode(),
    )
    applied = state.ConfigurationState()
    put = commands_pb2.PutTraffic(
        version=stored.version, content=document.encode(stored)
    )
    applied.apply(commands_pb2.Command(put_traffic=put), 1, 0)
    return applied


@pytest.mark.parametrize('content', [INVALID, REPEATED_FIELD])
async def test_accepted_configuration_is_acknowledged_when_repeated(
    content: bytes,
) -> None:
    # Guards against a refusal, after an update of this program, of what an
    # earlier version had accepted.
    applied = stored_by_an_earlier_version(content)
    served = Api(applied)
    assert await served.put(content) == 200
    assert await served.put(NEWER) == 200
    assert await served.put(content) == 200
    assert applied.configuration.traffic.version == 9


@pytest.mark.parametrize('content', [INVALID, REPEATED_FIELD])
async def test_memory_of_accepted_configurations_is_in_snapshots(
    content: bytes,
) -> None:
    applied = stored_by_an_earlier_version(content)
    assert await Api(applied).put(NEWER) == 200
    loaded = state.ConfigurationState()
    loaded.load(applied.dump())
    assert await Api(loaded).put(content) == 200


async def test_configuration_in_an_earlier_snapshot_is_acknowledged() -> None:
    dump = commands_pb2.ServingDump.FromString(
        stored_by_an_earlier_version(INVALID).dump()
    )
    dump.ClearField('accepted_traffic')
    loaded = state.ConfigurationState()
    loaded.load(dump.SerializeToString())
    assert await Api(loaded).put(INVALID) == 200


@pytest.mark.parametrize('content', [INVALID, REPEATED_FIELD, b''])
async def test_invalid_configuration_is_refused(content: bytes) -> None:
    applied = state.ConfigurationState()
    applied.load(applied.dump())
    served = Api(applied)
    assert await served.put(content) == 400
    assert await served.put(NEWER) == 200
    assert await served.put(content) == 400


async def test_member_that_is_not_current_refuses_no_repeat() -> None:
    # It may not know yet that the configuration was accepted.
    served = Api(state.ConfigurationState())
    served.freshness.as_of = clock.monotonic_seconds() - 1
    assert await served.put(INVALID) == 503
