"""Refuse engine orders of a former holder of authority.

A holder that was suspended may still send orders after its successor took
over. The engine here ignores fencing numbers, so the agent must refuse them,
also right after a restart, when it has no fencing number to compare with.
"""

import asyncio
import pathlib
import signal
from collections import abc

import pytest

from bench import cluster, examples, web
from cranberryrill import transport
from cranberryrill.authority import authority_grpc, authority_pb2
from cranberryrill.certificates import roles

ORDER_SECONDS = 10.0
Verdict = authority_pb2.EngineOrderAnswer


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[cluster.Cluster]:
    """Start three control members and an engine that ignores fencing."""
    folder: pathlib.Path = tmp_path_factory.mktemp('gate')
    running = cluster.Cluster(folder)
    try:
        running.start_control()
        assert running.apply(examples.nivelar()).status == 200
        running.add_standin('engine', 'engine', model=examples.MODEL)
        running.add_agent('agent', 'engine', target=examples.MODEL)
        yield running
    finally:
        running.stop()


def send_order(system: cluster.Cluster, fencing: int, name: str) -> int:
    """Send an order as a holder does; return its verdict.

    Returns -1 when the agent does not answer.
    """
    return asyncio.run(_send_order(system, fencing, name))


async def _send_order(system: cluster.Cluster, fencing: int, name: str) -> int:
    tls = transport.TlsSettings(
        **{
            part: pathlib.Path(path)
            for part, path in system.tls['control'].items()
        },
    )
    address = transport.Address(cluster.HOST, system.ports['agent'])
    channel = transport.Dialer(tls).dial(address, roles.Role.agent)
    request = authority_pb2.EngineOrder(
        fencing=fencing,
        kind=authority_pb2.LOAD_MODEL,
        name=name,
    )
    try:
        answer = await authority_grpc.OrdersStub(channel).Pass(
            request, timeout=5
        )
    except transport.CALL_ERRORS:
        return -1
    finally:
        channel.close()
    return int(answer.verdict)


def executed_orders(system: cluster.Cluster) -> list[tuple[int, str]]:
    """Return fencing number and name of each order the engine received."""
    url = f'{system.standins["engine"]}/v1/engine/orders'
    return [
        (line['fencing'], line['name'])
        for line in web.request(url).json()['orders']
    ]


def read_term(system: cluster.Cluster, member: str) -> int:
    status = system.status(member)
    assert status is not None
    return int(status['term'])


def test_orders_of_a_former_holder_are_refused(system: cluster.Cluster) -> None:
    holder = system.leader()
    old = read_term(system, holder)
    web.wait_until(
        lambda: send_order(system, old, 'first') == Verdict.PASSED,
        'the first order',
        ORDER_SECONDS,
    )
    system.processes[holder].send(signal.SIGSTOP)
    others = [member for member in system.members if member != holder]
    new = read_term(system, system.leader(others))
    assert new > old
    assert send_order(system, new, 'second') == Verdict.PASSED
    assert send_order(system, old, 'late') == Verdict.OLD_FENCING
    # A restarted agent has lost the fencing number, and passes no order until
    # it has received the number again.
    agent = system.processes['agent']
    agent.kill()
    agent.start()
    web.wait_until(
        lambda: send_order(system, old, 'late') == Verdict.OLD_FENCING,
        'a refusal',
        ORDER_SECONDS,
    )
    system.processes[holder].send(signal.SIGCONT)
    web.wait_until(
        lambda: send_order(system, new, 'third') == Verdict.PASSED,
        'the third order',
        ORDER_SECONDS,
    )
    assert executed_orders(system) == [
        (old, 'first'),
        (new, 'second'),
        (new, 'third'),
    ]
