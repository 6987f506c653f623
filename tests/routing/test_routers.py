"""Ranking of agents by the routing policies, and the retry budget."""

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
LOCAL_DATA_CENTRE = 'dc-1'


def make_agent(
    name: str,
    running: tuple[int, ...] = (),
    waiting: tuple[int, ...] = (),
    token_micros: int = 20_000,
    data_centre: str = LOCAL_DATA_CENTRE,
    lowest_waiting_tier: int = 0,
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
            lowest_waiting_tier=lowest_waiting_tier,
            token_micros=token_micros,
        ),
    )


def make_call(
    tier: int = 1, session: str = 's', organisation: str = 'clinics'
) -> relay_pb2.Call:
    return relay_pb2.Call(organisation=organisation, tier=tier, session=session)


def make_router() -> routers.PredictedWaitRouter:
    return routers.PredictedWaitRouter(LOCAL_DATA_CENTRE, random.Random(1))


def ranked_names(
    router: routers.PredictedWaitRouter,
    agents: list[membership_pb2.Announcement],
    request: relay_pb2.Call,
    now: float = 0,
) -> list[str]:
    return [chosen.process for chosen in router.order(request, agents, now)]


def test_agent_with_least_load_ahead_comes_first() -> None:
    agents = [
        make_agent('full-of-low', (0, 0, 0, 0, 8)),
        make_agent('full-of-high', (8,)),
    ]
    assert (
        ranked_names(make_router(), agents, make_call(tier=1))[0]
        == 'full-of-low'
    )


def test_unannounced_dispatches_count_as_load() -> None:
    router = make_router()
    agents = [make_agent('a'), make_agent('b')]
    chosen = collections.Counter[str]()
    for _ in range(16):
        first = router.order(make_call(), agents, 0)[0]
        router.health(first).record_dispatch(0)
        chosen[first.process] += 1
    assert min(chosen.values()) >= 6
    assert (
        router.health(agents[0]).unannounced_dispatches(
            agent_health.ANNOUNCEMENT_DELAY_SECONDS * 2
        )
        == 0
    )


def test_local_data_centre_is_preferred() -> None:
    agents = [
        make_agent(f'far-{number}', data_centre='dc-2') for number in range(4)
    ]
    ordered = ranked_names(
        make_router(), [*agents, make_agent('near')], make_call()
    )
    local_among_first_two = [name for name in ordered[:2] if name == 'near']
    assert local_among_first_two


def test_session_stays_at_its_agent_until_that_is_busy() -> None:
    agents = [make_agent(f'agent-{number}') for number in range(6)]
    first = {
        ranked_names(make_router(), agents, make_call(session='x'))[0]
        for _ in range(9)
    }
    assert len(first) == 1
    warm = first.pop()
    busy = [
        make_agent(agent.process, (SLOTS,)) if agent.process == warm else agent
        for agent in agents
    ]
    assert ranked_names(make_router(), busy, make_call(session='x'))[0] != warm


def test_sessions_are_scoped_by_organisation() -> None:
    own_key = affinity.session_key(make_call(organisation='a'))
    other_key = affinity.session_key(make_call(organisation='b'))
    assert own_key != other_key


def test_lost_agent_moves_only_its_sessions() -> None:
    agents = [make_agent(f'agent-{number}') for number in range(6)]
    moved = 0
    for number in range(300):
        session = affinity.session_key(make_call(session=str(number)))
        before = affinity.preferred_agent(session, agents)
        after = affinity.preferred_agent(session, agents[1:])
        assert before is not None
        moved += before != after and before.process != 'agent-0'
    assert moved == 0


def test_straggler_is_last_and_probed_by_lower_tiers() -> None:
    router = make_router()
    agents = [
        make_agent('slow', token_micros=100_000),
        make_agent('a', (6,)),
        make_agent('b', (6,)),
    ]
    router.health(agents[0]).record_dispatch(9.9)
    assert ranked_names(router, agents, make_call(tier=1), 10)[-1] == 'slow'
    assert ranked_names(router, agents, make_call(tier=3), 10)[-1] == 'slow'
    assert ranked_names(router, agents, make_call(tier=1), 12)[-1] == 'slow'
    assert (
        ranked_names(router, agents, make_call(tier=3, session='z'), 12)[0]
        == 'slow'
    )


def test_failing_agent_is_ejected_and_probed_once() -> None:
    router = make_router()
    agents = [make_agent('broken'), make_agent('a', (4,))]
    broken = router.health(agents[0])
    broken.record_failure(0)
    broken.record_failure(0)
    assert ranked_names(router, agents, make_call(), 0.5) == ['a']
    assert 'broken' in ranked_names(router, agents, make_call(), 1.5)
    broken.record_dispatch(1.5)
    assert ranked_names(router, agents, make_call(), 1.6) == ['a']
    broken.record_success()
    assert 'broken' in ranked_names(router, agents, make_call(), 1.7)


def test_agents_are_ranked_when_all_are_ejected() -> None:
    router = make_router()
    agents = [make_agent('a'), make_agent('b')]
    for agent in agents:
        router.health(agent).record_failure(0)
        router.health(agent).record_failure(0)
    assert len(ranked_names(router, agents, make_call(), 0.1)) == 2


def test_retries_stay_within_the_budget() -> None:
    retries = budget.RetryBudget()
    spent = 0
    for _ in range(1000):
        retries.earn()
        spent += retries.spend() + retries.spend()
    assert spent <= 1000 * budget.RETRIES_PER_REQUEST + budget.MAX_SAVED_RETRIES


def test_capacity_follows_the_announced_load() -> None:
    assert scoring.has_capacity(
        make_agent('low', (8,), (9, 0, 0, 5), lowest_waiting_tier=4), 1
    )
    assert not scoring.has_capacity(make_agent('high', (8,), (9,)), 1)
