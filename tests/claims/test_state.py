"""Grant each key to one request, and move claims only if nothing ran."""

import pytest

from cranberryrill.claims import claims_pb2, state
from cranberryrill.state import commands_pb2

Verdict = claims_pb2.ClaimOutcome
START_MS = 1_000_000


def claim(
    key: str = 'key',
    request_id: str = 'req-1',
    agent: str = 'agent-1',
    **fields: str,
) -> claims_pb2.Claim:
    return claims_pb2.Claim(
        organisation=fields.get('organisation', 'clinics'),
        idempotency_key=key,
        request_digest=fields.get('digest', 'content').encode(),
        request_id=request_id,
        agent=agent,
        incarnation='one',
    )


def place(
    claims_state: state.ClaimsState,
    requested: claims_pb2.Claim,
    unix_ms: int = START_MS,
) -> claims_pb2.ClaimOutcome:
    command = commands_pb2.Command(
        place_claim=claims_pb2.PlaceClaim(claim=requested),
    )
    outcome = claims_state.apply(command, 1, unix_ms)
    assert isinstance(outcome, claims_pb2.ClaimOutcome)
    return outcome


def move(
    claims_state: state.ClaimsState,
    source: claims_pb2.Claim,
    target: claims_pb2.Claim,
    refused: bool = True,
) -> claims_pb2.ClaimOutcome:
    requested_move = claims_pb2.MoveClaim(to=target, refused=refused)
    getattr(requested_move, 'from').CopyFrom(source)
    outcome = claims_state.apply(
        commands_pb2.Command(move_claim=requested_move),
        2,
        START_MS,
    )
    assert isinstance(outcome, claims_pb2.ClaimOutcome)
    return outcome


def test_key_is_granted_to_the_first_request() -> None:
    claims_state = state.ClaimsState()
    assert place(claims_state, claim()).verdict == Verdict.GRANTED
    second = place(claims_state, claim(request_id='req-2', agent='agent-2'))
    assert second.verdict == Verdict.EXISTS
    assert (second.claim.request_id, second.claim.agent) == ('req-1', 'agent-1')


def test_resent_command_is_granted_again() -> None:
    claims_state = state.ClaimsState()
    place(claims_state, claim())
    assert place(claims_state, claim()).verdict == Verdict.GRANTED
    assert place(claims_state, claim()).claim.holders == 1


def test_request_with_other_content_is_refused() -> None:
    claims_state = state.ClaimsState()
    place(claims_state, claim())
    other = claim(request_id='req-2', digest='other content')
    assert place(claims_state, other).verdict == Verdict.DIFFERS


def test_organisations_share_no_keys() -> None:
    claims_state = state.ClaimsState()
    place(claims_state, claim())
    other = claim(request_id='req-2', organisation='guides')
    assert place(claims_state, other).verdict == Verdict.GRANTED


def test_claim_of_refused_request_moves() -> None:
    claims_state = state.ClaimsState()
    place(claims_state, claim())
    place(claims_state, claim(request_id='req-2'))
    moved = move(claims_state, claim(), claim(agent='agent-2'))
    assert moved.verdict == Verdict.GRANTED
    late = move(
        claims_state,
        claim(),
        claim(request_id='req-2', agent='agent-3'),
    )
    assert late.verdict == Verdict.STALE
    assert late.claim.agent == 'agent-2'


def test_claim_of_unsent_request_moves_for_its_only_holder() -> None:
    claims_state = state.ClaimsState()
    place(claims_state, claim())
    moved = move(claims_state, claim(), claim(agent='agent-2'), refused=False)
    assert moved.verdict == Verdict.GRANTED


def test_claim_stays_if_the_request_may_have_been_sent() -> None:
    claims_state = state.ClaimsState()
    place(claims_state, claim())
    place(claims_state, claim(request_id='req-2'))
    moved = move(claims_state, claim(), claim(agent='agent-2'), refused=False)
    assert moved.verdict == Verdict.STALE
    assert moved.claim.agent == 'agent-1'


def test_resent_move_is_granted_again() -> None:
    claims_state = state.ClaimsState()
    place(claims_state, claim())
    move(claims_state, claim(), claim(agent='agent-2'))
    again = move(claims_state, claim(), claim(agent='agent-2'))
    assert again.verdict == Verdict.GRANTED


def test_claims_expire_by_the_time_of_the_log() -> None:
    claims_state = state.ClaimsState()
    place(claims_state, claim())
    last = START_MS + state.CLAIM_LIFETIME_MS - 1
    assert (
        place(claims_state, claim(request_id='2'), last).verdict
        == Verdict.EXISTS
    )
    late = place(claims_state, claim(request_id='3'), last + 1)
    assert late.verdict == Verdict.GRANTED
    # A later leader with a slower clock doesn't set the time of the log back.
    early = place(claims_state, claim('new', request_id='4'), START_MS)
    assert early.claim.placed_unix_ms == last + 1


def test_claims_are_bounded() -> None:
    claims_state = state.ClaimsState(max_claims=3, max_per_organisation=2)
    for key in ('one', 'two'):
        assert place(claims_state, claim(key)).verdict == Verdict.GRANTED
    assert place(claims_state, claim('three')).verdict == Verdict.FULL
    for key, verdict in (('one', Verdict.GRANTED), ('two', Verdict.FULL)):
        requested = claim(key, organisation='guides')
        assert place(claims_state, requested).verdict == verdict
    assert place(claims_state, claim('one')).verdict == Verdict.GRANTED


@pytest.mark.parametrize('unix_ms', [START_MS, START_MS * 1000])
def test_loaded_snapshot_gives_the_same_outcomes(unix_ms: int) -> None:
    claims_state = state.ClaimsState()
    for key in ('one', 'two'):
        place(claims_state, claim(key))
    move(claims_state, claim('one'), claim('one', agent='agent-2'))
    loaded = state.ClaimsState()
    loaded.load(claims_state.dump())
    assert loaded.dump() == claims_state.dump()
    for key in ('one', 'two', 'three'):
        requested = claim(key, request_id='req-9')
        assert place(claims_state, requested, unix_ms) == place(
            loaded,
            requested,
            unix_ms,
        )
    assert loaded.dump() == claims_state.dump()
