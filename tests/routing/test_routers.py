"""Choose agents by what is known of them."""

import collections
import random

from cranberryrill.membership import membership_pb2
from cranberryrill.relay import relay_pb2
from cranberryrill.routing import (
    affinity,
    agent_health,
    budget,
    routers,
    scoring,
)

SLOTS = 8
HOME = 'dc-1'


def agent(
    name: str,
    running: tuple[int, ...] = (),
    waiting: tuple[int, ...] = (),
    token_micros: int = 20_000,
    data_centre: str = HOME,
    lowest: int = 0,
) -> membership_pb2.Announcement:
    return membership_pb2.Announcement(
        process=name,
        incarnation=f'{name}-1',
        data_centre=data_centre,
        offer=membership_pb2.Offer(target='wobble', slots=SLOTS),
        load=membership_pb2.Load(
            running=sum(running),
            waiting=sum(waiting),
            running_by_tier=running,
            waiting_by_tier=waiting,
            lowest_waiting_tier=lowest,
            token_micros=token_micros,
        ),
    )


def call(
    tier: int = 1, session: str = 's', organisation: str = 'clinics'
) -> relay_pb2.Call:
    return relay_pb2.Call(organisation=organisation, tier=tier, session=session)


def router() -> routers.PredictedWaitRouter:
    return routers.PredictedWaitRouter(HOME, random.Random(1))


def names(
    one: routers.PredictedWaitRouter,
    agents: list[membership_pb2.Announcement],
    asked: relay_pb2.Call,
    now: float = 0,
) -> list[str]:
    return [chosen.process for chosen in one.order(asked, agents, now)]


def test_least_work_before_the_tier_first() -> None:
    agents = [
        agent('full-of-low', (0, 0, 0, 0, 8)),
        agent('full-of-high', (8,)),
    ]
    assert names(router(), agents, call(tier=1))[0] == 'full-of-low'


def test_own_dispatches_count_until_announced() -> None:
    one = router()
    agents = [agent('a'), agent('b')]
    chosen = collections.Counter[str]()
    for _ in range(16):
        first = one.order(call(), agents, 0)[0]
        one.health(first).record_dispatch(0)
        chosen[first.process] += 1
    assert min(chosen.values()) >= 6
    assert (
        one.health(agents[0]).unannounced_dispatches(
            agent_health.ANNOUNCEMENT_DELAY_SECONDS * 2
        )
        == 0
    )


def test_near_data_centre_first() -> None:
    agents = [agent(f'far-{one}', data_centre='dc-2') for one in range(4)]
    ordered = names(router(), [*agents, agent('near')], call())
    near_before = [name for name in ordered[:2] if name == 'near']
    assert near_before


def test_session_stays_until_its_agent_is_busy() -> None:
    agents = [agent(f'agent-{number}') for number in range(6)]
    first = {names(router(), agents, call(session='x'))[0] for _ in range(9)}
    assert len(first) == 1
    warm = first.pop()
    busy = [
        agent(one.process, (SLOTS,)) if one.process == warm else one
        for one in agents
    ]
    assert names(router(), busy, call(session='x'))[0] != warm


def test_sessions_are_scoped_by_organisation() -> None:
    mine = affinity.session_key(call(organisation='a'))
    theirs = affinity.session_key(call(organisation='b'))
    assert mine != theirs


def test_lost_agent_moves_only_its_sessions() -> None:
    agents = [agent(f'agent-{number}') for number in range(6)]
    moved = 0
    for number in range(300):
        session = affinity.session_key(call(session=str(number)))
        before = affinity.preferred_agent(session, agents)
        after = affinity.preferred_agent(session, agents[1:])
        assert before is not None
        moved += before != after and before.process != 'agent-0'
    assert moved == 0


def test_straggler_is_left_for_last_and_probed_by_others() -> None:
    one = router()
    agents = [
        agent('slow', token_micros=100_000),
        agent('a', (6,)),
        agent('b', (6,)),
    ]
    one.health(agents[0]).record_dispatch(9.9)
    assert names(one, agents, call(tier=1), 10)[-1] == 'slow'
    assert names(one, agents, call(tier=3), 10)[-1] == 'slow'
    assert names(one, agents, call(tier=1), 12)[-1] == 'slow'
    assert names(one, agents, call(tier=3, session='z'), 12)[0] == 'slow'


def test_failing_agent_is_ejected_and_probed_once() -> None:
    one = router()
    agents = [agent('broken'), agent('a', (4,))]
    broken = one.health(agents[0])
    broken.record_failure(0)
    broken.record_failure(0)
    assert names(one, agents, call(), 0.5) == ['a']
    assert 'broken' in names(one, agents, call(), 1.5)
    broken.record_dispatch(1.5)
    assert names(one, agents, call(), 1.6) == ['a']
    broken.record_success()
    assert 'broken' in names(one, agents, call(), 1.7)


def test_all_ejected_agents_are_still_asked() -> None:
    one = router()
    agents = [agent('a'), agent('b')]
    for broken in agents:
        one.health(broken).record_failure(0)
        one.health(broken).record_failure(0)
    assert len(names(one, agents, call(), 0.1)) == 2


def test_retries_never_exceed_their_share() -> None:
    retries = budget.RetryBudget()
    spent = 0
    for _ in range(1000):
        retries.earn()
        spent += retries.spend() + retries.spend()
    assert spent <= 1000 * budget.RETRIES_PER_REQUEST + budget.MAX_SAVED_RETRIES


def test_room_is_what_the_agent_says() -> None:
    assert scoring.has_capacity(agent('low', (8,), (9, 0, 0, 5), lowest=4), 1)
    assert not scoring.has_capacity(agent('high', (8,), (9,)), 1)
