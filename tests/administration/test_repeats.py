"""A change that was accepted is never refused when it is sent again."""

import hashlib
import json
import types
import typing

import pytest
from tornado import httpclient, httpserver, testing

from cranberryrill.administration import api, operations
from cranberryrill.configuration import state
from cranberryrill.state import commands_pb2

TOKEN = 'token'
# Accepted by earlier versions, and invalid.
INVALID = 'organisations: [{name: o, weight: .inf}]'


def apply_change(document: str, change_id: str) -> state.ConfigurationState:
    """Return a state that has applied the change of this document."""
    applied = state.ConfigurationState()
    change = commands_pb2.ApplyConfiguration(
        change_id=change_id,
        request_digest=hashlib.sha256(f'0\n{document}'.encode()).digest(),
    )
    applied.apply(commands_pb2.Command(apply_configuration=change), 1, 0)
    return applied


async def post(
    applied: state.ConfigurationState, body: str
) -> tuple[int, typing.Any]:
    """Send a change to a member with this state; return the response."""
    freshness = types.SimpleNamespace(as_of=float('inf'))
    member_operations = operations.Operations(
        member=typing.cast(
            typing.Any, types.SimpleNamespace(freshness=freshness)
        ),
        state=applied,
        directory=typing.cast(typing.Any, None),
        proposer=typing.cast(typing.Any, None),
        token_sha256=hashlib.sha256(TOKEN.encode()).hexdigest(),
        usage=typing.cast(typing.Any, None),
    )
    socket, port = testing.bind_unused_port()
    server = httpserver.HTTPServer(api.make_application(member_operations))
    server.add_socket(socket)
    response = await httpclient.AsyncHTTPClient().fetch(
        f'http://127.0.0.1:{port}/admin/v1/configuration',
        method='POST',
        body=body,
        headers={'Authorization': f'Bearer {TOKEN}'},
        raise_error=False,
    )
    server.stop()
    return response.code, json.loads(response.body)


@pytest.mark.parametrize(
    ('change_id', 'status'), [('accepted', 200), ('other', 400)]
)
async def test_invalid_change_is_refused_unless_it_was_accepted(
    change_id: str, status: int
) -> None:
    # Guards against a refusal, after an update of this program, of a change
    # that an earlier version had accepted.
    body = json.dumps(
        {'document': INVALID, 'base_revision': 0, 'change_id': change_id}
    )
    assert (await post(apply_change(INVALID, 'accepted'), body))[0] == status


async def test_body_with_a_repeated_field_is_refused() -> None:
    # Failed when the later of two documents came into force.
    body = (
        '{"document": "", "document": "", "base_revision": 0, "change_id": "c"}'
    )
    status, content = await post(state.ConfigurationState(), body)
    assert status == 400
    assert content['error']['code'] == 'malformed_request'
