"""Let each process call only what its role needs."""

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

SECONDS = 3.0


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start one control member and an agent."""
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


async def verdict(call: abc.Awaitable[object]) -> const.Status | None:
    try:
        await call
    except exceptions.GRPCError as error:
        return error.status
    return None


@pytest.mark.parametrize('role', [roles.Role.entry, roles.Role.agent])
async def test_only_control_replicates(
    system: cluster.Cluster,
    role: roles.Role,
) -> None:
    channel = dial(system, role, 'control-0')
    async with channel:
        stub = replication_grpc.ReplicationStub(channel)
        sharing = membership_grpc.MembershipStub(channel)
        command = commands_pb2.Command(noop=commands_pb2.Noop())
        denied = [
            stub.Propose(
                replication_pb2.ProposeRequest(
                    command=command.SerializeToString(),
                ),
                timeout=SECONDS,
            ),
            stub.Vote(replication_pb2.VoteRequest(term=99), timeout=SECONDS),
            sharing.Exchange(membership_pb2.Share(), timeout=SECONDS),
        ]
        for call in denied:
            assert await verdict(call) is const.Status.PERMISSION_DENIED
        submitting = submission_grpc.SubmissionStub(channel)
        assert await verdict(submitting.Submit(command)) is None


@pytest.mark.parametrize('role', [roles.Role.control, roles.Role.agent])
async def test_only_entries_send_requests(
    system: cluster.Cluster,
    role: roles.Role,
) -> None:
    channel = dial(system, role, 'agent')
    async with channel:
        stub = relay_grpc.RelayStub(channel)
        asked = stub.Run([relay_pb2.Upward()], timeout=SECONDS)
        assert await verdict(asked) is const.Status.PERMISSION_DENIED


async def test_agent_can_not_pose_as_control(system: cluster.Cluster) -> None:
    channel = dial(system, roles.Role.entry, 'agent', roles.Role.control)
    async with channel:
        with pytest.raises(ssl.SSLCertVerificationError):
            await channel.__connect__()


async def test_foreign_authority_is_refused(
    system: cluster.Cluster,
    tmp_path: pathlib.Path,
) -> None:
    issuer.write_certificates(tmp_path, datetime.datetime.now(datetime.UTC), ())
    shutil.copy(system.folder / 'authority.pem', tmp_path / 'authority.pem')
    port = system.ports['control-0']
    foreign = dial_with(tmp_path, roles.Role.control, port)
    async with foreign:
        with pytest.raises(transport.CALL_ERRORS):
            await replication_grpc.ReplicationStub(foreign).Read(
                replication_pb2.ReadRequest(),
                timeout=SECONDS,
            )
    with socket.create_connection((cluster.HOST, port)) as bare:
        bare.sendall(b'no handshake at all')
    known = dial(system, roles.Role.control, 'control-0', roles.Role.control)
    async with known:
        answer = await replication_grpc.ReplicationStub(known).Read(
            replication_pb2.ReadRequest(),
            timeout=SECONDS,
        )
    assert answer.known


async def test_renewed_certificate_is_taken_up(
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
    place = (cluster.HOST, system.ports['control-0'])
    name = roles.dns_name(roles.Role.control)
    with (
        socket.create_connection(place, SECONDS) as plain,
        context.wrap_socket(plain, server_hostname=name) as wrapped,
    ):
        return wrapped.getpeercert(binary_form=True) or b''
