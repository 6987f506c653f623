"""Keep a former holder's orders from an engine that does not check them."""

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
    """Start three members and an engine that ignores fencing numbers."""
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


def order(system: cluster.Cluster, fencing: int, name: str) -> int:
    """Send an order as a holder would; an agent that is down gives -1."""
    return asyncio.run(_order(system, fencing, name))


async def _order(system: cluster.Cluster, fencing: int, name: str) -> int:
    tls = transport.TlsSettings(
        **{
            part: pathlib.Path(path)
            for part, path in system.tls['control'].items()
        },
    )
    address = transport.Address(cluster.HOST, system.ports['agent'])
    channel = transport.Dialer(tls).dial(address, roles.Role.agent)
    asked = authority_pb2.EngineOrder(
        fencing=fencing,
        kind=authority_pb2.LOAD_MODEL,
        name=name,
    )
    try:
        answer = await authority_grpc.OrdersStub(channel).Pass(asked, timeout=5)
    except transport.CALL_ERRORS:
        return -1
    finally:
        channel.close()
    return int(answer.verdict)


def acted_on(system: cluster.Cluster) -> list[tuple[int, str]]:
    url = f'{system.standins["engine"]}/v1/engine/orders'
    return [
        (line['fencing'], line['name'])
        for line in web.request(url).json()['orders']
    ]


def term(system: cluster.Cluster, member: str) -> int:
    status = system.status(member)
    assert status is not None
    return int(status['term'])


def test_a_former_holder_is_refused(system: cluster.Cluster) -> None:
    holder = system.leader()
    old = term(system, holder)
    web.wait_until(
        lambda: order(system, old, 'first') == Verdict.PASSED,
        'the first order',
        ORDER_SECONDS,
    )
    system.processes[holder].send(signal.SIGSTOP)
    others = [one for one in system.members if one != holder]
    new = term(system, system.leader(others))
    assert new > old
    assert order(system, new, 'second') == Verdict.PASSED
    assert order(system, old, 'late') == Verdict.OLD_FENCING
    # The restarted agent has forgotten, and passes nothing until it knows.
    agent = system.processes['agent']
    agent.kill()
    agent.start()
    web.wait_until(
        lambda: order(system, old, 'late') == Verdict.OLD_FENCING,
        'a refusal',
        ORDER_SECONDS,
    )
    system.processes[holder].send(signal.SIGCONT)
    web.wait_until(
        lambda: order(system, new, 'third') == Verdict.PASSED,
        'the third order',
        ORDER_SECONDS,
    )
    assert acted_on(system) == [(old, 'first'), (new, 'second'), (new, 'third')]
