"""Authorisation of calls between processes by certificate and role."""

import datetime
import pathlib
import shutil
import socket
import ssl
from collections import abc

import pytest
from grpclib import client, const, exceptions

from bench import cluster, examples
from cranberryrill import transport
from cranberryrill.certificates import issuer, roles
from cranberryrill.membership import membership_grpc, membership_pb2
from cranberryrill.relay import relay_grpc, relay_pb2
from cranberryrill.replication import replication_grpc, replication_pb2
from cranberryrill.state import commands_pb2, submission_grpc

CALL_TIMEOUT_SECONDS = 3.0


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start one control member, an agent and an entry."""
    folder: pathlib.Path = tmp_path_factory.mktemp('roles')
    running = cluster.Cluster(folder, members=1)
    try:
        running.start_control()
        running.apply(examples.nivelar())
        running.add_standin('engine', 'engine', model=examples.MODEL)
        running.add_agent('agent', 'engine', target=examples.MODEL)
        running.add_entry('entry')
        running.wait_ready('entry', agents=1)
        yield running
    finally:
        running.stop()


def dial(
    system: cluster.Cluster,
    role: roles.Role,
    target: str,
    expected: roles.Role | None = None,
) -> client.Channel:
    return dial_with(system.folder, role, system.ports[target], expected)


def dial_with(
    folder: pathlib.Path,
    role: roles.Role,
    port: int,
    expected: roles.Role | None = None,
) -> client.Channel:
    tls = transport.TlsSettings(
        authority=folder / 'authority.pem',
        certificate=folder / f'{role.value}.pem',
        key=folder / f'{role.value}.key',
    )
    address = transport.Address(cluster.HOST, port)
    return transport.Dialer(tls).dial(address, expected)


async def status_of(call: abc.Awaitable[object]) -> const.Status | None:
    try:
        await call
    except exceptions.GRPCError as error:
        return error.status
    return None


@pytest.mark.parametrize('role', [roles.Role.entry, roles.Role.agent])
async def test_only_control_members_may_replicate(
    system: cluster.Cluster,
    role: roles.Role,
) -> None:
    channel = dial(system, role, 'control-0')
    async with channel:
        stub = replication_grpc.ReplicationStub(channel)
        membership_stub = membership_grpc.MembershipStub(channel)
        command = commands_pb2.Command(noop=commands_pb2.Noop())
        forbidden_calls = [
            stub.Propose(
                replication_pb2.ProposeRequest(
                    command=command.SerializeToString(),
                ),
                timeout=CALL_TIMEOUT_SECONDS,
            ),
            stub.Vote(
                replication_pb2.VoteRequest(term=99),
                timeout=CALL_TIMEOUT_SECONDS,
            ),
            membership_stub.Exchange(
                membership_pb2.Share(), timeout=CALL_TIMEOUT_SECONDS
            ),
        ]
        for call in forbidden_calls:
            assert await status_of(call) is const.Status.PERMISSION_DENIED
        submission_stub = submission_grpc.SubmissionStub(channel)
        assert await status_of(submission_stub.Submit(command)) is None


@pytest.mark.parametrize('role', [roles.Role.control, roles.Role.agent])
async def test_only_entries_may_send_requests_to_agents(
    system: cluster.Cluster,
    role: roles.Role,
) -> None:
    channel = dial(system, role, 'agent')
    async with channel:
        stub = relay_grpc.RelayStub(channel)
        call = stub.Run([relay_pb2.Upward()], timeout=CALL_TIMEOUT_SECONDS)
        assert await status_of(call) is const.Status.PERMISSION_DENIED


async def test_agent_can_not_impersonate_control(
    system: cluster.Cluster,
) -> None:
    channel = dial(system, roles.Role.entry, 'agent', roles.Role.control)
    async with channel:
        with pytest.raises(ssl.SSLCertVerificationError):
            await channel.__connect__()


async def test_certificate_of_another_authority_is_refused(
    system: cluster.Cluster,
    tmp_path: pathlib.Path,
) -> None:
    issuer.write_certificates(tmp_path, datetime.datetime.now(datetime.UTC), ())
    shutil.copy(system.folder / 'authority.pem', tmp_path / 'authority.pem')
    port = system.ports['control-0']
    untrusted = dial_with(tmp_path, roles.Role.control, port)
    async with untrusted:
        with pytest.raises(transport.CALL_ERRORS):
            await replication_grpc.ReplicationStub(untrusted).Read(
                replication_pb2.ReadRequest(),
                timeout=CALL_TIMEOUT_SECONDS,
            )
    with socket.create_connection((cluster.HOST, port)) as plain:
        plain.sendall(b'no handshake at all')
    trusted = dial(system, roles.Role.control, 'control-0', roles.Role.control)
    async with trusted:
        answer = await replication_grpc.ReplicationStub(trusted).Read(
            replication_pb2.ReadRequest(),
            timeout=CALL_TIMEOUT_SECONDS,
        )
    assert answer.known


async def test_renewed_certificate_is_reloaded(
    system: cluster.Cluster,
) -> None:
    before = served_certificate(system)
    issuer.write_certificates(
        system.folder, datetime.datetime.now(datetime.UTC), ()
    )
    assert served_certificate(system) != before


def served_certificate(system: cluster.Cluster) -> bytes:
    tls = transport.TlsSettings(
        authority=system.folder / 'authority.pem',
        certificate=system.folder / 'entry.pem',
        key=system.folder / 'entry.key',
    )
    context = transport.client_context(tls)
    address = (cluster.HOST, system.ports['control-0'])
    name = roles.dns_name(roles.Role.control)
    with (
        socket.create_connection(address, CALL_TIMEOUT_SECONDS) as plain,
        context.wrap_socket(plain, server_hostname=name) as wrapped,
    ):
        return wrapped.getpeercert(binary_form=True) or b''
